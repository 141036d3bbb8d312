package laburnumnode

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"laburnumlever"
	"laburnumlever/laburnumcontrol"
	"laburnumlever/laburnumdistribution"
	"laburnumlever/laburnummembership"
	"laburnumlever/laburnumoperator"
	"laburnumlever/laburnumorder"
	"laburnumlever/laburnumpeer"
	"laburnumlever/laburnumproxy"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumvoter"
)

// The reasons for which a VM is not ready.
const (
	notReadyStarting    = "starting"
	notReadyNoCatalogue = "no catalogue yet: neither the data folder nor a peer has given one"
	notReadyDraining    = "draining"
)

// demandPeriod is how often demand is counted and shared: a tenfold rise within an
// hour shows within seconds, and a row for each model asked for costs little.
const demandPeriod = time.Second

// build makes the parts in the order in which they need each other.
func (n *Node) build() error {
	n.notReady = notReadyStarting
	n.publisher = &publisher{timers: n.timers, build: n.buildView}
	n.loop = laburnumcontrol.New(laburnumcontrol.WithAfter(func(laburnumlever.Event) {
		n.publisher.publishIfDirty()
	}))
	n.publisher.loop = n.loop
	if err := n.buildPeers(); err != nil {
		return err
	}
	n.buildMembership()
	if err := n.buildVoter(); err != nil {
		return err
	}
	n.publisher.publish()
	n.buildTraffic()
	return nil
}

func (n *Node) buildPeers() error {
	opts := []laburnumpeer.Option{
		laburnumpeer.WithLogger(n.logger),
		laburnumpeer.WithScope(n.metrics.Scope()),
		laburnumpeer.WithLocalIP(listenerIP(n.listeners.peers)),
	}
	if files := n.settings.TLS; files != (laburnumsettings.TLS{}) {
		if err := laburnumpeer.CheckTLS(files.Certificate, files.Key, files.Authorities); err != nil {
			return &laburnumlever.StartError{Part: "peers", Cause: err}
		}
		opts = append(opts, laburnumpeer.WithTLS(files.Certificate, files.Key, files.Authorities))
	}
	n.peers = laburnumpeer.New(n.self.ID, opts...)
	return nil
}

func (n *Node) buildMembership() {
	scope := n.metrics.Scope()
	n.membership = laburnummembership.New(n.loop, n.timers, n.peers, n.self,
		laburnummembership.WithSeeds(n.settings.Seeds),
		laburnummembership.WithLogger(n.logger),
		laburnummembership.WithScope(scope),
	)
	n.membership.OnChange(n.publisher.markDirty)
	n.spread = laburnumdistribution.New(n.loop, n.timers, n.peers, n.membership.VMs,
		laburnumdistribution.WithSelf(n.self.ID),
		laburnumdistribution.WithLogger(n.logger),
		laburnumdistribution.WithScope(scope),
	)
	n.spread.OnNewRevision(func(laburnumlever.Catalogue) { n.publisher.markDirty() })
}

func (n *Node) buildVoter() error {
	voter, err := laburnumvoter.New(n.loop, n.timers, n.peers, n.self,
		laburnumvoter.WithDataFolder(n.settings.DataFolder),
		laburnumvoter.WithVoters(n.firstVoters()),
		laburnumvoter.WithCandidates(n.voterCandidates),
		laburnumvoter.WithLogger(n.logger),
		laburnumvoter.WithScope(n.metrics.Scope()),
	)
	if err != nil {
		return &laburnumlever.StartError{Part: "voter", Cause: err}
	}
	voter.OnCatalogue(n.spread.Publish)
	n.voter = voter
	return nil
}

// firstVoters are those of the settings. A VM with a disk that is told of no voters
// and of no other VM is alone, as in the quickstart, and starts a log of its own.
func (n *Node) firstVoters() []laburnumlever.Voter {
	alone := len(n.settings.Voters) == 0 && len(n.settings.Seeds) == 0
	if alone && n.self.HasDisk {
		return []laburnumlever.Voter{{VM: n.self.ID, PeerAddress: n.self.PeerAddress}}
	}
	return n.settings.Voters
}

