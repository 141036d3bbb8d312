package laburnumnode

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"laburnumlever"
	"laburnumlever/laburnumdistribution"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnummembership"
	"laburnumlever/laburnumoperator"
	"laburnumlever/laburnumorder"
	"laburnumlever/laburnumpeer"
	"laburnumlever/laburnumproxy"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumvoter"
)

// Reasons for a VM to be not ready.
const (
	notReadyStarting    = "starting"
	notReadyNoCatalogue = "no catalogue yet: neither the data folder nor a peer has given one"
	notReadyDraining    = "draining"
)

// demandPeriod is the interval at which demand is measured and gossiped: a tenfold rise
// within an hour is noticed in seconds, at the small cost of a row for each requested
// model.
const demandPeriod = time.Second

// build creates the components in the order of their dependencies.
func (n *Node) build() error {
	n.notReady = notReadyStarting
	n.publisher = &publisher{timers: n.timers, build: n.buildView}
	n.loop = laburnumeventloop.New(laburnumeventloop.WithAfterEvent(func(laburnumlever.Event) {
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
	n.buildProxyAndOwner()
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
	n.distributor = laburnumdistribution.New(n.loop, n.timers, n.peers, n.membership.VMs,
		laburnumdistribution.WithSelf(n.self.ID),
		laburnumdistribution.WithLogger(n.logger),
		laburnumdistribution.WithScope(scope),
	)
	n.distributor.OnNewRevision(func(laburnumlever.Catalogue) { n.publisher.markDirty() })
}

func (n *Node) buildVoter() error {
	voter, err := laburnumvoter.New(n.loop, n.timers, n.peers, n.self,
		laburnumvoter.WithDataFolder(n.settings.DataFolder),
		laburnumvoter.WithVoters(n.initialVoters()),
		laburnumvoter.WithCandidates(n.voterCandidates),
		laburnumvoter.WithLogger(n.logger),
		laburnumvoter.WithScope(n.metrics.Scope()),
	)
	if err != nil {
		return &laburnumlever.StartError{Part: "voter", Cause: err}
	}
	voter.OnCatalogue(n.distributor.Publish)
	n.voter = voter
	return nil
}

// initialVoters returns the voters in the settings. A VM with a disk and neither voters
// nor seeds in its settings, as in the quickstart, starts a log with itself as the only
// voter.
func (n *Node) initialVoters() []laburnumlever.Voter {
	alone := len(n.settings.Voters) == 0 && len(n.settings.Seeds) == 0
	if alone && n.self.HasDisk {
		return []laburnumlever.Voter{{VM: n.self.ID, PeerAddress: n.self.PeerAddress}}
	}
	return n.settings.Voters
}

// voterCandidates returns the alive VMs with a disk. It runs on the control thread.
func (n *Node) voterCandidates() []laburnumlever.Voter {
	var candidates []laburnumlever.Voter
	for _, vm := range n.membership.VMs() {
		if vm.HasDisk && vm.State == laburnumlever.VMAlive {
			candidates = append(candidates, laburnumlever.Voter{VM: vm.ID, PeerAddress: vm.PeerAddress})
		}
	}
	return candidates
}

func (n *Node) buildProxyAndOwner() {
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

// startParts starts the components' timers. Messages from peers may arrive before that.
func (n *Node) startParts() {
	n.voter.Start()
	n.membership.Start()
	n.distributor.Start()
	n.owner.Start()
	n.runOnControlThread(func() {
		n.notReady = ""
		n.publisher.markDirty()
	})
	n.cancels = append(n.cancels, n.timers.Every(demandPeriod, n.publishDemand))
}

// publishDemand passes this VM's demand, and whether this VM owns its zone, to the membership,
// for gossip to the zones' owners.
func (n *Node) publishDemand(time.Time) {
	rows := n.proxy.Demand()
	owns := n.owner.Owns()
	n.loop.Post(workRunner{}, workEvent{work: func() {
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

// buildView returns the current view. It runs on the control thread, or before its
// start.
func (n *Node) buildView() laburnumlever.View {
	catalogue, known := n.distributor.Catalogue()
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

// runOnControlThread runs work on the control thread and returns when it has finished
// or the control thread has stopped.
func (n *Node) runOnControlThread(work func()) {
	done := make(chan struct{})
	n.loop.Post(workRunner{}, workEvent{work: work, done: done})
	select {
	case <-done:
	case <-n.loop.Done():
	}
}

// workEvent is a function to run on the control thread. done, which may be nil, is
// closed afterwards.
type workEvent struct {
	work func()
	done chan struct{}
}

// EventName names the event.
func (workEvent) EventName() string { return "run" }

type workRunner struct{}

// Handle runs the function.
func (workRunner) Handle(ev laburnumlever.Event) {
	r, ok := ev.(workEvent)
	if !ok {
		return
	}
	r.work()
	if r.done != nil {
		close(r.done)
	}
}
