package laburnumdirector

import (
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumresidency"
)

// adapterKey names an adapter of a model.
type adapterKey struct {
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
}

// engine is the state of a model engine. Held models include those that may still be loading or
// unloading.
type engine struct {
	heartbeat laburnumlever.Heartbeat
	silent    bool
	// heartbeatAt is the time of its last heartbeat, unreachableAt of the last report that it can't be
	// connected to.
	heartbeatAt, unreachableAt time.Time
	// accepted is the number of accepted orders, if acceptedKnown.
	acceptedKnown  bool
	accepted       uint64
	stateRequested bool
	held           map[laburnumlever.ModelName]*heldModel
	// inFlight is the order in flight, unsure an order of unknown outcome, to be retried.
	inFlight   *laburnumlever.EngineOrder
	unresolved *laburnumlever.EngineOrder
	retryAt    time.Time
	// sentAfterSequence is the sequence of the last heartbeat before the last order.
	sentAfterSequence uint64
	// activeModel is the model being loaded or unloaded; heartbeats up to workingAfter can't show
	// its end.
	activeModel         laburnumlever.ModelName
	activeKind          laburnumlever.OrderKind
	activeSince         time.Time
	activeAfterSequence uint64
	activeDuration      time.Duration // expected; 0 if unknown
	overdue             bool
	changed             bool   // since the last overlay
	revision            uint64 // number of changes
	table               *engineTable
}

// removeModel removes a model.
func (e *engine) removeModel(name laburnumlever.ModelName) {
	delete(e.held, name)
	e.table.removals++
}

// markChanged records a change that gateways have to learn of.
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
	// listed tells that a heartbeat has listed the model. Only then does one without it mean that
	// it is gone: heartbeats may be older than the load.
	listed bool
	// withdrawnAt is when gateways were told to stop using the copy.
	withdrawnAt time.Time
	withdrawn   bool
	adapters    map[laburnumlever.AdapterName]*heldAdapter
	// removedAt are adapters unloaded lately, which a late heartbeat may list.
	removedAt map[laburnumlever.AdapterName]time.Time
}

type heldAdapter struct {
	ready  bool
	usedAt time.Time
	since  time.Time // of the order
	listed bool      // as in heldModel
}

const (
	minCopyAge     = 8 * time.Second // least lifetime of a copy
	unreachableTTL = 3 * time.Second // gateways repeat their reports every second
	overduePeriods = 1.25            // heartbeat periods until one is overdue
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

// addModel adds a model with adapters.
func (e *engine) addModel(m laburnumlever.HeldModel, ready bool) *heldModel {
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

// adapterCount counts held and loading adapterCount.
func (e *engine) adapterCount() int {
	n := 0
	for _, h := range e.held {
		n += len(h.adapters)
	}
	return n
}

// applyHeartbeat applies a newer heartbeat and tells whether the order in progress has ended. A
// model that is not listed is gone unless an order may be loading it.
func (e *engine) applyHeartbeat(h laburnumlever.Heartbeat, now time.Time) bool {
	e.heartbeat = h
	e.markChanged()
	for _, m := range h.Models {
		held := e.addModel(laburnumlever.HeldModel{Name: m.Name, Version: m.Version}, true)
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

// applyHeartbeat applies a heartbeat to the adapters.
func (h *heldModel) applyHeartbeat(listed laburnumlever.HeldModel, now time.Time) {
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

// applyState applies a state report to the adapters. The report covers all accepted orders, so
// that adapters neither listed there nor by a heartbeat are gone.
func (h *heldModel) applyState(reported laburnumlever.HeldModel, now time.Time) {
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

// removeAdapter removes an adapter.
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
// another owner is in progress.
func (e *engine) applyState(s laburnumlever.EngineState, now time.Time) {
	e.markChanged()
	for _, m := range s.Models {
		h := e.addModel(laburnumlever.HeldModel{Name: m.Name, Version: m.Version}, true)
		h.applyState(withLoading(m, s.Coming), now)
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

// endOverdue ends an overdue order: it failed, or the heartbeat with its end was lost. Otherwise
// the engine would never be idle again.
func (e *engine) endOverdue(s laburnumlever.EngineState) {
	if !laburnumlever.Holds(s.Models, e.activeModel, "") {
		e.removeModel(e.activeModel)
	}
	e.activeModel = ""
}

// withLoading adds a model's loading adapters.
func withLoading(m laburnumlever.HeldModel, coming []laburnumlever.HeldModel) laburnumlever.HeldModel {
	m.Adapters = slices.Clone(m.Adapters)
	for _, c := range coming {
		if c.Name == m.Name {
			m.Adapters = append(m.Adapters, c.Adapters...)
		}
	}
	return m
}

// unreachable tells whether the engine is unreachable: it is silent, or a heartbeat is overdue and a
// connection has failed since the last one. Neither sign suffices: silence takes two periods more,
// and a VM that is cut off reports all engines.
func (e *engine) unreachable(now time.Time, period time.Duration) bool {
	refused := now.Sub(e.unreachableAt) < unreachableTTL && e.heartbeatAt.Before(e.unreachableAt)
	due := now.Sub(e.heartbeatAt) > time.Duration(overduePeriods*float64(period))
	return e.silent || (refused && due)
}

// idle tells whether the engine accepts an order.
func (e *engine) idle(now time.Time) bool {
	return e.acceptedKnown && e.inFlight == nil && e.unresolved == nil && e.activeModel == "" && !e.silent && !e.stateRequested &&
		!now.Before(e.retryAt)
}

// snapshot converts the engine for the planner.
func (e *engine) snapshot(now time.Time) laburnumresidency.Engine {
	p := laburnumresidency.Engine{
		ID: e.heartbeat.Backend, Zone: e.heartbeat.Zone, Idle: e.idle(now),
		InMemory: e.heartbeat.InMemory, OnDisk: e.heartbeat.OnDisk,
	}
	for name, h := range e.held {
		m := laburnumlever.HeldModel{Name: name, Version: h.version}
		for a := range h.adapters {
			m.Adapters = append(m.Adapters, a)
		}
		p.Held = append(p.Held, m)
		if h.withdrawn {
			p.Unloading = name
		}
		if now.Sub(h.since) < minCopyAge {
			p.Young = append(p.Young, name)
		}
	}
	slices.SortFunc(p.Held, func(a, b laburnumlever.HeldModel) int {
		return compareNames(a.Name, b.Name)
	})
	if e.activeModel != "" && e.activeKind == laburnumlever.Load {
		p.Loading, p.FreeIn = e.activeModel, e.remainingSeconds(now)
	}
	if e.activeModel != "" && e.activeKind == laburnumlever.Unload {
		p.Unloading = e.activeModel
	}
	return p
}

// minRemaining is assumed of orders that take longer than expected, in seconds.
const minRemaining = 0.3

// remainingSeconds is the expected rest of the order in progress, in seconds; 0 if unknown.
func (e *engine) remainingSeconds(now time.Time) float64 {
	if e.activeDuration == 0 {
		return 0
	}
	return max(minRemaining, (e.activeDuration - now.Sub(e.activeSince)).Seconds())
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
