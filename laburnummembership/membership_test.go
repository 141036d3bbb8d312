package laburnummembership_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnummembership"
	"laburnumlever/laburnumpeer"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// node is a VM with real sockets and only the parts that membership needs.
type node struct {
	membership *laburnummembership.Membership
	loop       *laburnumeventloop.Loop
}

type ask struct{ fn func() }

func (ask) EventName() string { return "ask" }

func (n *node) Handle(ev laburnumlever.Event) { ev.(ask).fn() }

// onControlThread runs fn on the control thread and waits for it.
func (n *node) onControlThread(fn func()) {
	done := make(chan struct{})
	n.loop.Post(n, ask{fn: func() { fn(); close(done) }})
	<-done
}

func (n *node) backend(id laburnumlever.BackendID) (found laburnumlever.Backend, ok bool) {
	n.onControlThread(func() {
		for _, b := range n.membership.Backends() {
			if b.Announcement.Backend == id {
				found, ok = b, true
			}
		}
	})
	return found, ok
}

func (n *node) alive() (count int) {
	n.onControlThread(func() {
		for _, vm := range n.membership.VMs() {
			if vm.State == laburnumlever.VMAlive {
				count++
			}
		}
	})
	return count
}

func startNodes(t *testing.T, count int) []*node {
	t.Helper()
	var seed string
	nodes := make([]*node, count)
	for i := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		if i == 0 {
			seed = ln.Addr().String()
		}
		id := laburnumlever.VMID(fmt.Sprintf("vm-%d", i))
		loop, timers, peers := laburnumeventloop.New(), laburnumtimer.New(), laburnumpeer.New(id)
		self := laburnumlever.VM{ID: id, Zone: laburnumlever.ZoneName(fmt.Sprintf("zone-%d", i%2)), PeerAddress: ln.Addr().String()}
		m := laburnummembership.New(loop, timers, peers, self, laburnummembership.WithSeeds([]string{seed}))
		nodes[i] = &node{membership: m, loop: loop}
		go loop.Run()
		go func() { _ = peers.Serve(ln) }()
		m.Start()
		t.Cleanup(func() {
			timers.Close()
			_ = peers.Close()
			loop.Stop()
			<-loop.Done()
		})
	}
	return nodes
}

// testTimeout is long enough for a busy machine; it is not a measurement.
const testTimeout = 30 * time.Second

func TestBackendStateReachesEveryVM(t *testing.T) {
	nodes := startNodes(t, 4)
	for _, n := range nodes {
		require.Eventually(t, func() bool { return n.alive() == len(nodes) }, testTimeout, 20*time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	registry := laburnumlever.BackendRegistry(nodes[1].membership)
	announcement := laburnumlever.Announcement{Backend: "e1", Zone: "zone-0", Incarnation: 7, Slots: 4}
	require.NoError(t, registry.Announce(ctx, announcement))
	// Backend servers announce periodically. On a busy machine the test may take longer than
	// backendTimeout, after which the backend server would be marked as down.
	announcing := time.NewTicker(200 * time.Millisecond)
	go func() {
		for registry.Announce(ctx, announcement) == nil {
			<-announcing.C
		}
	}()
	report := laburnumlever.LoadReport{
		Backend: "e1", Incarnation: 7, Sequence: 3, InFlight: 2, Queued: 1, Fence: 5,
		Loaded: []laburnumlever.ModelCopy{{Model: "m", Ready: true}},
	}
	require.NoError(t, registry.Report(ctx, report))
	for _, n := range nodes {
		require.Eventually(t, func() bool {
			b, ok := n.backend("e1")
			return ok && b.AcceptsRequests() && b.Serves("m") && b.Report.InFlight == 2 && b.Report.Fence == 5
		}, testTimeout, 20*time.Millisecond)
	}
	require.NoError(t, registry.Leave(ctx, "e1", 7))
	for _, n := range nodes {
		require.Eventually(t, func() bool {
			b, _ := n.backend("e1")
			return b.Leaving
		}, testTimeout, 20*time.Millisecond)
	}
}
