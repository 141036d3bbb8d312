package laburnumroles

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdirector"
	"laburnumlever/laburnumendpoints"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumintake"
	"laburnumlever/laburnumlog"
	"laburnumlever/laburnumquota"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumrevocation"
	"laburnumlever/laburnumroom"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumvoter"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

const (
	// usagePeriod is the interval between log lines on the control thread's usage.
	usagePeriod = 5 * time.Second
	// rememberPeriods is the number of heartbeat periods after the start in which gateways that start get the servers from before.
	rememberPeriods = 2
	// expirePeriod is the interval between checks for silent backend servers.
	expirePeriod = 500 * time.Millisecond
	// replaceVoterShare is the share of the catch-up time after which a silent voter is replaced. The
	// rest is left for an election, in case the voter was the leader.
	replaceVoterShare = 0.5
	// leadershipTransferTimeout bounds the transfer of leadership at shutdown.
	leadershipTransferTimeout = time.Second
	// voterGrowthTimeout, from the leader's start, is how long an operator's first change is rejected while
	// the log has fewer voters than tolerate the configured loss of disks.
	voterGrowthTimeout = 12 * time.Second
	// proposalTimeout bounds every proposal, including the director's.
	proposalTimeout = 3 * time.Second
)

// commitTimeBuckets range from the time of one disk sync to an operator's timeout.
var commitTimeBuckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
}

// Control is a control VM's process. It implements laburnumlever.FleetControl.
type Control struct {
	process
	loop     *laburnumeventloop.Loop
	meter    *laburnumeventloop.Meter
	voter    *laburnumvoter.Voter
	source   *laburnumfeed.Source
	follower *laburnumfeed.Follower
	director *laburnumdirector.Director
	relay    *relay
	// quarantine finds requests that crash backend servers.
	quarantine *quarantine
	// lifts tells the other control VMs of lifted parts.
	lifts *lifts
	// confirmations confirms which route table is the newest.
	confirmations *confirmations
	// quotas grants shares of client accounts' quotas.
	quotas *quotas
	// decodeRoutes decodes the operators' text of tables from the log, committed holds the newest of these.
	decodeRoutes laburnumlever.RoutesDecoder
	committed    *newestRoutes
	// brittle leases places on brittle backend servers.
	brittle *brittle
	// connections leases connections to backend servers.
	connections *connections
	// limits grants slots at limited backend servers.
	limits *limits
	// endpoints saves endpoint state; nil if that is off.
	endpoints *endpoints
	// streams keeps which software versions began streams, versions remembers over restarts which there were.
	streams  *streams
	versions *versionList
	// saves are those of endpoints and versions that run.
	saves saves
	// foreign counts entries of other writers.
	foreign *laburnumfeed.ForeignEntries
	// commitTimes are the times to commit an operator's change.
	commitTimes tally.Histogram
	// routes is the route table in effect; nil before the first one. routesMu is held while it is changed, and routesChanged is
	// closed then.
	routes        atomic.Pointer[laburnumlever.RouteTable]
	routesMu      sync.Mutex
	routesChanged chan struct{}

	mu       sync.Mutex
	registry *laburnumregistry.Table
	// room holds the levels that this VM has published as the director.
	room *laburnumroom.Table
}

var (
	_ laburnumlever.FleetControl = (*Control)(nil)
	_ laburnumfeed.Sink          = (*Control)(nil)
)

