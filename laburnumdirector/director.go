package laburnumdirector

import (
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumresidency"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

const (
	// tickPeriod is how often the director looks for work: short beside the time
	// of any load.
	tickPeriod = 100 * time.Millisecond
	// withdrawTime is how long gateways get to hear that a model goes before its
	// unload is ordered; one that has not heard is told by the engine that the
	// request was not run.
	withdrawTime = 250 * time.Millisecond
	// stateTimeout bounds a question to an engine, orderTimeout an order.
	stateTimeout = time.Second
	orderTimeout = time.Second
	// maxAsking is how many engines are asked for their state at once: each question is a
	// connection, and a VM that comes to give the orders asks all engines.
	maxAsking = 64
	// stateRetry is how long a report lags, and some.
	stateRetry = 500 * time.Millisecond
	// unsureRetry is when an order without an answer is sent again.
	unsureRetry = 300 * time.Millisecond
	// workSlack is how much longer than expected an order's work may take before
	// the engine is asked.
	workSlack = 4 * time.Second
	// workStretch multiplies the expected time: many loads at once take longer.
	workStretch = 3
)

// Director is a part of the control thread.
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

	leads       func() bool
	onOverlay   func(laburnumregistry.Overlay)
	onDirecting func(directs bool)
	onGone      func(laburnumlever.BackendID)

	// Control thread only, from here on.
	lease lease
	// lastFence is the fencing number of the last lease of this VM since its start.
	lastFence uint64
	services  map[laburnumlever.ServiceName]*laburnumlever.EngineClass
	records   map[laburnumlever.BackendID]laburnumregistry.Record
	engines   *engineTable
	asking    int // engines that are being asked for their state
	demand    *estimator
	store     map[laburnumlever.ServiceName]*bucket
	needs     []*need
	// startedAt is when this VM began to hear of engines.
	startedAt time.Time
	// plannedAt is when the planner was asked last, planning the services of which a round is
	// under way.
	plannedAt time.Time
	planning  map[laburnumlever.ServiceName]bool
	// laidOutAt is when the layout of a service was told last.
	laidOutAt map[laburnumlever.ServiceName]time.Time
}

var _ laburnumlever.Part = (*Director)(nil)

