package laburnumdirector

import (
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumoutlier"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumresidency"
	"laburnumlever/laburnumroom"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

const (
	tickPeriod       = 100 * time.Millisecond
	withdrawDelay    = 250 * time.Millisecond // from the notice to gateways until the unload
	stateTimeout     = time.Second
	orderTimeout     = time.Second
	maxStateRequests = 64                     // concurrent state requests, each with a connection
	stateRetryDelay  = 500 * time.Millisecond // exceeds the delay of state reports
	resendDelay      = 300 * time.Millisecond
	// An order is overdue after overdueFactor times its expected duration plus overdueSlack, since
	// concurrent loads are slower. The state of the engine is requested then.
	overdueSlack  = 4 * time.Second
	overdueFactor = 3
)

// Director orders engines to load and unload models while its VM holds the placement lease.
type Director struct {
	loop     laburnumlever.Loop
	timers   laburnumlever.Timers
	proposer laburnumlever.Proposer
	calls    laburnumlever.ModelEngines
	self     laburnumlever.VM
	cfg      config
	clock    func() time.Duration
	done     chan struct{}
	once     sync.Once
	cancel   func()

	isLeader      func() bool
	onOverlay     func(laburnumregistry.Overlay)
	onLeaseChange func(directs bool)
	onReplaced    func(laburnumlever.BackendStart)
	onRoom        func(laburnumroom.Level)

	// The following fields are used by the control thread only.
	lease lease
	// lastFence is the fencing number of the last lease that this process held.
	lastFence       uint64
	engineClasses   map[laburnumlever.ServiceName]*laburnumlever.EngineClass
	records         map[laburnumlever.BackendID]laburnumregistry.Record
	engines         *engineTable
	stateRequests   int // state requests in flight
	demand          *estimator
	outliers        *laburnumoutlier.Detector
	room            *laburnumroom.Keeper
	storeBuckets    map[laburnumlever.ServiceName]*bucket
	adapterRequests []*adapterRequest
	startedAt       time.Time
	lastPlan        time.Time
	planning        map[laburnumlever.ServiceName]bool // services with a planning round in progress
	layoutLogged    map[laburnumlever.ServiceName]time.Time
}

var _ laburnumlever.Part = (*Director)(nil)

// New returns a director; Start starts it.
func New(loop laburnumlever.Loop, timers laburnumlever.Timers, proposer laburnumlever.Proposer, calls laburnumlever.ModelEngines, self laburnumlever.VM, opts ...Option) *Director {
	const defaultLease = 3 * time.Second
	const defaultHeartbeat = time.Second
	cfg := config{
		lease: defaultLease, heartbeat: defaultHeartbeat, logger: log.NewNopLogger(), scope: tally.NoopScope, clock: laburnumtimer.SinceBoot,
		spawn: func(call func()) { go call() }, compute: func(work func()) { go work() },
		planner: laburnumresidency.NextSteps, rise: riseTime, fall: fallTime, quiet: quietTime,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Director{
		loop: loop, timers: timers, proposer: proposer, calls: calls, self: self, cfg: cfg, clock: cfg.clock,
		done: make(chan struct{}), isLeader: func() bool { return false },
		onOverlay: func(laburnumregistry.Overlay) {}, onLeaseChange: func(bool) {}, onReplaced: func(laburnumlever.BackendStart) {},
		engineClasses: map[laburnumlever.ServiceName]*laburnumlever.EngineClass{},
		records:       map[laburnumlever.BackendID]laburnumregistry.Record{},
		engines:       newEngineTable(), demand: newEstimator(cfg.rise, cfg.fall, cfg.quiet), outliers: laburnumoutlier.New(), room: laburnumroom.NewKeeper(), startedAt: timers.Now(),
		storeBuckets: map[laburnumlever.ServiceName]*bucket{},
		layoutLogged: map[laburnumlever.ServiceName]time.Time{},
		planning:     map[laburnumlever.ServiceName]bool{},
	}
}

// SetLeaderCheck sets the function that tells whether this VM leads the log. Call it before Start.
func (d *Director) SetLeaderCheck(leads func() bool) { d.isLeader = leads }

// OnOverlay sets the callback for changes of an engine that its heartbeats do not show yet. The
// callback runs on the control thread.
func (d *Director) OnOverlay(fn func(laburnumregistry.Overlay)) { d.onOverlay = fn }

// OnLeaseChange sets the callback for gaining and losing the placement lease. The callback runs on
// the control thread.
func (d *Director) OnLeaseChange(fn func(directs bool)) { d.onLeaseChange = fn }

// OnReplaced sets the callback for an engine at whose address another engine answers. The callback
// runs on the control thread.
func (d *Director) OnReplaced(fn func(laburnumlever.BackendStart)) { d.onReplaced = fn }

// Start starts the director's timer.
func (d *Director) Start() {
	d.cancel = d.timers.Every(tickPeriod, func(now time.Time) { d.loop.Post(d, ticked{now: now}) })
}

// Close stops the director and fails pending calls of EnsureAdapter.
func (d *Director) Close() {
	d.once.Do(func() {
		if d.cancel != nil {
			d.cancel()
		}
		close(d.done)
	})
}

// SetRecord sets the registry's record of a backend server. It is safe for concurrent use.
func (d *Director) SetRecord(r laburnumregistry.Record) { d.loop.Post(d, recordUpdated{record: r}) }

// SetHeartbeat records a heartbeat that brings no change. It is safe for concurrent use.
func (d *Director) SetHeartbeat(h laburnumlever.Heartbeat) {
	d.loop.Post(d, heartbeatReceived{heartbeat: h})
}

// SetRoutes sets the routes in effect. It is safe for concurrent use.
func (d *Director) SetRoutes(t laburnumlever.RouteTable) { d.loop.Post(d, routesUpdated{table: t}) }

// SetGatewayReport applies a gateway's report on demand, adapter use, outcomes and unreachable
// backend servers. It is safe for concurrent use.
func (d *Director) SetGatewayReport(vm laburnumlever.VMID, report laburnumlever.GatewayReport) {
	d.loop.Post(d, gatewayReported{vm: vm, report: report})
}

// Handle implements laburnumlever.Part.
func (d *Director) Handle(ev laburnumlever.Event) {
	switch ev := ev.(type) {
	case ticked:
		d.onTick(ev.now)
	case recordUpdated:
		d.onRecord(ev.record)
	case heartbeatReceived:
		d.onHeartbeat(ev)
		return // changes no overlay
	case routesUpdated:
		d.onRoutes(ev.table)
	case gatewayReported:
		d.onGatewayReport(ev)
	case leaseAnswered:
		d.onLeaseAnswered(ev)
	case orderAnswered:
		d.onOrderAnswered(ev)
	case stateReceived:
		d.onStateReceived(ev)
	case adapterLoaded:
		d.onAdapterLoaded(ev)
	case adapterRequested:
		d.onAdapterRequest(ev.request)
	case roundPlanned:
		d.onRoundPlanned(ev)
	}
	d.publish()
}

func (d *Director) onTick(now time.Time) {
	d.maintainLease()
	d.decideRoom(now)
	if !d.lease.valid(d.clock()) {
		return
	}
	for _, id := range d.engines.ids() {
		if e := d.engines.get(id); e != nil {
			d.maintainEngine(e, now)
		}
	}
	if now.Sub(d.lastPlan) >= planPeriod {
		d.lastPlan = now
		for name, class := range d.engineClasses {
			d.plan(name, class, now)
		}
	}
	d.retryAdapterRequests(now)
}

func (d *Director) onGatewayReport(ev gatewayReported) {
	now := d.timers.Now()
	if len(ev.report.Demand) > 0 {
		d.demand.add(ev.vm, ev.report.Demand, now)
	}
	for _, use := range ev.report.Adapters {
		d.recordAdapterUse(adapterKey{model: use.Model, adapter: use.Adapter}, now.Add(-time.Duration(use.Idle)))
	}
	d.onOutcomes(ev.report.Outcomes, now)
	d.onRoomReport(ev.vm, ev.report.Room, now)
	for _, id := range ev.report.Unreachable {
		if e := d.engines.get(id); e != nil {
			e.unreachableAt = now
		}
	}
}

func (d *Director) onRoutes(t laburnumlever.RouteTable) {
	d.engineClasses = map[laburnumlever.ServiceName]*laburnumlever.EngineClass{}
	for _, s := range t.Services {
		if s.Engine != nil {
			d.engineClasses[s.Name] = s.Engine
		}
	}
	for id, r := range d.records {
		if d.engines.get(id) == nil {
			d.onRecord(r)
		}
	}
}

func (d *Director) onRecord(r laburnumregistry.Record) {
	id := r.Heartbeat.Backend
	if !r.AcceptsRequests() {
		delete(d.records, id)
		d.engines.remove(id)
		return
	}
	d.records[id] = r
	if d.engineClasses[r.Heartbeat.Service] == nil {
		return
	}
	e := d.engines.get(id)
	if e == nil || r.Heartbeat.Incarnation > e.heartbeat.Incarnation {
		e = d.registerEngine(r.Heartbeat, e)
	} else if r.Heartbeat.NewerThan(e.heartbeat) {
		e.heartbeatAt = d.timers.Now()
		if e.applyHeartbeat(r.Heartbeat, d.timers.Now()) {
			_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventOrderDone, "backend", id, "models", len(e.held))
		}
	}
	e.silent = r.Silent
}

// maxOrderDelay is the longest time that an order may be delayed in the network. Source: the
// platform's protocol.
const maxOrderDelay = 12 * time.Second

// registerEngine registers a new or restarted engine; before is its previous state, or nil. An
// order without an answer may still reach the new process, which counts its orders from zero and
// may accept it. No other order is sent for maxOrderDelay, as both together could overcommit the
// engine's memory.
func (d *Director) registerEngine(h laburnumlever.Heartbeat, before *engine) *engine {
	e := newEngine(h, d.engines)
	e.heartbeatAt = d.timers.Now()
	if before != nil && (before.inFlight != nil || before.unresolved != nil) {
		e.retryAt = e.heartbeatAt.Add(maxOrderDelay)
	}
	d.engines.put(e)
	return e
}

// onHeartbeat records that an engine is alive. The heartbeat is not stored as its last one: it may
// be older than the orders in progress.
func (d *Director) onHeartbeat(ev heartbeatReceived) {
	if e := d.engines.get(ev.heartbeat.Backend); e != nil && e.heartbeat.Incarnation == ev.heartbeat.Incarnation && ev.heartbeat.NewerThan(e.heartbeat) {
		e.heartbeatAt = d.timers.Now()
	}
}

// rebuildEngines rebuilds the state of all engines from their heartbeats, since another director
// may have sent orders.
func (d *Director) rebuildEngines() {
	d.engines = newEngineTable()
	d.storeBuckets = map[laburnumlever.ServiceName]*bucket{}
	for _, r := range d.records {
		d.onRecord(r)
	}
}

func (d *Director) takeStoreToken(e *engine, class *laburnumlever.EngineClass) bool {
	b := d.storeBuckets[e.heartbeat.Service]
	if b == nil {
		b = &bucket{}
		d.storeBuckets[e.heartbeat.Service] = b
	}
	return class.LoadsPerSecond <= 0 || b.take(d.clock(), class.LoadsPerSecond, d.cfg.burst(class.LoadsPerSecond))
}

// publish passes the overlays of changed engines to the OnOverlay callback.
func (d *Director) publish() {
	changed := d.engines.takeChanged()
	if !d.lease.held {
		return // the next lease rebuilds all engines
	}
	for _, e := range changed {
		e.changed = false
		if d.engines.get(e.heartbeat.Backend) == e {
			o := e.overlay(d.lease.fence, d.outliers.Detections(e.heartbeat.Backend, e.heartbeat.Incarnation))
			if d.cfg.tellsLoads {
				o.Loading = e.loading(d.timers.Now())
			}
			d.onOverlay(o)
		}
	}
}

func (e *engine) overlay(fence, outliers uint64) laburnumregistry.Overlay {
	o := laburnumregistry.Overlay{
		Backend: e.heartbeat.Backend, Fence: fence, Incarnation: e.heartbeat.Incarnation, Sequence: e.heartbeat.Sequence, Outliers: outliers,
	}
	for name, h := range e.held {
		if h.withdrawn {
			o.Withdrawn = append(o.Withdrawn, name)
			continue
		}
		m := laburnumlever.EngineModel{Name: name, Version: h.version}
		for a, held := range h.adapters {
			if held.ready {
				m.Adapters = append(m.Adapters, a)
			}
		}
		slices.Sort(m.Adapters)
		if len(m.Adapters) > 0 {
			o.Adapters = append(o.Adapters, m)
		}
	}
	slices.Sort(o.Withdrawn)
	slices.SortFunc(o.Adapters, func(a, b laburnumlever.EngineModel) int { return compareNames(a.Name, b.Name) })
	return o
}
