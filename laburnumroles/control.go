package laburnumroles

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumcontrol"
	"laburnumlever/laburnumdirector"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumlog"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumroutes"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumvoter"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

const (
	// proposeTimeout is below an operator's own timeout of a second.
	proposeTimeout = 900 * time.Millisecond
	// usagePeriod is how often the control thread's use of its time is logged.
	usagePeriod = 5 * time.Second
	// expirePeriod is how often silent backend servers are detected.
	expirePeriod = 500 * time.Millisecond
	// replaceShare of the time for replacing a VM passes before a silent voter is replaced; the rest
	// is for an election, if it was the leader.
	replaceShare = 0.5
	// handOverTimeout bounds the transfer of leadership at shutdown.
	handOverTimeout = time.Second
	// growTimeout after its leader's start the log counts as grown to all the voters it will get.
	growTimeout = 12 * time.Second
	// proposalLimit bounds every proposal, also the director's.
	proposalLimit = 3 * time.Second
)

// commitBuckets reach from one sync of a disk to an operator's timeout.
var commitBuckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
}

// Control is a control VM's process. It implements laburnumlever.FleetControl.
type Control struct {
	process
	loop     *laburnumcontrol.Loop
	meter    *laburnumcontrol.Meter
	voter    *laburnumvoter.Voter
	source   *laburnumfeed.Source
	follower *laburnumfeed.Follower
	director *laburnumdirector.Director
	relay    *relay
	// commits is the time to commit an operator's change.
	commits tally.Histogram
	// routes is the table in force.
	routes atomic.Pointer[laburnumlever.RouteTable]

	mu       sync.Mutex
	registry *laburnumregistry.Table
}

var (
	_ laburnumlever.FleetControl = (*Control)(nil)
	_ laburnumfeed.Sink          = (*Control)(nil)
)

// NewControl returns a control VM that is not started. An error is a *StartError.
func NewControl(settings laburnumsettings.Role, engines laburnumlever.ModelEngines, opts ...Option) (*Control, error) {
	meter := laburnumcontrol.NewMeter()
	c := &Control{process: newProcess(settings, opts), loop: laburnumcontrol.New(laburnumcontrol.WithMeter(meter)), meter: meter}
	c.commits = c.metrics.Scope().Histogram("routes_commit_seconds", commitBuckets)
	c.registry = laburnumregistry.New(time.Duration(settings.Times.Heartbeat))
	c.source = laburnumfeed.NewSource(c.peers, c.timers, c.self, laburnumfeed.WithSourceLogger(c.logger))
	c.relay = newRelay(c.timers, c.tellControls)
	c.peers.Handle(methodRelay, c.handleRelay)
	if err := c.buildVoter(); err != nil {
		return nil, err
	}
	c.buildDirector(engines)
	return c, nil
}

func (c *Control) buildDirector(engines laburnumlever.ModelEngines) {
	d := laburnumdirector.New(c.loop, c.timers, c.voter, engines, c.self,
		laburnumdirector.WithLease(time.Duration(c.settings.Times.Lease)),
		laburnumdirector.WithHeartbeat(time.Duration(c.settings.Times.Heartbeat)),
		laburnumdirector.WithStore(time.Duration(c.settings.StoreWindow), c.settings.StoreOvershoot),
		laburnumdirector.WithLogger(c.logger),
		laburnumdirector.WithScope(c.metrics.Scope()))
	d.SetLeaderCheck(func() bool { return c.voter.Status().Role == laburnumlog.Leader.String() })
	d.OnOverlay(c.source.SetOverlay)
	d.OnLeaseChange(c.directing)
	d.OnReplaced(c.gone)
	c.source.OnGatewayReport(c.news)
	c.peers.Handle(methodNeed, c.handleNeed)
	c.director = d
}

// news takes a gateway's report. A backend server whose address another one has now is gone, which
// is known before its heartbeats are missed.
func (c *Control) news(vm laburnumlever.VMID, news laburnumlever.GatewayNews) {
	for _, id := range news.Replaced {
		c.gone(id)
	}
	c.director.SetGatewayReport(vm, news)
}

// gone records that an engine's address belongs to another one now.
func (c *Control) gone(backend laburnumlever.BackendID) {
	c.remove(backend)
	c.relay.addGone(backend)
}

// directing runs on the control thread.
func (c *Control) directing(directs bool) {
	if directs {
		c.source.SetDirector(c.self.ID)
		return
	}
	c.source.ClearOverlays()
	c.source.SetDirector("")
}

func (c *Control) handleNeed(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var q laburnumlever.AdapterNeed
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodNeed, Cause: err}
	}
	backends, err := c.director.EnsureAdapter(ctx, q)
	return needAnswer{Backends: backends}, err
}

