package laburnumsimulation

import (
	"fmt"
	"slices"
	"time"

	"laburnumlever"
)

// engine is a model engine with its weights, its current order and its requests.
type engine struct {
	sim         *simulation
	id          laburnumlever.BackendID
	zone        laburnumlever.ZoneName
	timeFactor  float64
	slowFactor  float64 // a further factor during EventSlow, else 1
	up          bool
	hangs       bool // down, and connections time out instead of being reset
	draining    bool
	incarnation uint64
	sequence    uint64
	accepted    uint64
	fence       uint64
	held        map[int]map[laburnumlever.AdapterName]bool // adapters by model, true once loaded
	host        []int                                      // models by last load, the latest first
	disk        []int
	order       *activeOrder
	batch       batch
	// reservations holds the ids of slots reserved for requests on their way.
	reservations map[int]bool
	cached       map[cachedPart]bool
	limit        *engineLimit // nil for none
	brittle      *brittleness // nil for none
	rest         *rest        // nil while the engine takes requests
	software     laburnumlever.SoftwareVersion
}

// activeOrder is the order that an engine executes.
type activeOrder struct {
	kind        laburnumlever.OrderKind
	model       int
	incarnation int // of the engine when it accepted the order
}

type cachedPart struct {
	model   int
	adapter laburnumlever.AdapterName
	part    uint64
}

func newEngine(sim *simulation, i int) *engine {
	cfg := sim.scenario.Engines
	e := &engine{
		sim: sim, id: laburnumlever.BackendID(fmt.Sprintf("e-%04d", i)), zone: sim.scenario.Zones[i%len(sim.scenario.Zones)].Name,
		timeFactor: cfg.Speeds[i%len(cfg.Speeds)], slowFactor: 1, software: "v1", up: true, incarnation: 1,
		held: map[int]map[laburnumlever.AdapterName]bool{}, cached: map[cachedPart]bool{}, reservations: map[int]bool{},
	}
	e.batch.engine = e
	return e
}

// scaledTime returns the time that an operation takes on this engine.
func (e *engine) scaledTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.timeFactor * e.slowFactor)
}

// usedWeightsMB returns the accelerator memory taken by weights and adapters, in MB.
func (e *engine) usedWeightsMB() float64 {
	total := 0.0
	for m, adapters := range e.held {
		k := e.sim.models[m].kind
		total += k.WeightsMB + k.AdapterMB*float64(len(adapters))
	}
	return total
}

func (e *engine) adapterCount() int {
	n := 0
	for _, adapters := range e.held {
		n += len(adapters)
	}
	return n
}

// heartbeat returns the next heartbeat of the engine.
func (e *engine) heartbeat() laburnumlever.Heartbeat {
	e.sequence++
	h := laburnumlever.Heartbeat{
		Backend: e.id, Service: service, Address: string(e.id), Zone: e.zone, Incarnation: e.incarnation, Sequence: e.sequence,
		Software: e.software, Slots: e.sim.scenario.Engines.Slots, Leaving: e.draining, Models: e.models(),
	}
	for _, m := range e.host {
		h.InMemory = append(h.InMemory, e.sim.models[m].name)
	}
	for _, m := range e.disk {
		h.OnDisk = append(h.OnDisk, e.sim.models[m].name)
	}
	return h
}

// models lists the models that the engine serves; one that is being loaded is left out.
func (e *engine) models() []laburnumlever.EngineModel {
	var list []laburnumlever.EngineModel
	for m, adapters := range e.held {
		if e.order != nil && e.order.kind == laburnumlever.Load && e.order.model == m {
			continue
		}
		held := laburnumlever.EngineModel{Name: e.sim.models[m].name, Version: 1}
		for a, there := range adapters {
			if there {
				held.Adapters = append(held.Adapters, a)
			}
		}
		slices.Sort(held.Adapters)
		list = append(list, held)
	}
	slices.SortFunc(list, func(a, b laburnumlever.EngineModel) int { return compareNames(a.Name, b.Name) })
	return list
}

// sendHeartbeat sends a heartbeat to the control VMs.
func (e *engine) sendHeartbeat() {
	if e.up {
		h := e.heartbeat()
		e.sim.after(e.sim.link(e.zone, ""), func() { e.sim.control.receiveHeartbeat(h) })
	}
}

// serves reports whether the engine runs requests for the model and adapter.
func (e *engine) serves(model int, adapter laburnumlever.AdapterName) bool {
	adapters, ok := e.held[model]
	if !ok || (e.order != nil && e.order.model == model) {
		return false
	}
	return adapter == "" || adapters[adapter]
}

