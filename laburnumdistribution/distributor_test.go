package laburnumdistribution_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdistribution"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnumpeer"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

type publishEvent struct {
	distributor *laburnumdistribution.Distributor
	catalogue   laburnumlever.Catalogue
}

func (publishEvent) EventName() string { return "offer" }

type publisher struct{}

func (publisher) Handle(ev laburnumlever.Event) {
	e := ev.(publishEvent)
	e.distributor.Publish(e.catalogue)
}

func TestRevisionsReachAllVMsAndNeverRevert(t *testing.T) {
	const count = 5
	var vms []laburnumlever.VM
	var listeners []net.Listener
	for range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, ln)
		vms = append(vms, laburnumlever.VM{ID: laburnumlever.VMID(ln.Addr().String()), PeerAddress: ln.Addr().String()})
	}
	revisions := make([]atomic.Uint64, count)
	distributors := make([]*laburnumdistribution.Distributor, count)
	loops := make([]*laburnumeventloop.Loop, count)
	for i, ln := range listeners {
		loop, timers, peers := laburnumeventloop.New(), laburnumtimer.New(), laburnumpeer.New(vms[i].ID)
		d := laburnumdistribution.New(loop, timers, peers, func() []laburnumlever.VM { return vms }, laburnumdistribution.WithSelf(vms[i].ID))
		d.OnNewRevision(func(c laburnumlever.Catalogue) {
			require.Greater(t, c.Revision, revisions[i].Load())
			revisions[i].Store(c.Revision)
		})
		distributors[i], loops[i] = d, loop
		go loop.Run()
		go func() { _ = peers.Serve(ln) }()
		d.Start()
		t.Cleanup(func() {
			timers.Close()
			_ = peers.Close()
			loop.Stop()
			<-loop.Done()
		})
	}
	publish := func(i int, revision uint64) {
		catalogue := laburnumlever.Catalogue{Revision: revision, Models: []laburnumlever.Model{{Name: "m"}}}
		loops[i].Post(publisher{}, publishEvent{distributor: distributors[i], catalogue: catalogue})
	}
	publish(0, 4)
	publish(1, 3)
	publish(2, 9)
	publish(2, 8)
	for i := range revisions {
		require.Eventually(t, func() bool { return revisions[i].Load() == 9 }, 30*time.Second, 10*time.Millisecond)
	}
}