func (c *Control) buildVoter() error {
	opts := []laburnumvoter.Option{
		laburnumvoter.WithDataFolder(c.settings.DataFolder),
		laburnumvoter.WithVoterTarget(voterTarget(c.settings.ControlLosses)),
		laburnumvoter.WithFirstChangeTolerance(c.settings.ControlLosses, growTimeout),
		laburnumvoter.WithContacts(c.contacts),
		laburnumvoter.WithReplaceAfter(time.Duration(replaceShare * float64(c.settings.Times.CatchUp))),
		laburnumvoter.WithProposalTimeout(proposalLimit),
		laburnumvoter.WithLogger(c.logger),
		laburnumvoter.WithScope(c.metrics.Scope()),
	}
	if c.settings.FirstStart {
		opts = append(opts, laburnumvoter.WithVoters(c.settings.SeedVoters()))
	}
	voter, err := laburnumvoter.New(c.loop, c.timers, c.peers, c.self, opts...)
	if err != nil {
		return &laburnumlever.StartError{Part: "voter", Cause: err}
	}
	voter.OnRoutes(c.routesApplied)
	c.voter = voter
	return nil
}

// contacts returns the known control VMs, the seeds included.
func (c *Control) contacts() []laburnumlever.Voter {
	var voters []laburnumlever.Voter
	for _, v := range c.settings.SeedVoters() {
		if v.VM != c.self.ID {
			voters = append(voters, v)
		}
	}
	for _, vm := range c.source.Controls() {
		voters = append(voters, laburnumlever.Voter{VM: vm.ID, PeerAddress: vm.PeerAddress})
	}
	return voters
}

// routesApplied runs on the control thread.
func (c *Control) routesApplied(t laburnumlever.RouteTable) {
	c.routes.Store(&t)
	c.source.SetRoutes(t)
	c.director.SetRoutes(t)
	_ = level.Info(c.logger).Log("event", laburnumlever.EventRoutesApplied, "version", t.Version, "routes", len(t.Routes))
}

// Start starts the control VM; handler serves the platform's calls.
func (c *Control) Start(handler http.Handler) error {
	if err := c.servePeers(); err != nil {
		return err
	}
	go c.loop.Run()
	c.voter.Start()
	c.director.Start()
	c.follower = laburnumfeed.NewFollower(c.peers, c.timers, c.self, c.seedPeers(), c, laburnumfeed.WithLogger(c.logger))
	if err := c.serveBackends("control", c.settings.Listen.Control, newServer(handler)); err != nil {
		return err
	}
	c.serveMetrics(c.status)
	c.timers.Every(expirePeriod, c.expire)
	c.timers.Every(usagePeriod, c.reportUsage)
	_ = level.Info(c.logger).Log("event", laburnumlever.EventStarted, "role", "control", "first-start", c.settings.FirstStart)
	return nil
}

// reportUsage logs what the control thread spent its time on.
func (c *Control) reportUsage(time.Time) {
	u := c.meter.Take()
	events := make([]string, 0, len(u.Events))
	for _, e := range u.Events {
		events = append(events, e.String())
	}
	_ = level.Info(c.logger).Log("event", laburnumlever.EventControlThread, "span-ms", u.Span.Milliseconds(), "busy-ms", u.Busy.Milliseconds(),
		"waited-ms", u.Waited.Milliseconds(), "longest", u.Longest.Event, "longest-ms", u.Longest.Took.Milliseconds(), "events", events)
}

// Shutdown transfers leadership and ends the process.
func (c *Control) Shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := c.voter.HandOver(ctx); err != nil {
		_ = level.Warn(c.logger).Log("event", laburnumlever.EventLeadershipNotHandedOver, "cause", err)
	}
	c.follower.Close()
	c.director.Close()
	_ = c.voter.Close()
	c.close()
	c.loop.Stop()
	_ = level.Info(c.logger).Log("event", laburnumlever.EventStopped, "role", "control")
}

// Heartbeat takes a backend server's heartbeat.
func (c *Control) Heartbeat(_ context.Context, h laburnumlever.Heartbeat) (string, error) {
	c.relay.add(h, c.take(h))
	return c.heartbeatAddress(h), nil
}

// heartbeatAddress is where a backend server should send later heartbeats: a control VM of its own
// availability zone. Without it, backend servers stay with the one that answered first, which
// may end up with most of the connections.
func (c *Control) heartbeatAddress(h laburnumlever.Heartbeat) string {
	peer := c.source.ControlInZone(h.Zone, string(h.Backend))
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(c.settings.Listen.Control) // the same on all VMs
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// Remove takes a backend server's deregistration.
func (c *Control) Remove(_ context.Context, backend laburnumlever.BackendID) error {
	c.remove(backend)
	c.relay.addGone(backend)
	return nil
}

// take records a heartbeat and reports whether it changed anything.
func (c *Control) take(h laburnumlever.Heartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.ApplyHeartbeat(h, c.timers.Now()) {
		c.offer(h.Backend)
		return true
	}
	c.director.SetHeartbeat(h)
	return false
}

// takeAlive records a heartbeat that another control VM received and that changed nothing.
func (c *Control) takeAlive(a alive) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.KeepAlive(a.Backend, a.Born, a.Sequence, c.timers.Now()) {
		c.offer(a.Backend)
	}
	c.director.SetHeartbeat(laburnumlever.Heartbeat{Backend: a.Backend, Born: a.Born, Sequence: a.Sequence})
}