// admission is an engine's answer to a request.
type admission int

const (
	admitted admission = iota
	modelAbsent
	engineFull
)

// accept assigns a slot to a request, preempts a less urgent one for it, or queues it.
func (e *engine) accept(r *run, reservation int) admission {
	if !e.serves(r.attempt.request.model, r.attempt.request.adapter) {
		return modelAbsent
	}
	delete(e.reservations, reservation)
	r.uncachedTokens = e.cachePrompt(r)
	switch {
	case e.hasRoom(r):
		e.batch.add(r)
	case e.batch.preempt(r.urgency):
		e.batch.add(r)
	case len(e.batch.waiting) < e.sim.scenario.Engines.Queue:
		e.enqueue(r)
	default:
		return engineFull
	}
	return admitted
}

// hasRoom reports whether the engine has a slot and cache memory for a request.
func (e *engine) hasRoom(r *run) bool {
	return e.batch.size()+len(e.reservations) < e.sim.scenario.Engines.Slots &&
		e.batch.usedCacheTokens()+r.attempt.request.promptTokens+r.written <= e.sim.scenario.Engines.CacheTokens
}

// enqueue queues a request after those of the same or a higher urgency.
func (e *engine) enqueue(r *run) {
	at := len(e.batch.waiting)
	for i, o := range e.batch.waiting {
		if o.urgency > r.urgency {
			at = i
			break
		}
	}
	e.batch.waiting = slices.Insert(e.batch.waiting, at, r)
}

// admit assigns free slots to queued requests.
func (e *engine) admit() {
	for len(e.batch.waiting) > 0 && e.hasRoom(e.batch.waiting[0]) {
		r := e.batch.waiting[0]
		e.batch.waiting = e.batch.waiting[1:]
		e.batch.add(r)
	}
}

// cachePrompt caches the prompt of a request and returns how many of its tokens were not cached
// yet. A part counts as cached only if all parts before it are.
func (e *engine) cachePrompt(r *run) int {
	q := r.attempt.request
	missing, cached := 0, true
	for _, part := range q.prompt {
		key := cachedPart{model: q.model, adapter: q.adapter, part: part.ID}
		cached = cached && e.cached[key]
		if !cached {
			missing += part.Tokens
		}
		e.cached[key] = true
	}
	return missing
}

// onAnswerStarted reports the first event of an answer to the gateway.
func (e *engine) onAnswerStarted(r *run) {
	if q := r.attempt.request; q.crashing != nil {
		q.crashing.begun(e)
	}
	running, waiting, limit, brittle := e.batch.size(), len(e.batch.waiting), e.namedLimit(), e.namedBrittle()
	e.sim.after(e.batch.stepTime()+e.sim.link(e.zone, r.attempt.gateway.zone), func() {
		r.attempt.onAnswerStarted(r, running, waiting, limit, brittle)
	})
}

// onAnswerWritten reports a complete answer to the gateway and admits queued requests.
func (e *engine) onAnswerWritten(r *run) {
	r.written, r.finished = r.answerTokens, true
	e.finishUnload()
	e.admit()
	e.sim.after(e.sim.link(e.zone, r.attempt.gateway.zone), func() { r.attempt.onAnswered(r) })
}

// cancel removes a request whose caller has left.
func (e *engine) cancel(r *run) {
	if r.finished {
		return
	}
	r.finished = true
	e.batch.remove(r)
	e.finishUnload()
	e.admit()
}

// crash stops the engine and ends its requests. If dark, connections hang instead of being reset.
func (e *engine) crash(dark bool) {
	e.up, e.hangs = false, dark
	e.held, e.order = map[int]map[laburnumlever.AdapterName]bool{}, nil
	e.reservations, e.cached = map[int]bool{}, map[cachedPart]bool{}
	e.host = nil
	for _, r := range e.batch.clear() {
		r.finished = true
		if !dark {
			e.sim.after(e.sim.link(e.zone, r.attempt.gateway.zone), func() { r.attempt.onConnectionBroken(r) })
		}
	}
}

// restart starts the engine again under the same id, with empty memory and the weights on its disk.
func (e *engine) restart() {
	e.up, e.hangs, e.incarnation, e.sequence, e.accepted, e.fence = true, false, e.incarnation+1, 0, 0, 0
	e.sendHeartbeat()
}
