package laburnumroles

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
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
	// proposeTimeout answers an operator before it gives up on this VM, which it
	// does after a second.
	proposeTimeout = 900 * time.Millisecond
	// usagePeriod is how often the control thread's use of its time is told.
	usagePeriod = 5 * time.Second
	// expirePeriod is how often silent backend servers are looked for.
	expirePeriod = 500 * time.Millisecond
	// replaceShare of the time in which a new VM must count passes before a
	// silent voter is replaced: the rest is for an election before, if the leader was it.
	replaceShare = 0.5
	// handOverTimeout bounds the wait for another voter to lead.
	handOverTimeout = time.Second
	// growTimeout is when the log is taken to have all the voters it will get, this long
	// after its leader's start.
	growTimeout = 12 * time.Second
	// proposalLimit bounds any proposal, those of the director too.
	proposalLimit = 3 * time.Second
)

// commitBuckets reach from one sync of a disk to the time that an operator waits.
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
	// commits is the time that the log takes for an operator's change.
	commits tally.Histogram

	mu       sync.Mutex
	registry *laburnumregistry.Table
}

var (
	_ laburnumlever.FleetControl = (*Control)(nil)
	_ laburnumfeed.Sink          = (*Control)(nil)
)

// NewControl makes a control VM that does not run yet. An error is a *StartError.
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
	d.OnLeads(func() bool { return c.voter.Status().Role == laburnumlog.Leader.String() })
	d.OnOverlay(c.source.SetOverlay)
	d.OnDirecting(c.directing)
	d.OnGone(c.gone)
	c.source.OnNews(c.news)
	c.peers.Handle(methodNeed, c.handleNeed)
	c.director = d
}

// news takes what a gateway tells. A backend server whose address is another's now has
// ended without a word; that is known here before its heartbeats are missed.
func (c *Control) news(vm laburnumlever.VMID, news laburnumlever.GatewayNews) {
	for _, id := range news.Replaced {
		c.gone(id)
	}
	c.director.SetNews(vm, news)
}

// gone notes that an engine's address is another's now.
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
	backends, err := c.director.Need(ctx, q)
	return needAnswer{Backends: backends}, err
}

func (c *Control) buildVoter() error {
	opts := []laburnumvoter.Option{
		laburnumvoter.WithDataFolder(c.settings.DataFolder),
		laburnumvoter.WithVoterTarget(voterTarget(c.settings.ControlLosses)),
		laburnumvoter.WithFirstChange(c.settings.ControlLosses, growTimeout),
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

// contacts are the control VMs that this one knows of, the seeds included.
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
	c.source.SetRoutes(t)
	c.director.SetRoutes(t)
	_ = level.Info(c.logger).Log("event", laburnumlever.EventRoutesApplied, "version", t.Version, "routes", len(t.Routes))
}

// Start runs the control VM; handler serves the platform's calls.
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
	c.serveMetrics()
	c.timers.Every(expirePeriod, c.expire)
	c.timers.Every(usagePeriod, c.reportUsage)
	_ = level.Info(c.logger).Log("event", laburnumlever.EventStarted, "role", "control", "first-start", c.settings.FirstStart)
	return nil
}

// reportUsage tells what the control thread was busy with, so that one that falls behind shows
// what it falls behind with.
func (c *Control) reportUsage(time.Time) {
	u := c.meter.Take()
	events := make([]string, 0, len(u.Events))
	for _, e := range u.Events {
		events = append(events, e.String())
	}
	_ = level.Info(c.logger).Log("event", laburnumlever.EventControlThread, "span-ms", u.Span.Milliseconds(), "busy-ms", u.Busy.Milliseconds(),
		"waited-ms", u.Waited.Milliseconds(), "longest", u.Longest.Event, "longest-ms", u.Longest.Took.Milliseconds(), "events", events)
}

// Shutdown hands the leadership over and ends the process.
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

