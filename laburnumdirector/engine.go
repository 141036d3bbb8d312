package laburnumdirector

import (
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumresidency"
)

// adapterKey identifies an adapter of a model.
type adapterKey struct {
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
}

// engine is the director's state of a model engine. The held models include those that may still be
// loading or unloading.
type engine struct {
	heartbeat laburnumlever.Heartbeat
	silent    bool
	// heartbeatAt is the time of its last heartbeat, unreachableAt that of the last failed connection
	// to it.
	heartbeatAt, unreachableAt time.Time
	// accepted is the number of orders that the engine has accepted, valid if acceptedKnown.
	acceptedKnown  bool
	accepted       uint64
	stateRequested bool
	held           map[laburnumlever.ModelName]*heldModel
	// inFlight is the order that awaits an answer, unresolved an order of unknown outcome that is
	// retried.
	inFlight   *laburnumlever.EngineOrder
	unresolved *laburnumlever.EngineOrder
	retryAt    time.Time
	// sentAfterSequence is the sequence of the last heartbeat received before the last order was sent.
	sentAfterSequence uint64
	// activeModel is the model being loaded or unloaded. Heartbeats up to activeAfterSequence are
	// older than the order and can't show its end.
	activeModel         laburnumlever.ModelName
	activeKind          laburnumlever.OrderKind
	activeSince         time.Time
	activeAfterSequence uint64
	activeDuration      time.Duration // expected duration; 0 if unknown
	overdue             bool
	changed             bool   // since the last overlay
	revision            uint64 // incremented with each change
	table               *engineTable
}

// removeModel removes a model and counts the removal, which invalidates planned unloads.
func (e *engine) removeModel(name laburnumlever.ModelName) {
	delete(e.held, name)
	e.table.removals++
}

// markChanged records a change that the next overlay tells the gateways.
func (e *engine) markChanged() {
	e.revision++
	if !e.changed {
		e.changed = true
		e.table.addChanged(e)
	}
}

type heldModel struct {
	version int
	since   time.Time
	// listed tells that a heartbeat has listed the model. Only after that does a heartbeat without
	// the model mean that it is gone; until then, heartbeats may be older than the load.
	listed bool
	// withdrawnAt is when gateways were told to send no more requests to the copy.
	withdrawnAt time.Time
	withdrawn   bool
	adapters    map[laburnumlever.AdapterName]*heldAdapter
	// removedAt are the times of recent unloads of adapters; a late heartbeat may still list them.
	removedAt map[laburnumlever.AdapterName]time.Time
}

type heldAdapter struct {
	ready  bool
	usedAt time.Time
	since  time.Time // when the load was ordered
	listed bool      // by a heartbeat, as in heldModel
}

const (
	minCopyAge     = 8 * time.Second // least age of a copy that may be evicted
	unreachableTTL = 3 * time.Second // gateways repeat their reports every second
	overduePeriods = 1.25            // heartbeat periods after which the next heartbeat is overdue
	heartbeatLag   = 2500 * time.Millisecond
	reportLag      = time.Second
)

func newEngine(h laburnumlever.Heartbeat, table *engineTable) *engine {
	e := &engine{heartbeat: h, held: map[laburnumlever.ModelName]*heldModel{}, table: table}
	e.markChanged()
	for _, m := range h.Models {
		e.addModel(m, true)
	}
	return e
}

// addModel adds a model, or its adapters to the one that is held.
func (e *engine) addModel(m laburnumlever.EngineModel, ready bool) *heldModel {
	h := e.held[m.Name]
	if h == nil {
		h = &heldModel{adapters: map[laburnumlever.AdapterName]*heldAdapter{}}
		e.held[m.Name] = h
		e.table.addHolder(e, m.Name)
	}
	h.version = m.Version
	for _, a := range m.Adapters {
		if h.adapters[a] == nil {
			h.adapters[a] = &heldAdapter{}
		}
		h.adapters[a].ready = h.adapters[a].ready || ready
	}
	return h
}

// adapterCount counts the held and loading adapters.
func (e *engine) adapterCount() int {
	n := 0
	for _, h := range e.held {
		n += len(h.adapters)
	}
	return n
}

