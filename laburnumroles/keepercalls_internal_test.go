package laburnumroles

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// slowPeers are VMs that answer after a time.
type slowPeers struct {
	laburnumlever.Peers
	after time.Duration
}

func (p slowPeers) Call(ctx context.Context, _, _ string, _, result any) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(p.after):
		*result.(*string) = "granted"
		return nil
	}
}

// Guards against answers of starved control VMs that are thrown away, and calls without end to those that are late.
func TestLateAnswerOfAKeeperIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := laburnumtimer.New()
		defer timers.Close()
		k := newKeeperCalls(slowPeers{after: time.Second}, timers)
		var told atomic.Int64
		for i := range maxHeldCalls {
			require.Equal(t, []string{"c-1"}, k.answering([]string{"c-1"}, 1), "call %d", i)
			answer := ""
			began := time.Now()
			require.Error(t, k.callHeld(t.Context(), "c-1", methodQuotaGrant, 5*time.Second, nil, &answer, func() {
				require.Equal(t, "granted", answer)
				told.Add(1)
			}))
			require.Less(t, time.Since(began), 2*keeperTimeout, "the caller waits for the answer")
			k.answers("c-1") // another caller had one
		}
		require.Empty(t, k.answering([]string{"c-1"}, 1), "it has several calls to answer")
		time.Sleep(2 * time.Second)
		require.EqualValues(t, maxHeldCalls, told.Load())
		require.Equal(t, []string{"c-1"}, k.answering([]string{"c-1"}, 1))
	})
}

// Guards against late answers that are waited for after what they grant is over.
func TestKeeperIsNotHeardForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := laburnumtimer.New()
		defer timers.Close()
		k := newKeeperCalls(slowPeers{after: time.Hour}, timers)
		answer := ""
		require.Error(t, k.callHeld(t.Context(), "c-1", methodQuotaGrant, 5*time.Second, nil, &answer, func() { t.Error("told of nothing") }))
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"c-1"}, k.answering([]string{"c-1"}, 1))
	})
}
