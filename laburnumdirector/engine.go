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

// engine is what the director knows of one model engine. Its held models are all
// that may be there: what is on its way in, and not yet surely out, included.
type engine struct {
	heartbeat laburnumlever.Heartbeat
	silent    bool
	// accepted is the number of orders that the engine has accepted, if known.
	known    bool
	accepted uint64
	asking   bool
	askedAt  time.Time
	held     map[laburnumlever.ModelName]*heldModel
	// sending is the order whose answer is awaited; unsure one whose answer was
	// lost, to be sent again.
	sending *laburnumlever.EngineOrder
	unsure  *laburnumlever.EngineOrder
	tryAt   time.Time
	// working is the model that is being loaded or unloaded, and the sequence of
	// the last heartbeat that can't show its end.
	working      laburnumlever.ModelName
	workingKind  laburnumlever.OrderKind
	workingSince time.Time
	workingAfter uint64
	// overdue tells that the work has taken longer than it should.
	overdue bool
	// changed tells that gateways do not know yet what is known here.
	changed bool
}

type heldModel struct {
	version int
	// since is when the model was first seen here.
	since time.Time
	// withdrawnAt is when gateways were told to send nothing more for it.
	withdrawnAt time.Time
	withdrawn   bool
	adapters    map[laburnumlever.AdapterName]*heldAdapter
	// dropped are adapters given up lately, which a late heartbeat may list.
	dropped map[laburnumlever.AdapterName]time.Time
}

type heldAdapter struct {
	ready  bool
	usedAt time.Time
	// since is when it was ordered; a heartbeat on its way then does not list it.
	since time.Time
}

// youngTime is how long a copy stays at least: what is given up sooner was loaded in
// vain.
const youngTime = 8 * time.Second

// heartbeatLag is how old a heartbeat may be when it comes, as a rule; one that is
// older makes an adapter be asked for again.
const heartbeatLag = 2500 * time.Millisecond

func newEngine(h laburnumlever.Heartbeat) *engine {
	e := &engine{heartbeat: h, held: map[laburnumlever.ModelName]*heldModel{}, changed: true}
	for _, m := range h.Models {
		e.add(m, true)
	}
	return e
}

// add notes a model with adapters as held.
func (e *engine) add(m laburnumlever.HeldModel, ready bool) *heldModel {
	h := e.held[m.Name]
	if h == nil {
		h = &heldModel{adapters: map[laburnumlever.AdapterName]*heldAdapter{}}
		e.held[m.Name] = h
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

// adapters counts those held or on their way.
func (e *engine) adapters() int {
	n := 0
	for _, h := range e.held {
		n += len(h.adapters)
	}
	return n
}

// takeHeartbeat notes what a newer heartbeat shows, and tells whether an order's work
// has ended. What a heartbeat lists is held; what it does not list is not, unless an
// order for it is under way or unsure.
func (e *engine) takeHeartbeat(h laburnumlever.Heartbeat, now time.Time) bool {
	e.heartbeat = h
	e.changed = true
	for _, m := range h.Models {
		e.takeAdapters(e.add(laburnumlever.HeldModel{Name: m.Name, Version: m.Version}, true), m, now)
	}
	ended := e.workEnded(h)
	if ended {
		e.working = ""
	}
	for name := range e.held {
		if !h.Holds(name, "") && !e.pending(name) {
			delete(e.held, name)
		}
	}
	return ended
}

// workEnded tells whether a heartbeat shows the end of the order being carried out.
func (e *engine) workEnded(h laburnumlever.Heartbeat) bool {
	if e.working == "" || h.Sequence <= e.workingAfter {
		return false
	}
	return h.Holds(e.working, "") == (e.workingKind == laburnumlever.Load)
}

// pending tells whether an order may be bringing the model.
func (e *engine) pending(name laburnumlever.ModelName) bool {
	loads := func(o *laburnumlever.EngineOrder) bool {
		return o != nil && o.Kind == laburnumlever.Load && o.Model == name
	}
	return loads(e.sending) || loads(e.unsure) || (e.working == name && e.workingKind == laburnumlever.Load)
}

// takeAdapters brings a model's adapters up to a heartbeat, but for those whose
// orders it may have missed.
func (e *engine) takeAdapters(h *heldModel, listed laburnumlever.HeldModel, now time.Time) {
	for _, a := range listed.Adapters {
		if now.Sub(h.dropped[a]) < heartbeatLag {
			continue
		}
		if h.adapters[a] == nil {
			h.adapters[a] = &heldAdapter{}
		}
		h.adapters[a].ready = true
	}
	for name, a := range h.adapters {
		if !slices.Contains(listed.Adapters, name) && now.Sub(a.since) > heartbeatLag {
			delete(h.adapters, name)
		}
	}
}

// drop notes that an adapter is given up.
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
	e.changed = true
}

// takeState notes how many orders the engine has accepted, and its adapters. A report
// lags behind the heartbeats, so it changes nothing of what models are held, but for
// work that it shows to have ended long after it began.
func (e *engine) takeState(s laburnumlever.EngineState, now time.Time) {
	e.known, e.accepted = true, s.Accepted
	for _, m := range s.Models {
		if h := e.held[m.Name]; h != nil {
			e.takeAdapters(h, withComing(m, s.Coming), now)
		}
	}
	if e.working != "" && !s.Busy && e.overdue {
		e.working = ""
	}
	e.overdue = false
	e.changed = true
}

// withComing adds a model's adapters that are on their way.
func withComing(m laburnumlever.HeldModel, coming []laburnumlever.HeldModel) laburnumlever.HeldModel {
	m.Adapters = slices.Clone(m.Adapters)
	for _, c := range coming {
		if c.Name == m.Name {
			m.Adapters = append(m.Adapters, c.Adapters...)
		}
	}
	return m
}

// idle tells whether the engine takes an order now.
func (e *engine) idle() bool {
	return e.known && e.sending == nil && e.unsure == nil && e.working == "" && !e.silent && !e.asking
}

// planned is the engine as the planner sees it.
func (e *engine) planned(now time.Time) laburnumresidency.Engine {
	p := laburnumresidency.Engine{
		ID: e.heartbeat.Backend, Zone: e.heartbeat.Zone, Idle: e.idle(),
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
		p.Loading = e.working
	}
	if e.working != "" && e.workingKind == laburnumlever.Unload {
		p.Unloading = e.working
	}
	return p
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