// voterCandidates are the living VMs with a disk; control thread only.
func (n *Node) voterCandidates() []laburnumlever.Voter {
	var candidates []laburnumlever.Voter
	for _, vm := range n.membership.VMs() {
		if vm.HasDisk && vm.State == laburnumlever.VMAlive {
			candidates = append(candidates, laburnumlever.Voter{VM: vm.ID, PeerAddress: vm.PeerAddress})
		}
	}
	return candidates
}

func (n *Node) buildTraffic() {
	scope := n.metrics.Scope()
	n.proxy = laburnumproxy.New(n.publisher, n.timers, n.voter,
		laburnumproxy.WithLogger(n.logger),
		laburnumproxy.WithScope(scope),
	)
	n.owner = laburnumorder.New(n.loop, n.timers, n.voter,
		laburnumorder.NewHTTPEngines(), n.publisher, n.self,
		laburnumorder.WithLogger(n.logger),
		laburnumorder.WithScope(scope),
	)
}

// startParts starts each part's timers. Messages from peers may arrive before.
func (n *Node) startParts() {
	n.voter.Start()
	n.membership.Start()
	n.spread.Start()
	n.owner.Start()
	n.onControl(func() {
		n.notReady = ""
		n.publisher.markDirty()
	})
	n.cancels = append(n.cancels, n.timers.Every(demandPeriod, n.shareDemand))
}

// shareDemand hands the membership what this VM's callers asked for, and whether
// this VM owns its zone, so that the zones' owners hear of both.
func (n *Node) shareDemand(time.Time) {
	rows := n.proxy.Demand()
	owns := n.owner.Owns()
	n.loop.Post(runner{}, run{work: func() {
		n.membership.SetDemand(rows)
		if n.membership.Self().OwnsZone != owns {
			n.membership.SetSelf(func(vm laburnumlever.VM) laburnumlever.VM { return vm.WithOwnsZone(owns) })
		}
		n.publisher.markDirty()
	}})
}

func (n *Node) servePeers() {
	if err := n.peers.Serve(n.listeners.peers); err != nil && !errors.Is(err, net.ErrClosed) {
		n.log(level.ErrorValue(), "msg", "peers listener ended", "err", err)
	}
}

func (n *Node) serveHTTP() error {
	backends, err := newBackendHandler(n.membership)
	if err != nil {
		return err
	}
	operators := laburnumoperator.NewHandler(n,
		laburnumoperator.WithLogger(n.logger),
		laburnumoperator.WithMetrics(n.metrics.Handler()),
	)
	n.serve("callers", n.listeners.callers, n.proxy.Server())
	n.serve("operators", n.listeners.operators, newServer(operators))
	n.serve("backends", n.listeners.backends, newServer(backends))
	return nil
}

func (n *Node) serve(name string, ln net.Listener, server *http.Server) {
	n.servers = append(n.servers, server)
	go func() {
		if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log(level.ErrorValue(), "msg", "listener ended", "listener", name, "err", err)
		}
	}()
}

// buildView runs on the control thread, or before it has started.
func (n *Node) buildView() laburnumlever.View {
	catalogue, known := n.spread.Catalogue()
	notReady := n.notReady
	if notReady == "" && !known {
		notReady = notReadyNoCatalogue
	}
	return laburnumlever.View{
		Self:      n.membership.Self(),
		Catalogue: catalogue,
		VMs:       n.membership.VMs(),
		Backends:  n.membership.Backends(),
		Demand:    n.membership.Demand(),
		NotReady:  notReady,
	}
}

// onControl runs work on the control thread and waits for it.
func (n *Node) onControl(work func()) {
	done := make(chan struct{})
	n.loop.Post(runner{}, run{work: work, done: done})
	select {
	case <-done:
	case <-n.loop.Done():
	}
}

// run is the node's own work on the control thread; done may be nil.
type run struct {
	work func()
	done chan struct{}
}

// EventName names the event.
func (run) EventName() string { return "run" }

type runner struct{}

// Handle runs the work.
func (runner) Handle(ev laburnumlever.Event) {
	r, ok := ev.(run)
	if !ok {
		return
	}
	r.work()
	if r.done != nil {
		close(r.done)
	}
}