// NewControl returns a control VM that is not started. decode decodes the operators' text of route tables. An error is a
// *StartError.
func NewControl(settings laburnumsettings.RoleSettings, engines laburnumlever.ModelEngines, decode laburnumlever.RoutesDecoder, opts ...Option) (*Control, error) {
	meter := laburnumeventloop.NewMeter()
	c := &Control{process: newProcess(settings, opts), loop: laburnumeventloop.New(laburnumeventloop.WithMeter(meter)), meter: meter, decodeRoutes: decode}
	c.committed, c.routesChanged = &newestRoutes{use: c.useCommitted}, make(chan struct{})
	c.commitTimes = c.metrics.Scope().Histogram("routes_commit_seconds", commitTimeBuckets)
	c.foreign = laburnumfeed.NewForeignEntries(c.logger, c.metrics.Scope())
	c.registry, c.room = laburnumregistry.New(time.Duration(settings.Times.Heartbeat)), laburnumroom.NewTable()
	c.versions = &versionList{
		store: laburnumendpoints.New(settings.DataFolder), saves: &c.saves, timers: c.timers, logger: c.logger, known: c.allSoftware, controls: c.controlCount,
		start: func() uint64 { return c.voter.Starts() }, confirmed: func() bool { return c.voter.StartConfirmed() },
		complete: func() bool { return c.streams.complete() },
	}
	c.streams = newStreams(c.timers, c.serviceSoftware, func() bool { return c.source.Isolated() }, c.versions, time.Duration(settings.Times.Heartbeat), settings.FirstStart, c.metrics.Scope())
	c.peers.Handle(methodStreamRecord, c.streams.handleRecord)
	c.peers.Handle(methodStreamLookup, c.streams.handleLookup)
	c.source = laburnumfeed.NewSource(c.peers, c.timers, c.self, laburnumfeed.WithSourceLogger(c.logger), laburnumfeed.WithCompleteness(c.streams.complete))
	c.relay = newRelay(c.timers, c.relayToControls)
	c.peers.Handle(methodHeartbeatRelay, c.handleRelay)
	c.quarantine = newQuarantine(c.timers, c.source, c.logger, c.metrics.Scope())
	c.lifts = newLifts(c.peers, c.timers, c.logger, c.source.Controls)
	c.peers.Handle(methodQuarantineReport, c.quarantine.handleReport)
	c.peers.Handle(methodTrialBegin, c.quarantine.handleTrialBegin)
	c.peers.Handle(methodTrialEnd, c.quarantine.handleTrialEnd)
	c.limits = newLimits(c.timers, c.source, c.logger, c.metrics.Scope())
	c.peers.Handle(methodLimitReport, c.limits.handleReport)
	c.peers.Handle(methodLimitSlot, c.limits.handleSlot)
	c.brittle = newBrittle(c.timers, c.peers, c.self.PeerAddress, c.source, c.logger, c.metrics.Scope())
	c.peers.Handle(methodLease, c.brittle.handleLease)
	c.peers.Handle(methodReturnLeases, c.brittle.handleReturn)
	c.connections = newConnections(c.timers, c.peers, c.self.PeerAddress, c.source, c.logger, c.metrics.Scope())
	c.peers.Handle(methodLeaseConnections, c.connections.handle)
	c.peers.Handle(methodHelpers, c.handleHelpers)
	if err := c.buildVoter(); err != nil {
		return nil, err
	}
	c.versions.load(settings.FirstStart)
	c.buildConfirmations()
	c.quotas = newQuotas(c.timers, c.source, c.confirmations, c.logger, c.metrics.Scope(),
		laburnumquota.Terms(settings.Quota.Terms()), time.Duration(settings.Times.Revoke))
	c.peers.Handle(methodQuotaGrant, c.quotas.handle)
	c.buildDirector(engines)
	if settings.RememberServers {
		c.endpoints = newEndpoints(settings.DataFolder, &c.saves, c.logger)
		c.source.SetRemembered(c.endpoints.load(), c.timers.Now().Add(rememberPeriods*time.Duration(settings.Times.Heartbeat)))
	}
	return c, nil
}

// Intake accounts for what backend servers and operators have this VM hold.
func (c *Control) Intake() *laburnumintake.Intake { return c.intake }

func (c *Control) buildConfirmations() {
	c.confirmations = newConfirmations(c.peers, c.voter)
	c.confirmations.logger, c.confirmations.timers = c.logger, c.timers
	c.confirmations.self, c.confirmations.contacts = c.self.PeerAddress, c.contacts
	c.confirmations.validFor = time.Duration(c.settings.Times.Revoke)
	c.voter.OnCommitted(func(version uint64, asOf time.Duration) {
		c.confirmations.note(laburnumrevocation.Confirmation{Version: version, AsOf: asOf})
	})
	c.peers.Handle(methodConfirmRoutes, c.confirmations.handle)
}

