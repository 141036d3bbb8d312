package laburnumdirector_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdirector"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumstate"
	"laburnumlever/laburnumtimer"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const leaseTime = 3 * time.Second

// cluster simulates engines, the log's state machine and one or more directors, on one clock and
// one thread.
type cluster struct {
	t             *testing.T
	now           time.Time
	timers        *laburnumtimer.Manual
	machine       *laburnumstate.Machine
	class         laburnumlever.EngineClass
	engines       map[laburnumlever.BackendID]*fakeEngine
	directors     []*node
	orders        []sentOrder
	stateRequests map[time.Time]int // number of state requests, by time
	// renewed is the last observed renewal of the lease, renewedAt its time.
	renewed   leaseRenewal
	renewedAt time.Time
}

// leaseRenewal identifies a renewal of a lease.
type leaseRenewal struct{ fence, renewals uint64 }

type sentOrder struct {
	at     time.Time
	by     laburnumlever.VMID
	fence  uint64
	engine laburnumlever.BackendID
}

// node is a control VM with a director.
type node struct {
	w            *cluster
	vm           laburnumlever.VM
	loop         *laburnumeventloop.Loop
	director     *laburnumdirector.Director
	isLeader     bool
	disconnected bool // Propose fails
	suspended    bool
	// holdsCalls defers remote calls to calls, as on a VM that is suspended after a decision and
	// before the request is written.
	holdsCalls bool
	calls      []func()
	// holdsRounds defers planning rounds to rounds.
	holdsRounds bool
	rounds      []func()
	overlays    map[laburnumlever.BackendID]laburnumregistry.Overlay
	// registry filters out heartbeats that bring no change, as on a control VM.
	registry *laburnumregistry.Table
}

// fakeEngine implements the platform's rules on orders. It fails the test if an order overcommits
// its memory or adapter slots.
type fakeEngine struct {
	w           *cluster
	id          laburnumlever.BackendID
	held        map[laburnumlever.ModelName]map[laburnumlever.AdapterName]bool
	incarnation uint64
	accepted    uint64
	fence       uint64
	busyUntil   time.Time
	pending     func() // the effect of the order in progress, applied at its end
	sequence    uint64
	// instant makes orders end at once, so that the heartbeat showing the end overtakes the answer.
	instant bool
	// losesRecords drops the heartbeats that change what the engine holds.
	losesRecords bool
	// losesAnswer drops the answer to the next order. lateBy also delays the order by that time.
	losesAnswer bool
	lateBy      time.Duration
	lateOrders  []func()
	lateAt      []time.Time
}

func newCluster(t *testing.T, models, engines, directors int) *cluster {
	w := &cluster{
		t: t, timers: laburnumtimer.NewManual(time.Unix(1_000_000, 0)), machine: laburnumstate.New(),
		engines: map[laburnumlever.BackendID]*fakeEngine{}, stateRequests: map[time.Time]int{},
		class: laburnumlever.EngineClass{Slots: 24, WeightsMB: 200, AdapterSlots: 3, LoadsPerSecond: 3},
	}
	w.now = w.timers.Now()
	for i := range models {
		w.class.Models = append(w.class.Models, laburnumlever.ModelClass{
			Name: modelName(i), WeightsMB: 72, Adapters: 6, AdapterMB: 1,
			StoreLoad: laburnumlever.Duration(4 * time.Second), DiskLoad: laburnumlever.Duration(time.Second), MemoryLoad: laburnumlever.Duration(600 * time.Millisecond),
		})
	}
	for i := range engines {
		w.addEngine(laburnumlever.BackendID(fmt.Sprintf("i-%d", i)))
	}
	for i := range directors {
		w.addDirector(i)
	}
	w.directors[0].isLeader = true
	return w
}

func (w *cluster) addEngine(id laburnumlever.BackendID, models ...laburnumlever.ModelName) {
	e := &fakeEngine{w: w, id: id, held: map[laburnumlever.ModelName]map[laburnumlever.AdapterName]bool{}}
	for _, m := range models {
		e.held[m] = map[laburnumlever.AdapterName]bool{}
	}
	w.engines[id] = e
}

func modelName(i int) laburnumlever.ModelName { return laburnumlever.ModelName(fmt.Sprintf("m%d", i)) }

