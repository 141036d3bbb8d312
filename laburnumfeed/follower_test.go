package laburnumfeed

import (
	"context"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// unreachablePeers are control VMs of which none answers; each question is told to polled.
type unreachablePeers struct{ polled chan struct{} }

func (p *unreachablePeers) Call(ctx context.Context, address, _ string, _, _ any) error {
	select {
	case p.polled <- struct{}{}:
	case <-ctx.Done():
	}
	return &laburnumlever.PeerUnreachableError{Address: address, Cause: context.DeadlineExceeded}
}

func (p *unreachablePeers) Notify(string, string, any)               {}
func (p *unreachablePeers) Handle(string, laburnumlever.PeerHandler) {}

// versionSink is a VM that has routes of a version.
type versionSink uint64

func (versionSink) Learn(string, Answer)                 {}
func (versionSink) Lost(string)                          {}
func (versionSink) LearnRoutes(laburnumlever.RouteTable) {}
func (v versionSink) RoutesVersion() uint64              { return uint64(v) }
func (versionSink) News() laburnumlever.GatewayNews      { return laburnumlever.GatewayNews{} }

// countPolls counts what a VM with routes of a version asks a dark control VM in a second.
func countPolls(t *testing.T, version versionSink) int {
	t.Helper()
	peers := &unreachablePeers{polled: make(chan struct{})}
	timers := laburnumtimer.NewManual(time.Unix(1_000_000, 0))
	f := NewFollower(peers, timers, laburnumlever.VM{ID: "10.0.0.1"}, []string{"10.0.0.9:7000"}, version)
	defer f.Close()
	<-peers.polled
	n := 0
	for passed := time.Duration(0); passed < time.Second; passed += startRetryInterval {
		// The follower's wait begins on its own goroutine: until it has, there is nothing
		// on the clock that could pass.
		require.Eventually(t, func() bool { return timers.Pending() > 0 }, 5*time.Second, time.Millisecond)
		timers.Advance(startRetryInterval)
		if timers.Pending() == 0 {
			<-peers.polled
			n++
		}
	}
	return n
}

// All VMs lose power, and a gateway is up before the control VMs. Until it has routes it
// serves nobody, so it asks again soon; one that has routes goes on with them and spares
// control VMs that have enough to do.
func TestVMWithoutRoutesRetriesSooner(t *testing.T) {
	require.Equal(t, 20, countPolls(t, 0))
	require.Equal(t, 5, countPolls(t, 7))
}
