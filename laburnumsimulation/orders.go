package laburnumsimulation

import (
	"context"
	"slices"
	"time"

	"laburnumlever"
)

// reservationTTL is the time after which an unused reservation of a slot expires.
const reservationTTL = 100 * time.Millisecond

// engineClient implements laburnumlever.ModelEngines for the director, without a network.
type engineClient struct{ sim *simulation }

// EngineUnreachableError means that an engine is down and refused the connection.
type EngineUnreachableError struct{ Backend laburnumlever.BackendID }

func (e *EngineUnreachableError) Error() string { return string(e.Backend) + " refused the connection" }

// State implements laburnumlever.ModelEngines.
func (c engineClient) State(_ context.Context, to laburnumlever.Heartbeat) (laburnumlever.EngineState, error) {
	e := c.sim.byID[to.Backend]
	if !e.up {
		return laburnumlever.EngineState{}, &laburnumlever.NotSentError{Cause: &EngineUnreachableError{Backend: to.Backend}}
	}
	return laburnumlever.EngineState{Incarnation: e.incarnation, Accepted: e.accepted, Busy: e.order != nil, Models: e.models()}, nil
}

// Order implements laburnumlever.ModelEngines.
func (c engineClient) Order(_ context.Context, to laburnumlever.Heartbeat, o laburnumlever.EngineOrder) (laburnumlever.EngineVerdict, error) {
	e := c.sim.byID[to.Backend]
	if !e.up {
		return 0, &laburnumlever.NotSentError{Cause: &EngineUnreachableError{Backend: to.Backend}}
	}
	c.sim.outcome.orders++
	return e.execute(o), nil
}

// execute accepts or rejects an order by the rules of the platform.
func (e *engine) execute(o laburnumlever.EngineOrder) laburnumlever.EngineVerdict {
	switch {
	case o.Fence < e.fence:
		return laburnumlever.VerdictStaleFence
	case o.Expect != e.accepted || e.order != nil:
		return laburnumlever.VerdictConflict
	}
	e.fence = o.Fence
	m := e.sim.modelIndex[o.Model]
	if o.Adapter != "" {
		return e.executeAdapter(o, m)
	}
	if _, holds := e.held[m]; holds == (o.Kind == laburnumlever.Load) {
		return laburnumlever.VerdictHeld
	}
	e.accepted++
	e.order = &activeOrder{kind: o.Kind, model: m, incarnation: int(e.incarnation)}
	if o.Kind == laburnumlever.Load {
		e.startLoad(m)
	} else {
		e.refuseQueued(m)
		e.finishUnload()
	}
	return laburnumlever.VerdictAccepted
}

// startLoad loads a model from host memory, from disk or from the weight store, the fastest that
// has it. Loads from the store slow down when more run than it serves at full speed.
func (e *engine) startLoad(m int) {
	sim, kind := e.sim, e.sim.models[m].kind
	e.held[m] = map[laburnumlever.AdapterName]bool{}
	if e.usedWeightsMB() > sim.scenario.Engines.WeightsMB {
		sim.outcome.overcommitted++
	}
	span := time.Duration(kind.StoreLoad)
	fromStore := false
	switch {
	case slices.Contains(e.host, m):
		span = time.Duration(kind.MemoryLoad)
	case slices.Contains(e.disk, m):
		span = time.Duration(kind.DiskLoad)
	default:
		fromStore = true
		sim.storeLoads++
		sim.outcome.storeLoads++
		if most := sim.scenario.Store.FullSpeed; most > 0 && sim.storeLoads > most {
			span = span * time.Duration(sim.storeLoads) / time.Duration(most)
		}
	}
	sim.outcome.loads++
	order := e.order
	sim.after(span, func() {
		if fromStore {
			sim.storeLoads--
		}
		if e.order != order || !e.up {
			return
		}
		e.order = nil
		e.cacheWeights(m)
		e.sendHeartbeat()
	})
}

// cacheWeights keeps the weights of a loaded model in host memory and on disk, and drops those
// loaded least recently.
func (e *engine) cacheWeights(m int) {
	e.host = e.insertLRU(e.host, m, e.sim.scenario.Engines.HostMB)
	e.disk = e.insertLRU(e.disk, m, e.sim.scenario.Engines.DiskMB)
}

// insertLRU puts a model at the head of a tier and cuts the tier off at its capacity in MB.
func (e *engine) insertLRU(tier []int, m int, most float64) []int {
	tier = slices.DeleteFunc(tier, func(o int) bool { return o == m })
	tier = slices.Insert(tier, 0, m)
	total := 0.0
	for i, o := range tier {
		if total += e.sim.models[o].kind.WeightsMB; total > most {
			return tier[:i]
		}
	}
	return tier
}

// refuseQueued refuses the queued requests for a model that have not started.
func (e *engine) refuseQueued(m int) {
	e.batch.waiting = slices.DeleteFunc(e.batch.waiting, func(r *run) bool {
		if r.attempt.request.model != m || r.started {
			return false
		}
		r.finished = true
		e.sim.after(e.sim.link(e.zone, r.attempt.gateway.zone), func() { r.attempt.onRefused(r, engineFull) })
		return true
	})
}

// finishUnload completes an unload once no request uses the model.
func (e *engine) finishUnload() {
	if e.order == nil || e.order.kind != laburnumlever.Unload {
		return
	}
	m := e.order.model
	uses := func(r *run) bool { return r.attempt.request.model == m }
	if slices.ContainsFunc(e.batch.running, uses) || slices.ContainsFunc(e.batch.prefilling, uses) || slices.ContainsFunc(e.batch.waiting, uses) {
		return
	}
	delete(e.held, m)
	e.order = nil
	for key := range e.cached {
		if key.model == m {
			delete(e.cached, key)
		}
	}
	e.sendHeartbeat()
}

// executeAdapter loads or unloads an adapter; an unload takes effect at once.
func (e *engine) executeAdapter(o laburnumlever.EngineOrder, m int) laburnumlever.EngineVerdict {
	adapters, holds := e.held[m]
	if _, there := adapters[o.Adapter]; !holds || there == (o.Kind == laburnumlever.Load) {
		return laburnumlever.VerdictHeld
	}
	e.accepted++
	if o.Kind == laburnumlever.Unload {
		delete(adapters, o.Adapter)
		return laburnumlever.VerdictHeld
	}
	adapters[o.Adapter] = false
	if e.adapterCount() > e.sim.scenario.Engines.AdapterSlots {
		e.sim.outcome.overcommitted++
	}
	incarnation := e.incarnation
	e.sim.after(time.Duration(e.sim.models[m].kind.AdapterLoad), func() {
		if _, still := e.held[m][o.Adapter]; still && e.incarnation == incarnation && e.up {
			e.held[m][o.Adapter] = true
		}
	})
	return laburnumlever.VerdictAccepted
}

// reserve reserves a slot for a request on its way and returns the id of the reservation, or 0 if
// no slot is free.
func (e *engine) reserve(q *request) int {
	if e.batch.size()+len(e.reservations) >= e.sim.scenario.Engines.Slots ||
		e.batch.usedCacheTokens()+q.promptTokens > e.sim.scenario.Engines.CacheTokens {
		return 0
	}
	e.sim.reservations++
	id := e.sim.reservations
	e.reservations[id] = true
	e.sim.after(reservationTTL, func() {
		if e.reservations[id] {
			delete(e.reservations, id)
			e.admit()
		}
	})
	return id
}
