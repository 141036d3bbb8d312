package laburnummembership

import (
	"math/rand/v2"
	"time"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

// Membership is the part of the control thread that owns what is known of VMs and
// backend servers.
type Membership struct {
	loop     laburnumlever.Loop
	timers   laburnumlever.Timers
	peers    laburnumlever.Peers
	cfg      config
	core     *core
	onChange []func()
	stop     func()
}

var (
	_ laburnumlever.Part            = (*Membership)(nil)
	_ laburnumlever.BackendRegistry = (*Membership)(nil)
)

// New makes a membership that knows only its own VM and registers its handlers with
// peers; Start makes it join. An incarnation of 0 is replaced by the start time.
func New(loop laburnumlever.Loop, timers laburnumlever.Timers, peers laburnumlever.Peers, self laburnumlever.VM, opts ...Option) *Membership {
	cfg := newConfig(opts)
	now := timers.Now()
	if cfg.seed == 0 {
		cfg.seed = rand.Uint64()
	}
	m := &Membership{loop: loop, timers: timers, peers: peers, cfg: cfg}
	m.core = newCore(self, cfg.seeds, now, rand.New(rand.NewPCG(cfg.seed, hashFields(string(self.ID))))) //nolint:gosec // choice of partners, no secret
	m.register()
	return m
}

// OnChange adds a function that runs on the control thread after VMs, Backends or
// Demand may have changed: at once for facts, at the next tick for load.
func (m *Membership) OnChange(fn func()) { m.onChange = append(m.onChange, fn) }

// Start begins to join and to probe.
func (m *Membership) Start() {
	m.stop = m.timers.Every(tickPeriod, func(now time.Time) { m.loop.Post(m, ticked{now: now}) })
	m.loop.Post(m, started{})
}

// Close ends the periodic work. It tells nobody: the others take this VM for down.
func (m *Membership) Close() {
	if m.stop != nil {
		m.stop()
	}
}

// LeaveFleet tells the others that this VM stops for good; a later start has a new
// incarnation. Give it a second before the peers are closed.
func (m *Membership) LeaveFleet() { m.loop.Post(m, leaveRequested{}) }

// SetSelf changes what this VM says of itself, under a new incarnation if
// anything differs. The change function runs on the control thread.
func (m *Membership) SetSelf(change func(laburnumlever.VM) laburnumlever.VM) {
	m.loop.Post(m, selfChanged{change: change})
}

// SetDemand hands in this VM's demand, to be carried to the VMs that place. Control
// thread only.
func (m *Membership) SetDemand(rows []laburnumlever.ModelDemand) { m.core.demand.setOwn(rows) }

// Demand is the newest demand of this VM and, on a VM that owns a zone, of the
// others. Control thread only.
func (m *Membership) Demand() []laburnumlever.ModelDemand {
	return m.core.demand.list(m.timers.Now())
}

// Self is this VM with its present incarnation. Control thread only.
func (m *Membership) Self() laburnumlever.VM { return m.core.self }

// VMs are the entry VMs known, this one included, whatever their state, by id.
// Control thread only.
func (m *Membership) VMs() []laburnumlever.VM { return m.core.vmList() }

// Backends are the backend servers known, by id. Control thread only.
func (m *Membership) Backends() []laburnumlever.Backend { return m.core.backendList(m.timers.Now()) }

// Handle takes an event on the control thread.
func (m *Membership) Handle(ev laburnumlever.Event) {
	now := m.timers.Now()
	c := m.core
	ticking := false
	switch e := ev.(type) {
	case started:
		c.join(now)
	case ticked:
		c.tick(now)
		ticking = true
	case leaveRequested:
		c.leave()
	case selfChanged:
		c.setSelf(e.change(c.self))
	case gossipReceived:
		e.answer <- c.receive(e.message, now)
	case pullRequested:
		e.answer <- c.answerPull(e.request, now)
	case reachabilityRequested:
		e.answer <- c.reachable(e.target, now)
	case demandReceived:
		c.mergeDemand(e.message, now)
	case outcome:
		c.handleOutcome(e, now)
	default:
		m.handleBackend(ev)
	}
	m.send(c.drainOutbox())
	m.notifyChange(ticking)
}

func (m *Membership) handleBackend(ev laburnumlever.Event) {
	now := m.timers.Now()
	switch e := ev.(type) {
	case announced:
		e.answer <- m.core.announce(e.announcement, now)
	case reported:
		e.answer <- m.core.report(e.report, now)
	case backendLeft:
		e.answer <- m.core.leaveBackend(e.backend, e.incarnation, now)
	default:
		_ = level.Error(m.cfg.logger).Log("event", laburnumlever.EventUnknownEvent, "name", ev.EventName())
	}
}

// notifyChange tells of changed facts at once and of changed load only at ticks:
// a view built anew for each of hundreds of rows a second would take the
// processor time that the rows were bounded for.
func (m *Membership) notifyChange(ticking bool) {
	c := m.core
	if !c.factsChanged && (!ticking || !c.loadsChanged) {
		return
	}
	c.factsChanged, c.loadsChanged = false, false
	for _, fn := range m.onChange {
		fn()
	}
}