// applyHeartbeat applies a newer heartbeat and tells whether it shows the end of the order in
// progress. A model that is no longer listed is gone unless an order may be loading it.
func (e *engine) applyHeartbeat(h laburnumlever.Heartbeat, now time.Time) bool {
	e.heartbeat = h
	e.markChanged()
	for _, m := range h.Models {
		held := e.addModel(laburnumlever.EngineModel{Name: m.Name, Version: m.Version}, true)
		held.listed = true
		held.applyHeartbeat(m, now)
	}
	ended := e.orderEnded(h)
	if ended {
		e.activeModel = ""
	}
	for name, held := range e.held {
		if held.listed && !h.Holds(name, "") && !e.mayBeLoading(name) {
			e.removeModel(name)
		}
	}
	return ended
}

// orderEnded tells whether a heartbeat shows the end of the order in progress.
func (e *engine) orderEnded(h laburnumlever.Heartbeat) bool {
	if e.activeModel == "" || h.Sequence <= e.activeAfterSequence {
		return false
	}
	return h.Holds(e.activeModel, "") == (e.activeKind == laburnumlever.Load)
}

// mayBeLoading tells whether an order may be loading the model.
func (e *engine) mayBeLoading(name laburnumlever.ModelName) bool {
	loads := func(o *laburnumlever.EngineOrder) bool {
		return o != nil && o.Kind == laburnumlever.Load && o.Model == name
	}
	return loads(e.inFlight) || loads(e.unresolved) || (e.activeModel == name && e.activeKind == laburnumlever.Load)
}

// applyHeartbeat applies the adapters that a heartbeat lists for the model.
func (h *heldModel) applyHeartbeat(listed laburnumlever.EngineModel, now time.Time) {
	for _, name := range listed.Adapters {
		if now.Sub(h.removedAt[name]) < heartbeatLag {
			continue
		}
		if h.adapters[name] == nil {
			h.adapters[name] = &heldAdapter{}
		}
		h.adapters[name].ready, h.adapters[name].listed = true, true
	}
	for name, a := range h.adapters {
		if a.listed && !slices.Contains(listed.Adapters, name) {
			delete(h.adapters, name)
		}
	}
}

// applyState applies the adapters that a state report lists for the model. The report reflects all
// accepted orders, so an adapter that neither it nor a heartbeat lists is gone.
func (h *heldModel) applyState(reported laburnumlever.EngineModel, now time.Time) {
	for _, name := range reported.Adapters {
		if h.adapters[name] == nil && now.Sub(h.removedAt[name]) > reportLag {
			h.adapters[name] = &heldAdapter{ready: true}
		}
	}
	for name, a := range h.adapters {
		if !a.listed && !slices.Contains(reported.Adapters, name) && now.Sub(a.since) > reportLag {
			delete(h.adapters, name)
		}
	}
}

// removeAdapter removes an adapter and remembers when, so that late heartbeats don't add it again.
func (e *engine) removeAdapter(key adapterKey, now time.Time) {
	h := e.held[key.model]
	if h == nil {
		return
	}
	delete(h.adapters, key.adapter)
	if h.removedAt == nil {
		h.removedAt = map[laburnumlever.AdapterName]time.Time{}
	}
	for name, at := range h.removedAt {
		if now.Sub(at) > heartbeatLag {
			delete(h.removedAt, name)
		}
	}
	h.removedAt[key.adapter] = now
	e.markChanged()
}

// applyState applies a state report. The number of accepted orders stays unknown while an order of
// another director is in progress.
func (e *engine) applyState(s laburnumlever.EngineState, now time.Time) {
	e.markChanged()
	for _, m := range s.Models {
		h := e.addModel(laburnumlever.EngineModel{Name: m.Name, Version: m.Version}, true)
		h.applyState(withLoading(m, s.LoadingAdapters), now)
	}
	if s.Busy && e.activeModel == "" {
		e.acceptedKnown, e.retryAt = false, now.Add(stateRetryDelay)
		return
	}
	e.acceptedKnown, e.accepted = true, s.Accepted
	for name, h := range e.held {
		if !h.listed && !laburnumlever.Holds(s.Models, name, "") && !e.mayBeLoading(name) {
			e.removeModel(name)
		}
	}
	if e.overdue && !s.Busy {
		e.endOverdue(s)
	}
	e.overdue = false
}