// New makes a director that does not run yet.
func New(loop laburnumlever.Loop, timers laburnumlever.Timers, proposer laburnumlever.Proposer, calls laburnumlever.ModelEngines, self laburnumlever.VM, opts ...Option) *Director {
	const defaultLease = 3 * time.Second
	const defaultHeartbeat = time.Second
	cfg := config{
		lease: defaultLease, heartbeat: defaultHeartbeat, logger: log.NewNopLogger(), scope: tally.NoopScope, clock: bootClock,
		spawn: func(call func()) { go call() }, compute: func(work func()) { go work() },
		next: laburnumresidency.Next, rise: riseTime, fall: fallTime, young: youngTime, quiet: quietTime,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Director{
		loop: loop, timers: timers, proposer: proposer, calls: calls, self: self, cfg: cfg, clock: cfg.clock,
		done: make(chan struct{}), leads: func() bool { return false },
		onOverlay: func(laburnumregistry.Overlay) {}, onDirecting: func(bool) {}, onGone: func(laburnumlever.BackendID) {},
		services: map[laburnumlever.ServiceName]*laburnumlever.EngineClass{},
		records:  map[laburnumlever.BackendID]laburnumregistry.Record{},
		engines:  newEngineTable(), demand: newEstimator(cfg.rise, cfg.fall, cfg.quiet), startedAt: timers.Now(),
		store:     map[laburnumlever.ServiceName]*bucket{},
		laidOutAt: map[laburnumlever.ServiceName]time.Time{},
		planning:  map[laburnumlever.ServiceName]bool{},
	}
}

// OnLeads sets how to find out whether this VM leads the log; set it before Start.
func (d *Director) OnLeads(leads func() bool) { d.leads = leads }

// OnOverlay sets who is told, on the control thread, what the director knows of an
// engine.
func (d *Director) OnOverlay(fn func(laburnumregistry.Overlay)) { d.onOverlay = fn }

// OnDirecting sets who is told, on the control thread, whether this VM gives the
// orders.
func (d *Director) OnDirecting(fn func(directs bool)) { d.onDirecting = fn }

// OnGone sets who is told, on the control thread, that an engine's address is
// another's now.
func (d *Director) OnGone(fn func(laburnumlever.BackendID)) { d.onGone = fn }

// Start makes the director look for work.
func (d *Director) Start() {
	d.cancel = d.timers.Every(tickPeriod, func(now time.Time) { d.loop.Post(d, ticked{now: now}) })
}

// Close ends it; questions that wait fail.
func (d *Director) Close() {
	d.once.Do(func() {
		if d.cancel != nil {
			d.cancel()
		}
		close(d.done)
	})
}

// SetRecord takes news of a backend server; any goroutine.
func (d *Director) SetRecord(r laburnumregistry.Record) { d.loop.Post(d, recorded{record: r}) }

// SetHeard notes that a heartbeat has come which brought nothing new; any goroutine.
func (d *Director) SetHeard(h laburnumlever.Heartbeat) { d.loop.Post(d, heard{heartbeat: h}) }

// SetRoutes takes the routes in force; any goroutine.
func (d *Director) SetRoutes(t laburnumlever.RouteTable) { d.loop.Post(d, routed{table: t}) }

// SetNews takes what a gateway tells; any goroutine.
func (d *Director) SetNews(vm laburnumlever.VMID, news laburnumlever.GatewayNews) {
	d.loop.Post(d, told{vm: vm, news: news})
}

// Handle runs on the control thread.
func (d *Director) Handle(ev laburnumlever.Event) {
	switch ev := ev.(type) {
	case ticked:
		d.onTick(ev.now)
	case recorded:
		d.onRecord(ev.record)
	case heard:
		// What gateways are told does not depend on it. Publishing looks at each engine,
		// and done for each heartbeat it grows with the square of the engines.
		d.onHeard(ev)
		return
	case routed:
		d.onRoutes(ev.table)
	case told:
		d.onTold(ev)
	case leased:
		d.onLeased(ev)
	case ordered:
		d.onOrdered(ev)
	case stated:
		d.onStated(ev)
	case arrived:
		d.onArrived(ev)
	case needed:
		d.onNeed(ev.need)
	case planned:
		d.onPlanned(ev)
	}
	d.publish()
}

func (d *Director) onTick(now time.Time) {
	d.tendLease()
	if !d.lease.valid(d.clock()) {
		return
	}
	for _, id := range d.engines.ids() {
		if e := d.engines.get(id); e != nil {
			d.tendEngine(e, now)
		}
	}
	if now.Sub(d.plannedAt) >= planPeriod {
		d.plannedAt = now
		for name, class := range d.services {
			d.plan(name, class, now)
		}
	}
	d.tendNeeds(now)
}

func (d *Director) onTold(ev told) {
	now := d.timers.Now()
	if len(ev.news.Demand) > 0 {
		d.demand.add(ev.vm, ev.news.Demand, now)
	}
	for _, use := range ev.news.Adapters {
		d.used(adapterKey{model: use.Model, adapter: use.Adapter}, now.Add(-time.Duration(use.Idle)))
	}
	for _, id := range ev.news.Unreachable {
		if e := d.engines.get(id); e != nil {
			e.unreachableAt = now
		}
	}
}

func (d *Director) onRoutes(t laburnumlever.RouteTable) {
	d.services = map[laburnumlever.ServiceName]*laburnumlever.EngineClass{}
	for _, s := range t.Services {
		if s.Engine != nil {
			d.services[s.Name] = s.Engine
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
	if !r.TakesWork() {
		delete(d.records, id)
		d.engines.remove(id)
		return
	}
	d.records[id] = r
	if d.services[r.Heartbeat.Service] == nil {
		return
	}
	e := d.engines.get(id)
	if e == nil || r.Heartbeat.Born > e.heartbeat.Born {
		e = d.startEngine(r.Heartbeat, e)
	} else if r.Heartbeat.NewerThan(e.heartbeat) {
		e.heardAt = d.timers.Now()
		if e.takeHeartbeat(r.Heartbeat, d.timers.Now()) {
			_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventOrderDone, "backend", id, "models", len(e.held))
		}
	}
	e.silent = r.Silent
}

// strayTime is how long an order without an answer may be on its way to be carried out: the
// longest that the platform's operators name for orders that come late.
const strayTime = 12 * time.Second

// startEngine notes a start of an engine; before is what was known of the one before it
// under the same identity, or nil. An order that has no answer yet may still reach the new
// start, which counts its orders from nothing and may take it for its own: no other is
// given while that can be, so that the two never add up to more than it has room for.
func (d *Director) startEngine(h laburnumlever.Heartbeat, before *engine) *engine {
	e := newEngine(h, d.engines)
	e.heardAt = d.timers.Now()
	if before != nil && (before.sending != nil || before.unsure != nil) {
		e.tryAt = e.heardAt.Add(strayTime)
	}
	d.engines.put(e)
	return e
}

// onHeard notes that an engine is there still. A heartbeat that brings nothing new is
// not kept as the engine's last: what it does not tell of orders under way is old.
func (d *Director) onHeard(ev heard) {
	if e := d.engines.get(ev.heartbeat.Backend); e != nil && e.heartbeat.Born == ev.heartbeat.Born && ev.heartbeat.NewerThan(e.heartbeat) {
		e.heardAt = d.timers.Now()
	}
}

// forgetEngines starts over from the heartbeats: what was known of orders is of the
// time before another owner.
func (d *Director) forgetEngines() {
	d.engines = newEngineTable()
	d.store = map[laburnumlever.ServiceName]*bucket{}
	for _, r := range d.records {
		d.onRecord(r)
	}
}

func (d *Director) payStore(e *engine, class *laburnumlever.EngineClass) bool {
	b := d.store[e.heartbeat.Service]
	if b == nil {
		b = &bucket{}
		d.store[e.heartbeat.Service] = b
	}
	return class.LoadsPerSecond <= 0 || b.take(d.clock(), class.LoadsPerSecond, d.cfg.burst(class.LoadsPerSecond))
}

// publish tells the gateways what heartbeats do not show yet.
func (d *Director) publish() {
	changed := d.engines.takeChanged()
	if !d.lease.held {
		return // a VM that gets the lease starts over with all engines
	}
	for _, e := range changed {
		e.changed = false
		if d.engines.get(e.heartbeat.Backend) == e {
			d.onOverlay(e.overlay(d.lease.fence))
		}
	}
}

func (e *engine) overlay(fence uint64) laburnumregistry.Overlay {
	o := laburnumregistry.Overlay{Backend: e.heartbeat.Backend, Fence: fence, Born: e.heartbeat.Born, Sequence: e.heartbeat.Sequence}
	for name, h := range e.held {
		if h.withdrawn {
			o.Withdrawn = append(o.Withdrawn, name)
			continue
		}
		m := laburnumlever.HeldModel{Name: name, Version: h.version}
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
	slices.SortFunc(o.Adapters, func(a, b laburnumlever.HeldModel) int { return compareNames(a.Name, b.Name) })
	return o
}