func (w *cluster) addDirector(i int) {
	n := &node{
		w: w, vm: laburnumlever.VM{ID: laburnumlever.VMID(fmt.Sprintf("10.0.0.%d", i)), Incarnation: 1},
		loop: laburnumeventloop.New(), overlays: map[laburnumlever.BackendID]laburnumregistry.Overlay{},
		registry: laburnumregistry.New(time.Second),
	}
	n.director = laburnumdirector.New(n.loop, w.timers, n, engineCalls{n}, n.vm,
		laburnumdirector.WithLease(leaseTime), laburnumdirector.WithStore(5*time.Second, 1.1), laburnumdirector.WithLoadsTold(true),
		laburnumdirector.WithClock(func() time.Duration { return time.Duration(w.timers.Now().UnixNano()) }),
		laburnumdirector.WithSpawn(n.spawn), laburnumdirector.WithCompute(n.compute))
	n.director.SetLeaderCheck(func() bool { return n.isLeader })
	n.director.OnOverlay(func(o laburnumregistry.Overlay) { n.overlays[o.Backend] = o })
	n.director.SetRoutes(laburnumlever.RouteTable{Version: 1, Services: []laburnumlever.RoutedService{{Name: "quotes", Engine: &w.class}}})
	n.director.Start()
	w.directors = append(w.directors, n)
}

// compute runs a planning round at once, or defers it.
func (n *node) compute(work func()) {
	if n.holdsRounds {
		n.rounds = append(n.rounds, work)
		return
	}
	work()
}

// spawn runs a remote call at once, or defers it.
func (n *node) spawn(call func()) {
	if n.holdsCalls {
		n.calls = append(n.calls, call)
		return
	}
	call()
}

// Propose applies a command to the state machine at once.
func (n *node) Propose(_ context.Context, cmd laburnumlever.Command) (laburnumlever.Result, error) {
	if n.disconnected {
		return laburnumlever.Result{}, &laburnumlever.NoQuorumError{Detail: "cut off"}
	}
	return n.w.machine.Apply(n.w.timers.Now().UnixMilli(), cmd).Check(cmd.Kind)
}

// recordRenewals records the time of the last lease renewal.
func (w *cluster) recordRenewals() {
	for _, l := range w.machine.Leases() {
		if mark := (leaseRenewal{fence: l.Fence, renewals: l.Renewals}); w.renewed != mark {
			w.renewed, w.renewedAt = mark, w.timers.Now()
		}
	}
}

// expire expires a lease that was not renewed for its whole term, as the log's leader does.
func (w *cluster) expire() {
	w.recordRenewals()
	for _, l := range w.machine.Leases() {
		renewed := w.timers.Now().Sub(w.renewedAt) < time.Duration(l.TTL)
		if l.Holder != "" && !renewed {
			w.machine.Apply(w.timers.Now().UnixMilli(), laburnumlever.Command{
				Kind: laburnumlever.CommandExpireLease, Lease: &laburnumlever.LeaseCommand{
					Name: l.Name, Holder: l.Holder, Incarnation: l.Incarnation, Fence: l.Fence, Renewals: l.Renewals,
					Idle: laburnumlever.Duration(w.timers.Now().Sub(w.renewedAt)),
				},
			})
		}
	}
}

// advance advances the time in steps, with one heartbeat per second from each engine.
func (w *cluster) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.timers.Now().Add(d); w.timers.Now().Before(end); {
		w.timers.Advance(step)
		for _, e := range w.engines {
			e.runDue()
		}
		if w.timers.Now().UnixMilli()%1000 < step.Milliseconds() {
			w.sendHeartbeats()
		}
		for _, n := range w.directors {
			if !n.suspended {
				n.loop.Drain()
			}
		}
		w.recordRenewals()
	}
}

func (w *cluster) sendHeartbeats() {
	for _, e := range w.engines {
		e.sendHeartbeat()
	}
}

// sendHeartbeat sends the directors a record if the held models have changed, else a heartbeat
// without changes.
func (e *fakeEngine) sendHeartbeat() {
	e.sequence++
	h := e.heartbeat()
	for _, n := range e.w.directors {
		if n.registry.ApplyHeartbeat(h, e.w.timers.Now()) && !e.losesRecords {
			n.director.SetRecord(laburnumregistry.Record{Heartbeat: h})
		} else {
			n.director.SetHeartbeat(h)
		}
	}
}

func (w *cluster) setDemand(model int, perSecond float64) {
	for _, n := range w.directors {
		n.director.SetGatewayReport("gateway", laburnumlever.GatewayReport{Demand: []laburnumlever.ModelDemand{{
			Model: modelName(model), VM: "gateway", RequestsPerSecond: perSecond, PromptTokens: perSecond * 700, AnswerTokens: perSecond * 280,
		}}})
	}
}

func (e *fakeEngine) heartbeat() laburnumlever.Heartbeat {
	h := laburnumlever.Heartbeat{Backend: e.id, Service: "quotes", Address: string(e.id), Zone: "brest", Incarnation: e.incarnation, Sequence: e.sequence, Slots: 24}
	h.Models = e.models()
	return h
}

func (e *fakeEngine) models() []laburnumlever.EngineModel {
	var list []laburnumlever.EngineModel
	for name, adapters := range e.held {
		m := laburnumlever.EngineModel{Name: name, Version: 1}
		for a := range adapters {
			m.Adapters = append(m.Adapters, a)
		}
		slices.Sort(m.Adapters)
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b laburnumlever.EngineModel) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list
}