// endOverdue ends an overdue order that the state report shows as ended: the order failed, or the
// heartbeat that showed its end was lost. Without it the engine would never be idle again.
func (e *engine) endOverdue(s laburnumlever.EngineState) {
	if !laburnumlever.Holds(s.Models, e.activeModel, "") {
		e.removeModel(e.activeModel)
	}
	e.activeModel = ""
}

// withLoading returns the model with its loading adapters added.
func withLoading(m laburnumlever.EngineModel, loading []laburnumlever.EngineModel) laburnumlever.EngineModel {
	m.Adapters = slices.Clone(m.Adapters)
	for _, c := range loading {
		if c.Name == m.Name {
			m.Adapters = append(m.Adapters, c.Adapters...)
		}
	}
	return m
}

// unreachable tells whether the engine is silent, or its heartbeat is overdue and a connection has
// failed since the last one. Waiting for silence would take two more heartbeat periods; a failed
// connection alone is not enough, as a VM that is cut off reports all engines.
func (e *engine) unreachable(now time.Time, period time.Duration) bool {
	refused := now.Sub(e.unreachableAt) < unreachableTTL && e.heartbeatAt.Before(e.unreachableAt)
	due := now.Sub(e.heartbeatAt) > time.Duration(overduePeriods*float64(period))
	return e.silent || (refused && due)
}

// readyForOrder tells whether the engine can be sent an order.
func (e *engine) readyForOrder(now time.Time) bool {
	return e.acceptedKnown && e.inFlight == nil && e.unresolved == nil && e.activeModel == "" && !e.silent && !e.stateRequested &&
		!now.Before(e.retryAt)
}

// snapshot returns the engine's state for the planner.
func (e *engine) snapshot(now time.Time) laburnumresidency.Engine {
	p := laburnumresidency.Engine{
		ID: e.heartbeat.Backend, Zone: e.heartbeat.Zone, Idle: e.readyForOrder(now),
		InMemory: e.heartbeat.InMemory, OnDisk: e.heartbeat.OnDisk,
	}
	for name, h := range e.held {
		m := laburnumlever.EngineModel{Name: name, Version: h.version}
		for a := range h.adapters {
			m.Adapters = append(m.Adapters, a)
		}
		p.Held = append(p.Held, m)
		if h.withdrawn {
			p.Unloading = name
		}
		if now.Sub(h.since) < minCopyAge {
			p.RecentlyLoaded = append(p.RecentlyLoaded, name)
		}
	}
	slices.SortFunc(p.Held, func(a, b laburnumlever.EngineModel) int {
		return compareNames(a.Name, b.Name)
	})
	if e.activeModel != "" && e.activeKind == laburnumlever.Load {
		p.Loading, p.IdleInSeconds = e.activeModel, e.remainingSeconds(now)
	}
	if e.activeModel != "" && e.activeKind == laburnumlever.Unload {
		p.Unloading = e.activeModel
	}
	return p
}

// minRemaining is the remaining time assumed of orders that take longer than expected, in seconds.
const minRemaining = 0.3

// remainingSeconds is the expected remaining time of the order in progress; 0 if unknown.
func (e *engine) remainingSeconds(now time.Time) float64 {
	if e.activeDuration == 0 {
		return 0
	}
	return max(minRemaining, (e.activeDuration - now.Sub(e.activeSince)).Seconds())
}

// loading returns the load in progress, if its end is expected.
func (e *engine) loading(now time.Time) []laburnumregistry.ModelLoad {
	if e.activeModel == "" || e.activeKind != laburnumlever.Load || e.activeDuration == 0 || e.overdue || now.Sub(e.activeSince) > 2*e.activeDuration {
		return nil
	}
	in := time.Duration(e.remainingSeconds(now) * float64(time.Second))
	return []laburnumregistry.ModelLoad{{Model: e.activeModel, ReadyIn: laburnumlever.Duration(in.Round(time.Millisecond))}}
}

func compareNames(a, b laburnumlever.ModelName) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
