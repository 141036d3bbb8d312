package laburnumorder_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumorder"
	"laburnumlever/laburnumstandin"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

const (
	maxOrderDelay = 30 * time.Second
	loadTime      = 2 * time.Second
)

// orderFault is how the network delivers one order.
type orderFault int

const (
	orderDelivered  orderFault = iota
	orderLost                  // never arrives
	answerLost                 // arrives, but its answer does not
	orderDelayed               // arrives after the delay, and the sender gets no answer
	orderDuplicated            // arrives and is answered, and arrives again after the delay
)

// tester is implemented by *testing.T and *rapid.T.
type tester interface {
	require.TestingT
	Helper()
}

// harness runs the engines and entry VMs of some zones and a quorum on a manual clock.
type harness struct {
	t                 tester
	timers            *laburnumtimer.Manual
	engines           []*laburnumstandin.Engine
	allEngines        []*laburnumstandin.Engine // includes processes replaced by a restart
	vms               []*vm
	catalogue         laburnumlever.Catalogue
	orderFault        orderFault
	delay             time.Duration
	quorum            quorum
	orders            []laburnumlever.Order // as sent
	claims            int
	zones             []laburnumlever.ZoneName
	ignoreFencing     bool // engines announce that they check fencing numbers, but do not
	requireContinuity bool // a reachable model must stay reachable
	reachableBefore   []laburnumlever.ModelName
}

// vm is one entry VM. It also implements the loop and the views of its owner.
type vm struct {
	w             *harness
	id            laburnumlever.VM
	owner         *laburnumorder.Owner
	queue         []laburnumlever.Event
	work          []func()
	frozen        bool // no event or call runs
	cutFromQuorum bool // proposals fail
	manualWork    bool // calls run only by workOnce
	reports       map[laburnumlever.BackendID]laburnumlever.LoadReport
	staleReports  bool // the view keeps its last reports
	reportedAt    map[laburnumlever.BackendID]time.Time
	isolated      bool // the engines of other zones look down
}

func newHarness(t tester, checks ...bool) *harness {
	return newZonesHarness(t, []laburnumlever.ZoneName{"a", "a"}, checks...)
}

// newZonesHarness starts one VM for each element of zones and assigns the engines to the
// elements in turn.
func newZonesHarness(t tester, zones []laburnumlever.ZoneName, checks ...bool) *harness {
	w := &harness{t: t, zones: zones, timers: laburnumtimer.NewManual(time.Unix(1000, 0)), catalogue: catalogueOf(4, 60)}
	w.quorum = quorum{w: w, leases: make(map[string]*grant)}
	for i, check := range checks {
		w.addEngine(i, check, 1)
	}
	w.catalogue.Deployment.Zones = slices.Compact(slices.Clone(zones))
	for i := range zones {
		w.vms = append(w.vms, nil)
		w.startVM(i, 1)
	}
	return w
}

func catalogueOf(n, mib int) laburnumlever.Catalogue {
	c := laburnumlever.Catalogue{Revision: 1, Deployment: laburnumlever.Deployment{
		Zones: []laburnumlever.ZoneName{"a"}, WeightStore: laburnumlever.WeightStore{LoadsPerSecond: 5, ParallelLoads: 8},
	}}
	for i := range n {
		c.Models = append(c.Models, laburnumlever.Model{Name: laburnumlever.ModelName(fmt.Sprintf("m%d", i)), Version: "v1", WeightsMiB: mib})
	}
	return c
}

// newVersions changes every model's version, so that later plans load other copies than
// the orders in flight, on the same accelerators.
func (w *harness) newVersions() {
	models := slices.Clone(w.catalogue.Models)
	for i := range models {
		models[i].Version += "+"
	}
	w.catalogue.Models = models
	w.catalogue = w.catalogue.WithRevision(w.catalogue.Revision + 1)
}

// change changes one model in a new catalogue.
func (w *harness) change(i int, apply func(m *laburnumlever.Model)) {
	w.catalogue.Models = slices.Clone(w.catalogue.Models)
	apply(&w.catalogue.Models[i])
	w.catalogue = w.catalogue.WithRevision(w.catalogue.Revision + 1)
}