func (c *Control) buildDirector(engines laburnumlever.ModelEngines) {
	d := laburnumdirector.New(c.loop, c.timers, c.voter, newRestingEngines(engines, c.timers), c.self,
		laburnumdirector.WithLease(time.Duration(c.settings.Times.Lease)),
		laburnumdirector.WithHeartbeat(time.Duration(c.settings.Times.Heartbeat)),
		laburnumdirector.WithStore(time.Duration(c.settings.StoreWindow), c.settings.StoreOvershoot),
		laburnumdirector.WithLoadsTold(c.settings.SharedMachines.KnownReturns),
		laburnumdirector.WithLogger(c.logger),
		laburnumdirector.WithScope(c.metrics.Scope()))
	d.SetLeaderCheck(func() bool { return c.voter.Status().Role == laburnumlog.Leader.String() })
	d.OnOverlay(c.source.SetOverlay)
	if c.settings.SharedMachines.ByUrgency {
		d.OnRoom(c.publishRoom)
	}
	d.OnLeaseChange(c.leaseChanged)
	d.OnReplaced(c.removeAndRelay)
	c.source.OnGatewayReport(c.recordGatewayReport)
	c.peers.Handle(methodAdapterRequest, c.handleAdapterRequest)
	c.director = d
}

// recordGatewayReport processes a gateway's report. A backend server whose address was taken over by
// another one is removed at once, without waiting for its heartbeats to time out.
func (c *Control) recordGatewayReport(vm laburnumlever.VMID, report laburnumlever.GatewayReport) {
	for _, b := range startsOf(report.Replaced, report.ReplacedStarts) {
		c.removeAndRelay(b)
	}
	for _, b := range report.Leaving {
		c.markLeaving(b)
	}
	c.director.SetGatewayReport(vm, report)
}

// removeAndRelay removes a backend server whose address was taken over by another one, and relays the
// removal to the other control VMs.
func (c *Control) removeAndRelay(b laburnumlever.BackendStart) {
	c.remove(b)
	c.relay.addGone(b)
}

// startsOf adds the starts to identities: those that are not known are of incarnation 0, which stands for any.
func startsOf(ids []laburnumlever.BackendID, starts []laburnumlever.BackendStart) []laburnumlever.BackendStart {
	list := slices.Clone(starts)
	for _, id := range ids {
		if !slices.ContainsFunc(starts, func(b laburnumlever.BackendStart) bool { return b.Backend == id }) {
			list = append(list, laburnumlever.BackendStart{Backend: id})
		}
	}
	return list
}

// markLeaving records that a backend server has told a gateway that it leaves, and relays it to the other control VMs.
func (c *Control) markLeaving(b laburnumlever.BackendStart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, changed := c.registry.MarkLeaving(b.Backend, b.Incarnation); changed {
		c.publishRecord(b.Backend)
		c.relay.addHeartbeat(r.Heartbeat, true)
	}
}

// leaseChanged announces whether this VM holds the placement lease. It runs on the control thread.
func (c *Control) leaseChanged(held bool) {
	if held {
		c.source.SetDirector(c.self.ID)
		return
	}
	c.source.ClearOverlays()
	c.clearRoom()
	c.source.SetDirector("")
}

func (c *Control) handleAdapterRequest(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var request laburnumlever.AdapterRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodAdapterRequest, Cause: err}
	}
	backends, err := c.director.EnsureAdapter(ctx, request)
	return adapterRequestAnswer{Backends: backends}, err
}