func (c *Control) remove(backend laburnumlever.BackendID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.Remove(backend, c.timers.Now()) {
		c.offer(backend)
	}
}

// offer publishes a record; mu is held.
func (c *Control) offer(id laburnumlever.BackendID) {
	r, ok := c.registry.Record(id)
	if !ok {
		return
	}
	c.source.SetRecord(r)
	c.director.SetRecord(r)
	_ = c.noteLevel(r).Log("event", laburnumlever.EventBackendKnown, "backend", id, "service", r.Heartbeat.Service,
		"address", r.Heartbeat.Address, "sequence", r.Heartbeat.Sequence, "leaving", r.Heartbeat.Leaving,
		"gone", r.Gone, "silent", r.Silent)
}

// noteLevel logs a backend server that is new, leaves or falls silent at info level, changes of
// its models at debug level, since orders are logged anyway.
func (c *Control) noteLevel(r laburnumregistry.Record) log.Logger {
	if r.Gone || r.Silent || r.Heartbeat.Leaving || r.Heartbeat.Sequence <= 1 {
		return level.Info(c.logger)
	}
	return level.Debug(c.logger)
}

// tellControls relays recent heartbeats to the other control VMs.
func (c *Control) tellControls(news relayed) {
	encoded, err := json.Marshal(news)
	if err != nil {
		_ = level.Error(c.logger).Log("event", laburnumlever.EventNewsNotEncoded, "cause", err)
		return
	}
	for _, vm := range c.source.Controls() {
		c.peers.Notify(vm.PeerAddress, methodRelay, json.RawMessage(encoded))
	}
}

func (c *Control) handleRelay(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var news relayed
	if err := json.Unmarshal(params, &news); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodRelay, Cause: err}
	}
	for _, h := range news.Heartbeats {
		c.take(h)
	}
	for _, a := range news.Alive {
		c.takeAlive(a)
	}
	for _, id := range news.Gone {
		c.remove(id)
	}
	return struct{}{}, nil
}

func (c *Control) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.registry.MarkSilent(now) {
		c.offer(id)
	}
	for _, id := range c.registry.Prune(now) {
		c.source.Forget(id)
		c.director.SetRecord(laburnumregistry.Record{Heartbeat: laburnumlever.Heartbeat{Backend: id}, Gone: true})
	}
}

// ApplyRoutes commits a table to the log.
func (c *Control) ApplyRoutes(ctx context.Context, table laburnumlever.RouteTable) error {
	if err := laburnumroutes.Check(table); err != nil {
		_ = level.Info(c.logger).Log("event", laburnumlever.EventRoutesRefused, "version", table.Version, "cause", err)
		return err
	}
	encoded, err := laburnumlever.EncodeRoutes(table)
	if err != nil {
		return err
	}
	began := c.timers.Now()
	_, err = c.propose(ctx, laburnumlever.Command{Kind: laburnumlever.CommandApplyRoutes, Routes: &encoded})
	c.commits.RecordDuration(c.timers.Now().Sub(began))
	_ = level.Info(c.logger).Log("event", laburnumlever.EventRoutesProposed, "version", table.Version, "cause", err)
	return err
}

// voterTarget is how many voters tolerate the loss of some of them with their disks.
func voterTarget(losses int) int { return 2*losses + 1 }

// ReadRoutes is a linearizable read of the table; on a VM without a quorum it fails.
func (c *Control) ReadRoutes(ctx context.Context) (laburnumlever.RouteTable, error) {
	result, err := c.propose(ctx, laburnumlever.Command{Kind: laburnumlever.CommandReadRoutes})
	if err != nil {
		return laburnumlever.RouteTable{}, err
	}
	if result.Routes == nil {
		return laburnumlever.RouteTable{}, &laburnumlever.NotFoundError{Kind: "route table", Name: "newest"}
	}
	return result.Routes.Table()
}

func (c *Control) propose(ctx context.Context, cmd laburnumlever.Command) (laburnumlever.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return c.voter.Propose(ctx, cmd)
}

// HandleAnswer takes changes from another control VM.
func (c *Control) HandleAnswer(_ string, a laburnumfeed.Answer) {
	for _, vm := range a.Controls {
		if vm.HasDisk {
			c.source.NoteControl(vm)
		}
	}
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range a.Backends {
		if c.registry.MergeFromControl(r, now) {
			c.offer(r.Heartbeat.Backend)
		}
	}
}

// ControlLost does nothing: other control VMs are polled until they answer.
func (c *Control) ControlLost(string) {}

// HandleRoutes does nothing: a control VM gets routes from the log.
func (c *Control) HandleRoutes(laburnumlever.RouteTable) {}

// RoutesVersion keeps the follower from fetching routes, which come from the log.
func (c *Control) RoutesVersion() uint64 { return ^uint64(0) }

// GatewayReport is empty: callers are served by gateways.
func (c *Control) GatewayReport() laburnumlever.GatewayNews { return laburnumlever.GatewayNews{} }

// Reload applies changed settings: new seeds are polled beside the known control VMs.
func (c *Control) Reload(settings laburnumsettings.Role) {
	c.reload(settings, c.follower)
}