// runDue ends the order in progress and accepts delayed orders, where due.
func (e *fakeEngine) runDue() {
	now := e.w.timers.Now()
	if e.pending != nil && !now.Before(e.busyUntil) {
		e.pending()
		e.pending = nil
	}
	for i := 0; i < len(e.lateOrders); i++ {
		if !now.Before(e.lateAt[i]) {
			e.lateOrders[i]()
			e.lateOrders = append(e.lateOrders[:i], e.lateOrders[i+1:]...)
			e.lateAt = append(e.lateAt[:i], e.lateAt[i+1:]...)
			i--
		}
	}
}

// restart restarts the engine with the same identity and empty state. Delayed orders still arrive.
func (e *fakeEngine) restart() {
	e.incarnation, e.sequence, e.accepted, e.fence, e.pending = e.incarnation+1, 0, 0, 0, nil
	e.held = map[laburnumlever.ModelName]map[laburnumlever.AdapterName]bool{}
	e.sendHeartbeat()
}

// checkMemory fails the test if the held models exceed the engine's memory or adapter slots. A real
// engine would crash.
func (e *fakeEngine) checkMemory() {
	adapters := 0
	for _, a := range e.held {
		adapters += len(a)
	}
	require.LessOrEqual(e.w.t, len(e.held)*72+adapters, 200, "orders overcommit the memory of engine %s", e.id)
	require.LessOrEqual(e.w.t, adapters, 3, "orders exceed the adapter slots of engine %s", e.id)
}

type engineCalls struct{ n *node }

func (c engineCalls) State(_ context.Context, to laburnumlever.Heartbeat) (laburnumlever.EngineState, error) {
	c.n.w.stateRequests[c.n.w.timers.Now()]++
	e := c.n.w.engines[to.Backend]
	if e == nil {
		return laburnumlever.EngineState{}, &laburnumlever.NotSentError{Cause: errors.New("refused")}
	}
	return laburnumlever.EngineState{Incarnation: e.incarnation, Accepted: e.accepted, Busy: e.pending != nil, Models: e.models()}, nil
}

func (c engineCalls) Order(_ context.Context, to laburnumlever.Heartbeat, order laburnumlever.EngineOrder) (laburnumlever.EngineVerdict, error) {
	w := c.n.w
	e := w.engines[to.Backend]
	if e == nil {
		return 0, &laburnumlever.NotSentError{Cause: errors.New("refused")}
	}
	w.orders = append(w.orders, sentOrder{at: w.timers.Now(), by: c.n.vm.ID, fence: order.Fence, engine: to.Backend})
	if e.lateBy > 0 {
		e.lateOrders = append(e.lateOrders, func() { e.handleOrder(order) })
		e.lateAt = append(e.lateAt, w.timers.Now().Add(e.lateBy))
		e.lateBy = 0
		return 0, errors.New("no answer")
	}
	verdict := e.handleOrder(order)
	if e.instant && e.pending != nil {
		e.pending()
		e.pending = nil
		e.sendHeartbeat()
	}
	if e.losesAnswer {
		e.losesAnswer = false
		return 0, errors.New("no answer")
	}
	return verdict, nil
}

// handleOrder applies an order by the platform's rules.
func (e *fakeEngine) handleOrder(o laburnumlever.EngineOrder) laburnumlever.EngineVerdict {
	switch {
	case o.Fence < e.fence:
		return laburnumlever.VerdictStaleFence
	case o.Expect != e.accepted || e.pending != nil:
		return laburnumlever.VerdictConflict
	}
	e.fence = o.Fence
	holds := e.held[o.Model] != nil
	if o.Adapter != "" {
		return e.handleAdapterOrder(o, holds)
	}
	if holds == (o.Kind == laburnumlever.Load) {
		return laburnumlever.VerdictHeld
	}
	e.accepted++
	e.busyUntil = e.w.timers.Now().Add(time.Second)
	if o.Kind == laburnumlever.Unload {
		e.pending = func() { delete(e.held, o.Model) }
		return laburnumlever.VerdictAccepted
	}
	e.held[o.Model] = map[laburnumlever.AdapterName]bool{}
	e.checkMemory()
	delete(e.held, o.Model)
	e.pending = func() { e.held[o.Model] = map[laburnumlever.AdapterName]bool{} }
	return laburnumlever.VerdictAccepted
}

func (e *fakeEngine) handleAdapterOrder(o laburnumlever.EngineOrder, holds bool) laburnumlever.EngineVerdict {
	if !holds || e.held[o.Model][o.Adapter] == (o.Kind == laburnumlever.Load) {
		return laburnumlever.VerdictHeld
	}
	e.accepted++
	if o.Kind == laburnumlever.Unload {
		delete(e.held[o.Model], o.Adapter)
		return laburnumlever.VerdictHeld
	}
	e.held[o.Model][o.Adapter] = true
	e.checkMemory()
	return laburnumlever.VerdictAccepted
}