func (w *harness) addEngine(i int, checks bool, incarnation uint64) {
	e := laburnumstandin.NewEngine(laburnumlever.Announcement{
		Backend: laburnumlever.BackendID(fmt.Sprintf("e%d", i)), Zone: w.zones[i%len(w.zones)], Incarnation: incarnation, ChecksFencing: checks, Slots: 1,
		Accelerators: []laburnumlever.Accelerator{{ID: "a0", MemoryMiB: 100}, {ID: "a1", MemoryMiB: 100}},
	}, laburnumstandin.WithTimers(w.timers), laburnumstandin.WithLoadTime(loadTime))
	w.allEngines = append(w.allEngines, e)
	if i < len(w.engines) {
		w.engines[i] = e
		return
	}
	w.engines = append(w.engines, e)
}

func (w *harness) restartEngine(i int) {
	a := w.engines[i].Announcement()
	w.addEngine(i, a.ChecksFencing, a.Incarnation+1)
}

// startVM replaces the VM's process. Calls in progress are lost.
func (w *harness) startVM(i int, incarnation uint64) {
	if old := w.vms[i]; old != nil {
		old.frozen = true
	}
	v := &vm{
		w: w, id: laburnumlever.VM{ID: laburnumlever.VMID(fmt.Sprintf("vm%d", i)), Zone: w.zones[i], Incarnation: incarnation},
		reports:    make(map[laburnumlever.BackendID]laburnumlever.LoadReport),
		reportedAt: make(map[laburnumlever.BackendID]time.Time),
	}
	v.owner = laburnumorder.New(v, w.timers, &proposer{v}, &engineClient{v}, v, v.id,
		laburnumorder.WithRunner(func(work func()) { v.work = append(v.work, work) }),
		laburnumorder.WithMaxOrderDelay(maxOrderDelay))
	w.vms[i] = v
	v.owner.Start()
}

func (v *vm) Post(_ laburnumlever.Part, ev laburnumlever.Event) { v.queue = append(v.queue, ev) }

func (v *vm) View() *laburnumlever.View {
	view := &laburnumlever.View{Self: v.id, Catalogue: v.w.catalogue}
	for _, e := range v.w.engines {
		a := e.Announcement()
		a.ChecksFencing = a.ChecksFencing || v.w.ignoreFencing
		if !v.staleReports {
			v.reports[a.Backend] = e.Report()
			v.reportedAt[a.Backend] = v.w.timers.Now()
		}
		view.Backends = append(view.Backends, laburnumlever.Backend{
			Announcement: a, Report: v.reports[a.Backend], ReportedAt: v.reportedAt[a.Backend], Down: v.isolated && a.Zone != v.id.Zone,
		})
	}
	return view
}

// settle handles the VM's events and calls until none is left. It does nothing on a frozen
// VM and leaves calls with manualWork to the test.
func (v *vm) settle() {
	for !v.frozen && (len(v.queue) > 0 || len(v.work) > 0 && !v.manualWork) {
		v.events()
		if !v.manualWork {
			v.workOnce(0)
		}
	}
}

func (v *vm) events() {
	for len(v.queue) > 0 {
		ev := v.queue[0]
		v.queue = v.queue[1:]
		v.owner.Handle(ev)
	}
}

func (v *vm) workOnce(i int) {
	if i < len(v.work) {
		work := v.work[i]
		v.work = slices.Delete(v.work, i, i+1)
		work()
	}
}

// run advances the clock in small steps and checks the memory after each.
func (w *harness) run(d time.Duration) {
	const step = 250 * time.Millisecond
	for ; d > 0; d -= step {
		w.timers.Advance(min(d, step))
		for _, v := range w.vms {
			v.settle()
		}
		w.check()
	}
}

// runUntilOrder advances the clock until the first order has been sent.
func (w *harness) runUntilOrder() {
	for i := 0; i < 1000 && len(w.orders) == 0; i++ {
		w.run(250 * time.Millisecond)
	}
	require.NotEmpty(w.t, w.orders)
}

func (w *harness) check() {
	for _, e := range w.allEngines {
		require.Empty(w.t, e.Violations())
	}
	if !w.requireContinuity {
		return
	}
	now := w.reachable()
	for _, name := range w.reachableBefore {
		if _, ok := w.catalogue.Model(name); ok {
			require.Contains(w.t, now, name)
		}
	}
	w.reachableBefore = now
}

// reachable returns the models that have a ready copy.
func (w *harness) reachable() []laburnumlever.ModelName {
	var names []laburnumlever.ModelName
	for _, e := range w.engines {
		for _, c := range e.Report().Loaded {
			if c.Ready && !slices.Contains(names, c.Model) {
				names = append(names, c.Model)
			}
		}
	}
	slices.Sort(names)
	return names
}