// Heartbeat takes a backend server's word about itself.
func (c *Control) Heartbeat(_ context.Context, h laburnumlever.Heartbeat) (string, error) {
	c.relay.add(h, c.take(h))
	return c.heartbeatAddress(h), nil
}

// heartbeatAddress is where a backend server's later heartbeats are best sent: a control VM
// of its own availability zone. Left to themselves, backend servers gather at the one that
// happened to answer: before 1,003 of them the busiest control VM had 1,644 connections and
// the one in the middle 358; with it, and idle connections closed, 1,268 and 325.
func (c *Control) heartbeatAddress(h laburnumlever.Heartbeat) string {
	peer := c.source.Nearest(h.Zone, string(h.Backend))
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

// Remove takes a backend server's word that it is gone.
func (c *Control) Remove(_ context.Context, backend laburnumlever.BackendID) error {
	c.remove(backend)
	c.relay.addGone(backend)
	return nil
}

// take notes a heartbeat and tells whether it brought something new.
func (c *Control) take(h laburnumlever.Heartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.Take(h, c.timers.Now()) {
		c.offer(h.Backend)
		return true
	}
	c.director.SetHeard(h)
	return false
}

// takeAlive notes that another control VM heard a heartbeat that brought nothing new.
func (c *Control) takeAlive(a alive) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.Alive(a.Backend, a.Born, a.Sequence, c.timers.Now()) {
		c.offer(a.Backend)
	}
	c.director.SetHeard(laburnumlever.Heartbeat{Backend: a.Backend, Born: a.Born, Sequence: a.Sequence})
}

func (c *Control) remove(backend laburnumlever.BackendID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.Remove(backend, c.timers.Now()) {
		c.offer(backend)
	}
}

// offer puts a record into the feed; mu is held.
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

// noteLevel logs a backend server that is new, leaves or falls silent, and only at the
// debug level that its models changed: orders are logged where they are given.
func (c *Control) noteLevel(r laburnumregistry.Record) log.Logger {
	if r.Gone || r.Silent || r.Heartbeat.Leaving || r.Heartbeat.Sequence <= 1 {
		return level.Info(c.logger)
	}
	return level.Debug(c.logger)
}

// tellControls sends what was heard lately to the other control VMs, so that each knows
// who is alive whichever one a backend server talks to.
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
	for _, id := range c.registry.Expire(now) {
		c.offer(id)
	}
	for _, id := range c.registry.Forget(now) {
		c.source.Forget(id)
		c.director.SetRecord(laburnumregistry.Record{Heartbeat: laburnumlever.Heartbeat{Backend: id}, Gone: true})
	}
}

// ApplyRoutes puts a table into force through the log.
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

// voterTarget is how many voters bear the loss of some of them, with their disks.
func voterTarget(losses int) int { return 2*losses + 1 }

// ReadRoutes reads the newest table through the log, so that a VM that is cut off
// says that it can't be sure.
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

// Learn takes what another control VM knows.
func (c *Control) Learn(_ string, a laburnumfeed.Answer) {
	for _, vm := range a.Controls {
		if vm.HasDisk {
			c.source.NoteControl(vm)
		}
	}
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range a.Backends {
		if c.registry.Adopt(r, now) {
			c.offer(r.Heartbeat.Backend)
		}
	}
}

// Lost says that another control VM does not answer.
func (c *Control) Lost(string) {}

// LearnRoutes does nothing: routes come to a control VM through the log.
func (c *Control) LearnRoutes(laburnumlever.RouteTable) {}

// RoutesVersion keeps the follower from fetching routes, which come through the log.
func (c *Control) RoutesVersion() uint64 { return ^uint64(0) }

// News is none: callers come to gateways.
func (c *Control) News() laburnumlever.GatewayNews { return laburnumlever.GatewayNews{} }

// Reload takes changed settings: other seeds are followed from now on, beside those
// known.
func (c *Control) Reload(settings laburnumsettings.Role) {
	c.reload(settings, c.follower)
}
