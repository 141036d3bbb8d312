package laburnumfeed

import (
	"context"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// darkPeers are control VMs of which none answers; each question is told to asked.
type darkPeers struct{ asked chan struct{} }

func (p *darkPeers) Call(ctx context.Context, address, _ string, _, _ any) error {
	select {
	case p.asked <- struct{}{}:
	case <-ctx.Done():
	}
	return &laburnumlever.PeerUnreachableError{Address: address, Cause: context.DeadlineExceeded}
}

func (p *darkPeers) Notify(string, string, any)               {}
func (p *darkPeers) Handle(string, laburnumlever.PeerHandler) {}

// routesHeld is a VM that has routes of a version.
type routesHeld uint64

func (routesHeld) Learn(string, Answer)                 {}
func (routesHeld) Lost(string)                          {}
func (routesHeld) LearnRoutes(laburnumlever.RouteTable) {}
func (v routesHeld) RoutesVersion() uint64              { return uint64(v) }
func (routesHeld) News() laburnumlever.GatewayNews      { return laburnumlever.GatewayNews{} }

// questions counts what a VM with routes of a version asks a dark control VM in a second.
func questions(t *testing.T, version routesHeld) int {
	t.Helper()
	peers := &darkPeers{asked: make(chan struct{})}
	timers := laburnumtimer.NewManual(time.Unix(1_000_000, 0))
	f := NewFollower(peers, timers, laburnumlever.VM{ID: "10.0.0.1"}, []string{"10.0.0.9:7000"}, version)
	defer f.Close()
	<-peers.asked
	n := 0
	for passed := time.Duration(0); passed < time.Second; passed += startPause {
		// The follower's wait begins on its own goroutine: until it has, there is nothing
		// on the clock that could pass.
		require.Eventually(t, func() bool { return timers.Pending() > 0 }, 5*time.Second, time.Millisecond)
		timers.Advance(startPause)
		if timers.Pending() == 0 {
			<-peers.asked
			n++
		}
	}
	return n
}

// All VMs lose power, and a gateway is up before the control VMs. Until it has routes it
// serves nobody, so it asks again soon; one that has routes goes on with them and spares
// control VMs that have enough to do.
func TestVMWithoutRoutesAsksAgainSooner(t *testing.T) {
	require.Equal(t, 20, questions(t, 0))
	require.Equal(t, 5, questions(t, 7))
}