func (c *Control) buildVoter() error {
	opts := []laburnumvoter.Option{
		laburnumvoter.WithDataFolder(c.settings.DataFolder),
		laburnumvoter.WithVoterTarget(voterTarget(c.settings.ControlLosses)),
		laburnumvoter.WithFirstChangeTolerance(c.settings.ControlLosses, voterGrowthTimeout),
		laburnumvoter.WithContacts(c.contacts),
		laburnumvoter.WithReplaceAfter(time.Duration(replaceVoterShare * float64(c.settings.Times.CatchUp))),
		laburnumvoter.WithProposalTimeout(proposalTimeout),
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
	voter.OnRoutes(c.committed.put)
	c.voter = voter
	return nil
}

// contacts returns the known control VMs, including the seeds.
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

// Start starts the control VM; handler serves operators and backend servers. Errors:
// *laburnumlever.ListenError.
func (c *Control) Start(handler http.Handler) error {
	if err := c.servePeers(); err != nil {
		return err
	}
	go c.loop.Run()
	c.voter.Start()
	c.director.Start()
	c.follower = laburnumfeed.NewFollower(c.peers, c.timers, c.self, c.seedPeers(), c, laburnumfeed.WithLogger(c.logger), laburnumfeed.WithForeignEntries(c.foreign), laburnumfeed.WithDocument())
	if err := c.serveBackends("control", c.settings.Listen.Control, newServer(handler)); err != nil {
		return err
	}
	c.reportIntake()
	c.serveMetrics(c.status, operatorCall{pattern: "POST " + liftPath, handle: c.handleLift})
	c.quarantine.start()
	c.limits.start()
	c.brittle.start()
	c.connections.start()
	c.streams.start()
	c.versions.startSaving(time.Duration(c.settings.Times.Heartbeat))
	c.quotas.start()
	if c.endpoints != nil {
		c.endpoints.start(c.timers, time.Duration(c.settings.Times.Heartbeat), c.records)
	}
	c.timers.Every(expirePeriod, c.expire)
	c.timers.Every(usagePeriod, c.reportUsage)
	_ = level.Info(c.logger).Log("event", laburnumlever.EventStarted, "role", "control", "zone", c.self.Zone, "first-start", c.settings.FirstStart)
	return nil
}

// reportUsage logs which events took the control thread's time.
func (c *Control) reportUsage(time.Time) {
	u := c.meter.Take()
	events := make([]string, 0, len(u.Events))
	for _, e := range u.Events {
		events = append(events, e.String())
	}
	_ = level.Info(c.logger).Log("event", laburnumlever.EventControlThreadTimes, "span-ms", u.Span.Milliseconds(), "busy-ms", u.Busy.Milliseconds(),
		"waited-ms", u.MaxWait.Milliseconds(), "longest", u.Longest.Event, "longest-ms", u.Longest.Duration.Milliseconds(), "events", events)
}

// Shutdown transfers leadership of the log and stops the process. ctx bounds the transfer.
func (c *Control) Shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	if err := c.voter.TransferLeadership(ctx); err != nil {
		_ = level.Warn(c.logger).Log("event", laburnumlever.EventLeadershipNotHandedOver, "cause", err)
	}
	c.follower.Close()
	c.director.Close()
	c.lifts.close()
	_ = c.voter.Close()
	c.saves.close()
	c.close()
	c.loop.Stop()
	_ = level.Info(c.logger).Log("event", laburnumlever.EventStopped, "role", "control")
}

// Heartbeat records a backend server's heartbeat and relays it to the other control VMs. It returns
// the address for the next heartbeats, or "" for no change.
func (c *Control) Heartbeat(_ context.Context, h laburnumlever.Heartbeat) (string, error) {
	c.relay.addHeartbeat(h, c.recordHeartbeat(h))
	return c.heartbeatAddress(h), nil
}

// HeartbeatRefused counts a heartbeat that names no backend server to use.
func (c *Control) HeartbeatRefused(_ laburnumlever.BackendID, cause error) {
	c.foreign.Note("heartbeat", cause)
}

// heartbeatAddress returns the control VM, in the backend server's own availability zone, to which it
// should send its next heartbeats. Without this, backend servers stay with the control VM that answered
// first, and one VM may end up with most of the connections.
func (c *Control) heartbeatAddress(h laburnumlever.Heartbeat) string {
	peer := c.source.ControlInZone(h.Zone, string(h.Backend))
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(c.settings.Listen.Control) // the port is the same on all control VMs
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// Remove deregisters a backend server here and on the other control VMs.
func (c *Control) Remove(_ context.Context, backend laburnumlever.BackendID) error {
	c.mu.Lock()
	r, _ := c.registry.Record(backend)
	c.mu.Unlock()
	b := laburnumlever.BackendStart{Backend: backend, Incarnation: r.Heartbeat.Incarnation}
	c.remove(b)
	c.relay.addGone(b)
	return nil
}

// recordHeartbeat records a heartbeat and reports whether it changed anything.
func (c *Control) recordHeartbeat(h laburnumlever.Heartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.ApplyHeartbeat(h, c.timers.Now()) {
		c.publishRecord(h.Backend)
		return true
	}
	c.director.SetHeartbeat(h)
	return false
}

// recordUnchanged records a heartbeat, received by another control VM, without changed content.
func (c *Control) recordUnchanged(h unchangedHeartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.KeepAlive(h.Backend, h.Incarnation, h.Sequence, c.timers.Now()) {
		c.publishRecord(h.Backend)
	}
	c.director.SetHeartbeat(laburnumlever.Heartbeat{Backend: h.Backend, Incarnation: h.Incarnation, Sequence: h.Sequence})
}

func (c *Control) remove(b laburnumlever.BackendStart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.RemoveStart(b.Backend, b.Incarnation, c.timers.Now()) {
		c.publishRecord(b.Backend)
	}
}

// publishRecord publishes a backend server's record to the feed and the director. The caller holds mu.
func (c *Control) publishRecord(id laburnumlever.BackendID) {
	r, ok := c.registry.Record(id)
	if !ok {
		return
	}
	c.source.SetRecord(r)
	c.director.SetRecord(r)
	c.versions.note(r.Heartbeat)
	if c.endpoints != nil {
		c.endpoints.noteChange()
	}
	_ = c.recordLogger(r).Log("event", laburnumlever.EventBackendChanged, "backend", id, "service", r.Heartbeat.Service,
		"address", r.Heartbeat.Address, "software", r.Heartbeat.Software, "sequence", r.Heartbeat.Sequence, "leaving", r.Heartbeat.Leaving,
		"gone", r.Gone, "silent", r.Silent)
}

// records returns the records of all backend servers.
func (c *Control) records() []laburnumregistry.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Records()
}

