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
	// heardAt is when its last news came, unreachableAt when a gateway last said
	// that it took no connection.
	heardAt, unreachableAt time.Time
	// accepted is the number of orders that the engine has accepted, if known.
	known    bool
	accepted uint64
	asking   bool
	held     map[laburnumlever.ModelName]*heldModel
	// sending is the order whose answer is awaited; unsure one whose answer was
	// lost, to be sent again.
	sending *laburnumlever.EngineOrder
	unsure  *laburnumlever.EngineOrder
	tryAt   time.Time
	// sentAfter is the sequence of the last heartbeat before the last order was sent.
	sentAfter uint64
	// working is the model that is being loaded or unloaded, and the sequence of
	// the last heartbeat that can't show its end.
	working      laburnumlever.ModelName
	workingKind  laburnumlever.OrderKind
	workingSince time.Time
	workingAfter uint64
	// workingTime is how long that takes, as far as is known; 0 where it is not.
	workingTime time.Duration
	// overdue tells that the work has taken longer than it should.
	overdue bool
	// changed tells that gateways do not know yet what is known here; see touch.
	changed bool
	// revision counts the changes of what is known.
	revision uint64
	table    *engineTable
}

// lose notes that the engine does not hold a model any more.
func (e *engine) lose(name laburnumlever.ModelName) {
	delete(e.held, name)
	e.table.losses++
}

// touch notes that what is known of the engine here has changed, and that gateways do not
// know it yet.
func (e *engine) touch() {
	e.revision++
	if !e.changed {
		e.changed = true
		e.table.noteChanged(e)
	}
}

type heldModel struct {
	version int
	// since is when the model was first seen here.
	since time.Time
	// listed tells that a heartbeat has listed it: only then does a later one that
	// does not show that it is gone. A heartbeat may be seconds old when it comes,
	// from before the model was loaded.
	listed bool
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
	// since is when it was ordered; a report on its way then does not list it.
	since time.Time
	// listed is as that of a model.
	listed bool
}

// youngTime is how long a copy stays at least: what is given up sooner was loaded in
// vain.
const youngTime = 8 * time.Second

const (
	// unreachableMemory is how long a gateway's word counts that an engine took no
	// connection; it is said again every second while it is so.
	unreachableMemory = 3 * time.Second
	// duePeriods is after how many of its periods a heartbeat is due: they come within
	// a few milliseconds of their time where nothing is wrong.
	duePeriods = 1.25
	// heartbeatLag is how old a heartbeat may be when it comes, as a rule; one that
	// is older makes an adapter that is gone count as held until the next.
	heartbeatLag = 2500 * time.Millisecond
	// reportLag is how old a report may be.
	reportLag = time.Second
)

func newEngine(h laburnumlever.Heartbeat, table *engineTable) *engine {
	e := &engine{heartbeat: h, held: map[laburnumlever.ModelName]*heldModel{}, table: table}
	e.touch()
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

// takeListed brings the adapters up to a heartbeat.
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

// takeReported brings the adapters up to a report that knows of all orders accepted:
// what it does not list, and no heartbeat has, is not there.
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
	e.touch()
}

// takeState notes how many orders the engine has accepted, and what it holds beside
// what heartbeats list. While it carries out an order that is not known here, one of
// another owner's, nothing is known.
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

// endReported ends the work of an order by the engine's report, for want of a heartbeat
// that shows its end: it came to nothing, or the heartbeat was lost, and later ones bring
// nothing new. Without it the engine would take no other order for ever.
func (e *engine) endReported(s laburnumlever.EngineState) {
	if !laburnumlever.Holds(s.Models, e.working, "") {
		e.lose(e.working)
	}
	e.working = ""
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

// down tells whether nobody can reach the engine, as far as is known: it has fallen
// silent, or a heartbeat is due and a gateway, or this VM with an order, could not
// connect since the last. Waiting for the silence alone leaves callers of its models
// without an answer for two heartbeats more. A VM that is itself cut off from the
// engines says that none takes a connection; their heartbeats show that it is wrong.
func (e *engine) down(now time.Time, period time.Duration) bool {
	refused := now.Sub(e.unreachableAt) < unreachableMemory && e.heardAt.Before(e.unreachableAt)
	due := now.Sub(e.heardAt) > time.Duration(duePeriods*float64(period))
	return e.silent || (refused && due)
}

// idle tells whether the engine takes an order now.
func (e *engine) idle(now time.Time) bool {
	return e.known && e.sending == nil && e.unsure == nil && e.working == "" && !e.silent && !e.asking &&
		!now.Before(e.tryAt)
}

// planned is the engine as the planner sees it; a copy that came within the young time must
// stay.
func (e *engine) planned(now time.Time, young time.Duration) laburnumresidency.Engine {
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
		if now.Sub(h.since) < young {
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

// leastLeft is the least that is taken to be left, in seconds, of work that goes on
// longer than expected: loads that share the store or an unload that waits for answers.
const leastLeft = 0.3

// workLeft is how many seconds the order under way still takes; 0 where that is not known.
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
