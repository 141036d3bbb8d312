package laburnumroles

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumtimer"
)

// silentPeers are VMs that don't answer until the call ends.
type silentPeers struct{ laburnumlever.Peers }

func (silentPeers) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against control VMs that are passed over since a caller has left.
func TestCallerThatLeavesDoesNotCountAgainstControlVMs(t *testing.T) {
	k := newKeeperCalls(silentPeers{}, laburnumtimer.NewManual(time.Unix(1_790_000_000, 0)))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, k.call(ctx, "c-1", methodStreamLookup, nil, nil))
	require.Equal(t, []string{"c-1"}, k.answering([]string{"c-1"}, 1))
	require.Error(t, k.call(t.Context(), "c-1", methodStreamLookup, nil, nil))
	require.Empty(t, k.answering([]string{"c-1"}, 1), "it does not answer")
}
