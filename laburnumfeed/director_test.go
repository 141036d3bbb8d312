package laburnumfeed

import (
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// Guards against gateways that keep sending adapter requests to a VM that is no longer director.
func TestFormerDirectorIsForgotten(t *testing.T) {
	const first, second = "10.0.0.9:7000", "10.0.0.8:7000"
	timers := laburnumtimer.NewManual(time.Unix(1_000_000, 0))
	f := NewFollower(&unreachablePeers{polled: make(chan struct{})}, timers, laburnumlever.VM{ID: "10.0.0.1"}, nil, sinkAtVersion(1))
	defer f.Close()
	answer := func(director laburnumlever.VMID) Answer {
		return Answer{meta: meta{Director: director, Controls: []laburnumlever.VM{{ID: "a", PeerAddress: first}, {ID: "b", PeerAddress: second}}}}
	}
	f.noteDirector(first, answer("a"))
	require.Equal(t, first, f.Director())
	f.noteDirector(second, answer(""))
	require.Equal(t, first, f.Director(), "an answer of another VM without a director changes nothing")
	f.noteDirector(first, answer(""))
	require.Empty(t, f.Director())
	f.noteDirector(second, answer("b"))
	f.ForgetDirector(first)
	require.Equal(t, second, f.Director(), "a late refusal by the former director changes nothing")
	f.ForgetDirector(second)
	require.Empty(t, f.Director())
}