// recordLogger returns the logger for a record: info level for a backend server that is new, leaving,
// silent or gone, and debug level for changes of its models, since orders are logged separately.
func (c *Control) recordLogger(r laburnumregistry.Record) log.Logger {
	if r.Gone || r.Silent || r.Heartbeat.Leaving || r.Heartbeat.Sequence <= 1 {
		return level.Info(c.logger)
	}
	return level.Debug(c.logger)
}

// relayToControls sends a batch of heartbeats to the other control VMs.
func (c *Control) relayToControls(batch relayBatch) {
	encoded, err := json.Marshal(batch)
	if err != nil {
		_ = level.Error(c.logger).Log("event", laburnumlever.EventBackendStateNotEncoded, "cause", err)
		return
	}
	for _, vm := range c.source.Controls() {
		c.peers.Notify(vm.PeerAddress, methodHeartbeatRelay, json.RawMessage(encoded))
	}
}

func (c *Control) handleRelay(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var batch relayBatch
	if err := json.Unmarshal(params, &batch); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodHeartbeatRelay, Cause: err}
	}
	for _, cause := range batch.unreadable {
		c.foreign.Note(methodHeartbeatRelay, cause)
	}
	for _, h := range batch.Heartbeats {
		c.recordHeartbeat(h)
	}
	for _, h := range batch.Alive {
		c.recordUnchanged(h)
	}
	for _, b := range startsOf(batch.Gone, batch.GoneStarts) {
		c.remove(b)
	}
	return struct{}{}, nil
}

func (c *Control) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.registry.MarkSilent(now) {
		c.publishRecord(id)
	}
	for _, id := range c.registry.Prune(now) {
		c.source.Forget(id)
		c.director.SetRecord(laburnumregistry.Record{Heartbeat: laburnumlever.Heartbeat{Backend: id}, Gone: true})
	}
}

// voterTarget is the number of voters that tolerates a number of lost voters, disks included.
func voterTarget(losses int) int { return 2*losses + 1 }

// HandleAnswer applies changes received from another control VM.
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
			c.publishRecord(r.Heartbeat.Backend)
		}
	}
	if a.Complete {
		c.streams.setComplete()
	}
}

// controlCount returns the number of control VMs, this one included. One that has been cut off for long knows the others by the log
// only.
func (c *Control) controlCount() int {
	_, n := c.source.Rank("")
	return max(n, len(c.voter.Status().Voters))
}

// allSoftware returns the software versions of all services.
func (c *Control) allSoftware() servicesVersions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.AllSoftware()
}

// serviceSoftware returns the software versions of a service's backend servers.
func (c *Control) serviceSoftware(service laburnumlever.ServiceName) []laburnumlever.SoftwareVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Software(service)
}

// ControlLost does nothing: other control VMs are polled until they answer.
func (c *Control) ControlLost(string) {}

// GatewayReport is empty: only gateways serve callers and have backend state to report.
func (c *Control) GatewayReport() laburnumlever.GatewayReport { return laburnumlever.GatewayReport{} }

// Reload applies changed settings: new seeds are polled in addition to the known control VMs.
func (c *Control) Reload(settings laburnumsettings.RoleSettings) {
	c.reload(settings, c.follower)
}
