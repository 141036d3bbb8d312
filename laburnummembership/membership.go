package laburnummembership

import (
	"math/rand/v2"
	"time"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

// Membership owns the VMs and backend servers known to this VM. It runs on the control thread.
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

// New creates a membership that knows only its own VM and registers its handlers with peers. An
// incarnation of 0 is replaced by the start time in milliseconds. It joins the fleet after
// Start.
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

// OnChange adds a function that runs on the control thread after VMs, Backends or Demand may
// have changed: at once for facts, at the next tick for load.
func (m *Membership) OnChange(fn func()) { m.onChange = append(m.onChange, fn) }

// Start begins to join the fleet and to probe its VMs.
func (m *Membership) Start() {
	m.stop = m.timers.Every(tickPeriod, func(now time.Time) { m.loop.Post(m, ticked{now: now}) })
	m.loop.Post(m, started{})
}

// Close stops the periodic work without notifying other VMs, which will mark this VM as down.
func (m *Membership) Close() {
	if m.stop != nil {
		m.stop()
	}
}

// LeaveFleet announces that this VM stops for good; a later start has a new incarnation. Wait a
// second before closing the peers, so that the announcement is sent.
func (m *Membership) LeaveFleet() { m.loop.Post(m, leaveRequested{}) }

// SetSelf changes this VM's own record, under a new incarnation if anything differs. The change
// function runs on the control thread.
func (m *Membership) SetSelf(change func(laburnumlever.VM) laburnumlever.VM) {
	m.loop.Post(m, selfChanged{change: change})
}

// SetDemand sets this VM's demand, which is sent to the zone owners. Control thread only.
func (m *Membership) SetDemand(rows []laburnumlever.ModelDemand) { m.core.demand.setOwn(rows) }

// Demand returns the latest demand of this VM and, on a zone owner, of the others. Control
// thread only.
func (m *Membership) Demand() []laburnumlever.ModelDemand {
	return m.core.demand.list(m.timers.Now())
}

// Self returns this VM with its current incarnation. Control thread only.
func (m *Membership) Self() laburnumlever.VM { return m.core.self }

// VMs returns the known entry VMs in any state, this one included, in order of their id.
// Control thread only.
func (m *Membership) VMs() []laburnumlever.VM { return m.core.vmList() }

// Backends returns the known backend servers in order of their id. Control thread only.
func (m *Membership) Backends() []laburnumlever.Backend { return m.core.backendList(m.timers.Now()) }

// Handle handles an event on the control thread.
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

// notifyChange reports changed facts at once and changed load only at ticks: rebuilding a view
// for each of hundreds of rows a second would cost the processor time that limiting the rows
// saves.
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