func (w *harness) requireAllReachable() {
	w.t.Helper()
	require.Len(w.t, w.reachable(), len(w.catalogue.Models))
}

// engineClient simulates the network between a VM and the engines.
type engineClient struct{ v *vm }

func (l *engineClient) Claim(ctx context.Context, to laburnumlever.Announcement, fence uint64) (laburnumlever.Inventory, error) {
	if ctx.Err() != nil {
		return laburnumlever.Inventory{}, ctx.Err()
	}
	l.v.w.claims++
	return l.engine(to).Claim(fence), nil
}

func (l *engineClient) engine(to laburnumlever.Announcement) *laburnumstandin.Engine {
	i := slices.IndexFunc(l.v.w.engines, func(e *laburnumstandin.Engine) bool { return e.Announcement().Backend == to.Backend })
	return l.v.w.engines[i]
}

// Order sends even if its context is done: when a frozen VM resumes, the write may happen
// before its timers run.
func (l *engineClient) Order(_ context.Context, to laburnumlever.Announcement, order laburnumlever.Order) (laburnumlever.OrderAnswer, error) {
	w := l.v.w
	w.orders = append(w.orders, order)
	gone := &laburnumlever.OutcomeUnknownError{Detail: "no answer"}
	if w.orderFault == orderDelayed || w.orderFault == orderDuplicated {
		w.timers.After(w.delay, func(time.Time) { l.engine(to).Order(order) })
	}
	if w.orderFault == orderLost || w.orderFault == orderDelayed {
		return laburnumlever.OrderAnswer{}, gone
	}
	answer := l.engine(to).Order(order)
	if w.orderFault == answerLost {
		return laburnumlever.OrderAnswer{}, gone
	}
	return answer, nil
}

// proposer is a VM's connection to the quorum.
type proposer struct{ v *vm }

func (p *proposer) Propose(_ context.Context, cmd laburnumlever.Command) (laburnumlever.Result, error) {
	if p.v.cutFromQuorum {
		return laburnumlever.Result{}, &laburnumlever.NoQuorumError{Detail: "cut off"}
	}
	return p.v.w.quorum.apply(cmd).Check(cmd.Kind)
}

// quorum grants leases and stores intents like the replicated state machine.
type quorum struct {
	w       *harness
	fence   uint64
	leases  map[string]*grant
	intents []laburnumlever.OrderIntent
}

type grant struct {
	holder      laburnumlever.VMID
	incarnation uint64
	fence       uint64
	until       time.Time
}

func (q *quorum) apply(cmd laburnumlever.Command) laburnumlever.Result {
	switch cmd.Kind {
	case laburnumlever.CommandRecordIntent:
		g := q.leases[cmd.Intent.Lease]
		if g == nil || g.fence != cmd.Intent.Order.Fence || q.w.timers.Now().After(g.until) {
			return laburnumlever.Result{Code: laburnumlever.ResultNotHolder}
		}
		q.intents = append(q.intents, *cmd.Intent)
	case laburnumlever.CommandResolveIntent:
		q.intents = slices.DeleteFunc(q.intents, func(i laburnumlever.OrderIntent) bool { return i.Order.ID == cmd.Intent.Order.ID })
	default:
		return q.lease(cmd)
	}
	return laburnumlever.Result{Code: laburnumlever.ResultOK}
}

func (q *quorum) lease(cmd laburnumlever.Command) laburnumlever.Result {
	now := q.w.timers.Now()
	c := cmd.Lease
	g := q.leases[c.Name]
	free := g == nil || now.After(g.until)
	same := !free && g.holder == c.Holder && g.incarnation == c.Incarnation
	switch {
	case cmd.Kind == laburnumlever.CommandReleaseLease && same:
		delete(q.leases, c.Name)
	case same && (cmd.Kind == laburnumlever.CommandAcquireLease || g.fence == c.Fence):
		g.until = now.Add(time.Duration(c.TTL))
	case free && cmd.Kind == laburnumlever.CommandAcquireLease:
		q.fence++
		g = &grant{holder: c.Holder, incarnation: c.Incarnation, fence: q.fence, until: now.Add(time.Duration(c.TTL))}
		q.leases[c.Name] = g
	default:
		return laburnumlever.Result{Code: laburnumlever.ResultNotHolder}
	}
	return laburnumlever.Result{Code: laburnumlever.ResultOK, Fence: g.fence, Holder: g.holder, Intents: slices.Clone(q.intents)}
}
