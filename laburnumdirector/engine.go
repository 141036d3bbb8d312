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
	// heardAt is the time of its last heartbeat, unreachableAt of the last report that it can't be
	// connected to.
	heardAt, unreachableAt time.Time
	// accepted is the number of accepted orders, if known.
	known    bool
	accepted uint64
	asking   bool
	held     map[laburnumlever.ModelName]*heldModel
	// sending is the order in flight, unsure an order of unknown outcome, to be retried.
	sending *laburnumlever.EngineOrder
	unsure  *laburnumlever.EngineOrder
	tryAt   time.Time
	// sentAfter is the sequence of the last heartbeat before the last order.
	sentAfter uint64
	// working is the model being loaded or unloaded; heartbeats up to workingAfter can't show
	// its end.
	working      laburnumlever.ModelName
	workingKind  laburnumlever.OrderKind
	workingSince time.Time
	workingAfter uint64
	workingTime  time.Duration // expected; 0 if unknown
	overdue      bool
	changed      bool   // since the last overlay
	revision     uint64 // number of changes
	table        *engineTable
}

// lose removes a model.
func (e *engine) lose(name laburnumlever.ModelName) {
	delete(e.held, name)
	e.table.losses++
}

// touch records a change that gateways have to learn of.
func (e *engine) touch() {
	e.revision++
	if !e.changed {
		e.changed = true
		e.table.noteChanged(e)
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
	// dropped are adapters unloaded lately, which a late heartbeat may list.
	dropped map[laburnumlever.AdapterName]time.Time
}

type heldAdapter struct {
	ready  bool
	usedAt time.Time
	since  time.Time // of the order
	listed bool      // as in heldModel
}

const (
	youngTime         = 8 * time.Second // least lifetime of a copy
	unreachableMemory = 3 * time.Second // gateways repeat their reports every second
	duePeriods        = 1.25            // heartbeat periods until one is overdue
	heartbeatLag      = 2500 * time.Millisecond
	reportLag         = time.Second
)

func newEngine(h laburnumlever.Heartbeat, table *engineTable) *engine {
	e := &engine{heartbeat: h, held: map[laburnumlever.ModelName]*heldModel{}, table: table}
	e.touch()
	for _, m := range h.Models {
		e.add(m, true)
	}
	return e
}

// add adds a model with adapters.
func (e *engine) add(m laburnumlever.HeldModel, ready bool) *heldModel {
	h := e.held[m.Name]
	if h == nil {
		h = &heldModel{adapters: map[laburnumlever.AdapterName]*heldAdapter{}}
		e.held[m.Name] = h
		e.table.noteHolder(e, m.Name)
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

// adapters counts held and loading adapters.
func (e *engine) adapters() int {
	n := 0
	for _, h := range e.held {
		n += len(h.adapters)
	}
	return n
}

// takeHeartbeat applies a newer heartbeat and tells whether the order in progress has ended. A
// model that is not listed is gone unless an order may be loading it.
func (e *engine) takeHeartbeat(h laburnumlever.Heartbeat, now time.Time) bool {
	e.heartbeat = h
	e.touch()
	for _, m := range h.Models {
		held := e.add(laburnumlever.HeldModel{Name: m.Name, Version: m.Version}, true)
		held.listed = true
		held.takeListed(m, now)
	}
	ended := e.workEnded(h)
	if ended {
		e.working = ""
	}
	for name, held := range e.held {
		if held.listed && !h.Holds(name, "") && !e.pending(name) {
			e.lose(name)
		}
	}
	return ended
}

// workEnded tells whether a heartbeat shows the end of the order in progress.
func (e *engine) workEnded(h laburnumlever.Heartbeat) bool {
	if e.working == "" || h.Sequence <= e.workingAfter {
		return false
	}
	return h.Holds(e.working, "") == (e.workingKind == laburnumlever.Load)
}

// pending tells whether an order may be loading the model.
func (e *engine) pending(name laburnumlever.ModelName) bool {
	loads := func(o *laburnumlever.EngineOrder) bool {
		return o != nil && o.Kind == laburnumlever.Load && o.Model == name
	}
	return loads(e.sending) || loads(e.unsure) || (e.working == name && e.workingKind == laburnumlever.Load)
}

// takeListed applies a heartbeat to the adapters.
func (h *heldModel) takeListed(listed laburnumlever.HeldModel, now time.Time) {
	for _, name := range listed.Adapters {
		if now.Sub(h.dropped[name]) < heartbeatLag {
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

// takeReported applies a state report to the adapters. The report covers all accepted orders, so
// that adapters neither listed there nor by a heartbeat are gone.
func (h *heldModel) takeReported(reported laburnumlever.HeldModel, now time.Time) {
	for _, name := range reported.Adapters {
		if h.adapters[name] == nil && now.Sub(h.dropped[name]) > reportLag {
			h.adapters[name] = &heldAdapter{ready: true}
		}
	}
	for name, a := range h.adapters {
		if !a.listed && !slices.Contains(reported.Adapters, name) && now.Sub(a.since) > reportLag {
			delete(h.adapters, name)
		}
	}
}

// drop removes an adapter.
func (e *engine) drop(key adapterKey, now time.Time) {
	h := e.held[key.model]
	if h == nil {
		return
	}
	delete(h.adapters, key.adapter)
	if h.dropped == nil {
		h.dropped = map[laburnumlever.AdapterName]time.Time{}
	}
	for name, at := range h.dropped {
		if now.Sub(at) > heartbeatLag {
			delete(h.dropped, name)
		}
	}
	h.dropped[key.adapter] = now
	e.touch()
}

// takeState applies a state report. The number of accepted orders stays unknown while an order of
// another owner is in progress.
func (e *engine) takeState(s laburnumlever.EngineState, now time.Time) {
	e.touch()
	for _, m := range s.Models {
		h := e.add(laburnumlever.HeldModel{Name: m.Name, Version: m.Version}, true)
		h.takeReported(withComing(m, s.Coming), now)
	}
	if s.Busy && e.working == "" {
		e.known, e.tryAt = false, now.Add(stateRetry)
		return
	}
	e.known, e.accepted = true, s.Accepted
	for name, h := range e.held {
		if !h.listed && !laburnumlever.Holds(s.Models, name, "") && !e.pending(name) {
			e.lose(name)
		}
	}
	if e.overdue && !s.Busy {
		e.endReported(s)
	}
	e.overdue = false
}

// endReported ends an overdue order: it failed, or the heartbeat with its end was lost. Otherwise
// the engine would never be idle again.
func (e *engine) endReported(s laburnumlever.EngineState) {
	if !laburnumlever.Holds(s.Models, e.working, "") {
		e.lose(e.working)
	}
	e.working = ""
}

// withComing adds a model's loading adapters.
func withComing(m laburnumlever.HeldModel, coming []laburnumlever.HeldModel) laburnumlever.HeldModel {
	m.Adapters = slices.Clone(m.Adapters)
	for _, c := range coming {
		if c.Name == m.Name {
			m.Adapters = append(m.Adapters, c.Adapters...)
		}
	}
	return m
}

// down tells whether the engine is unreachable: it is silent, or a heartbeat is overdue and a
// connection has failed since the last one. Neither sign suffices: silence takes two periods more,
// and a VM that is cut off reports all engines.
func (e *engine) down(now time.Time, period time.Duration) bool {
	refused := now.Sub(e.unreachableAt) < unreachableMemory && e.heardAt.Before(e.unreachableAt)
	due := now.Sub(e.heardAt) > time.Duration(duePeriods*float64(period))
	return e.silent || (refused && due)
}

// idle tells whether the engine accepts an order.
func (e *engine) idle(now time.Time) bool {
	return e.known && e.sending == nil && e.unsure == nil && e.working == "" && !e.silent && !e.asking &&
		!now.Before(e.tryAt)
}

// planned converts the engine for the planner.
func (e *engine) planned(now time.Time) laburnumresidency.Engine {
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
		if now.Sub(h.since) < youngTime {
			p.Young = append(p.Young, name)
		}
	}
	slices.SortFunc(p.Held, func(a, b laburnumlever.HeldModel) int {
		return compareNames(a.Name, b.Name)
	})
	if e.working != "" && e.workingKind == laburnumlever.Load {
		p.Loading, p.FreeIn = e.working, e.workLeft(now)
	}
	if e.working != "" && e.workingKind == laburnumlever.Unload {
		p.Unloading = e.working
	}
	return p
}

// leastLeft is assumed of orders that take longer than expected, in seconds.
const leastLeft = 0.3

// workLeft is the expected rest of the order in progress, in seconds; 0 if unknown.
func (e *engine) workLeft(now time.Time) float64 {
	if e.workingTime == 0 {
		return 0
	}
	return max(leastLeft, (e.workingTime - now.Sub(e.workingSince)).Seconds())
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
