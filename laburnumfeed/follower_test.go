package laburnumfeed

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// unreachablePeers fail every call, and send on polled for each.
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

// sinkAtVersion is a sink with a route table of the given version.
type sinkAtVersion uint64

func (sinkAtVersion) HandleAnswer(string, Answer)           {}
func (sinkAtVersion) ControlLost(string)                    {}
func (sinkAtVersion) HandleRoutes(laburnumlever.RouteTable) {}
func (v sinkAtVersion) RoutesVersion() uint64               { return uint64(v) }
func (sinkAtVersion) GatewayReport() laburnumlever.GatewayReport {
	return laburnumlever.GatewayReport{}
}

// countPolls returns how often a VM with the given route version polls an unreachable control VM in
// one second.
func countPolls(t *testing.T, version sinkAtVersion) int {
	t.Helper()
	peers := &unreachablePeers{polled: make(chan struct{})}
	timers := laburnumtimer.NewManual(time.Unix(1_000_000, 0))
	f := NewFollower(peers, timers, laburnumlever.VM{ID: "10.0.0.1"}, []string{"10.0.0.9:7000"}, version)
	defer f.Close()
	<-peers.polled
	n := 0
	for passed := time.Duration(0); passed < time.Second; passed += startRetryInterval {
		// The follower sets its timer on its own goroutine: advancing the clock before that would
		// have no effect.
		require.Eventually(t, func() bool { return timers.Pending() > 0 }, 5*time.Second, time.Millisecond)
		timers.Advance(startRetryInterval)
		if timers.Pending() == 0 {
			<-peers.polled
			n++
		}
	}
	return n
}

// Guards against a slow restart after a power loss, and against polls of gateways with routes that burden busy control VMs.
func TestVMWithoutRoutesRetriesSooner(t *testing.T) {
	require.Equal(t, 20, countPolls(t, 0))
	require.Equal(t, 5, countPolls(t, 7))
}

// slowPeers answer polls only when told to.
type slowPeers struct {
	unreachablePeers
	answer chan struct{}
	polls  atomic.Int64
}

func (p *slowPeers) Call(ctx context.Context, address, method string, _, result any) error {
	if method != methodPoll {
		return p.unreachablePeers.Call(ctx, address, method, nil, nil)
	}
	p.polls.Add(1)
	select {
	case <-p.answer:
		return json.Unmarshal([]byte(`{"boot":1,"cursor":1}`), result)
	case <-ctx.Done():
		return &laburnumlever.PeerLostError{Address: address, Cause: ctx.Err()}
	}
}

// answeredSink counts answers and lost control VMs.
type answeredSink struct {
	sinkAtVersion
	answered, lost chan struct{}
}

func (s answeredSink) HandleAnswer(string, Answer) { s.answered <- struct{}{} }
func (s answeredSink) ControlLost(string)          { s.lost <- struct{}{} }

// Guards against polls of slow control VMs that are given up before their answers and made anew, which makes them slower.
func TestLateAnswerToAPollCounts(t *testing.T) {
	peers := &slowPeers{answer: make(chan struct{})}
	sink := answeredSink{answered: make(chan struct{}, 1), lost: make(chan struct{}, 1)}
	f := NewFollower(peers, laburnumtimer.New(), laburnumlever.VM{ID: "10.0.0.1"}, []string{"10.0.0.9:7000"}, sink)
	defer f.Close()
	<-sink.lost
	require.Empty(t, f.ControlsFor("", ""))
	require.Never(t, func() bool { return peers.polls.Load() > 1 }, 2*retryInterval, time.Millisecond)
	peers.answer <- struct{}{}
	<-sink.answered
	require.Len(t, f.ControlsFor("", ""), 1)
}
