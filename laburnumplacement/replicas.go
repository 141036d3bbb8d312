package laburnumplacement

import (
	"cmp"
	"slices"

	"laburnumlever"
)

const (
	// inFlightDivisor bounds the moves in flight to a tenth of the engines, so that a wrong
	// estimate cannot change more of the fleet before its effect shows in the demand signals.
	inFlightDivisor = 10
	// minInFlight is the bound for small fleets, where a tenth would allow no move.
	minInFlight = 2
	// minGain prevents moves without any benefit when move-cost is 0.
	minGain = 0.01
	// exchangeCostFactor prices an exchange as two moves, because the evicted copy has to be
	// reloaded when the demand for it returns.
	exchangeCostFactor = 2
)

// countMovesInFlight counts the copies being loaded or unloaded, for any reason: they use the
// weight store, and their effect does not show in the demand signals yet.
func (f *fleet) countMovesInFlight() {
	for i := range f.engines {
		for _, p := range f.engines[i].copies {
			if p.planned || unloading(p) || !p.Ready {
				f.movesInFlight++
			}
		}
	}
}

func (f *fleet) maxMovesInFlight() int { return max(minInFlight, len(f.engines)/inFlightDivisor) }

// replicaCandidate is an additional copy of a model on one engine.
type replicaCandidate struct {
	model   int
	fit     fit
	gain    float64 // requests per second
	victims []*placement
}

// bestReplica returns the replica with the highest gain per accelerator among the models with unmet
// current demand, if one is worth a move.
func (f *fleet) bestReplica() (replicaCandidate, bool) {
	var best replicaCandidate
	found := false
	if f.movesInFlight >= f.maxMovesInFlight() || f.loadLimitReached() {
		return best, false
	}
	for _, m := range f.modelsByUnmetDemand() {
		r, ok := f.replicaFor(m)
		if ok && (!found || r.gainPerAccelerator(f) > best.gainPerAccelerator(f)) {
			best, found = r, true
		}
	}
	return best, found
}

func (r replicaCandidate) gainPerAccelerator(f *fleet) float64 {
	return r.gain / float64(f.models[r.model].span)
}

// maxReplicaModels bounds the models considered for one replica; the remaining ones have less unmet
// demand.
const maxReplicaModels = 16

// modelsByUnmetDemand returns the models whose unmet demand is worth a move, highest first.
func (f *fleet) modelsByUnmetDemand() []int {
	var models []int
	for m := range f.models {
		if f.unmetRequests(m) > f.minMoveGain() {
			models = append(models, m)
		}
	}
	slices.SortStableFunc(models, func(a, b int) int { return cmp.Compare(f.unmetRequests(b), f.unmetRequests(a)) })
	return models[:min(len(models), maxReplicaModels)]
}

func (f *fleet) unmetRequests(m int) float64 {
	return f.models[m].unmet * f.models[m].demand.Now.Requests
}

// minMoveGain returns the gain that a move must exceed, in requests per second.
func (f *fleet) minMoveGain() float64 { return max(minGain, f.snapshot.Catalogue.Deployment.MoveCost) }

// replicaFor selects the engine that can serve most of the model's unmet demand: first in free
// memory, then in exchange for copies with a lower value.
func (f *fleet) replicaFor(m int) (replicaCandidate, bool) {
	best := replicaCandidate{model: m}
	found := false
	for at := range f.engines {
		if f.hasCopy(at, m) {
			continue
		}
		gain := f.gainAt(at, m)
		if gain <= f.minMoveGain() || found && gain <= best.gain {
			continue
		}
		if s, ok := f.fitOn(at, f.models[m].partMiB, f.models[m].span); ok {
			best.fit, best.gain, found = s, gain, true
		}
	}
	if found {
		return best, true
	}
	return f.exchangeFor(m)
}

// gainAt returns the requests per second that a new copy on the engine would serve of the unmet
// demand.
func (f *fleet) gainAt(at, m int) float64 {
	e := &f.engines[at]
	cost := f.models[m].demand.Now.utilization(e)
	if !e.AcceptsOrders || cost <= 0 {
		return 0
	}
	spare := max(0, maxUtilization-e.utilization) / cost
	return min(f.models[m].unmet, spare) * f.models[m].demand.Now.Requests
}

// exchangeFor selects an engine where the model can replace copies that were not needed in the last
// half hour. The eviction loss is subtracted from the gain.
func (f *fleet) exchangeFor(m int) (replicaCandidate, bool) {
	best := replicaCandidate{model: m}
	found := false
	if f.roomPending(m, anyEngine) {
		return best, false
	}
	for at := range f.engines {
		if f.hasCopy(at, m) || f.unmetRequests(m) <= best.gain {
			continue
		}
		c, ok := f.evictionOn(at, m, f.canExchange, f.evictionLoss)
		if !ok || len(c.victims) == 0 {
			continue
		}
		gain := f.gainAfterEviction(at, m, c.victims) - c.cost
		if gain > exchangeCostFactor*f.minMoveGain()*float64(len(c.victims)) && gain > best.gain {
			best = replicaCandidate{model: m, fit: fit{engine: at}, gain: gain, victims: c.victims}
			found = true
		}
	}
	return best, found
}

// gainAfterEviction returns the gain of a copy on an engine once the victims are unloaded.
func (f *fleet) gainAfterEviction(at, m int, victims []*placement) float64 {
	e := &f.engines[at]
	cost := f.models[m].demand.Now.utilization(e)
	if !e.AcceptsOrders || cost <= 0 {
		return 0
	}
	load := e.utilization
	for _, p := range victims {
		load -= p.demandShare * f.models[p.model].demand.Now.utilization(e)
	}
	return min(f.models[m].unmet, max(0, maxUtilization-load)/cost) * f.models[m].demand.Now.Requests
}

// canExchange excludes copies that are not stable yet, whose effect does not show in the demand
// signals.
func (f *fleet) canExchange(p *placement) bool {
	return p.model >= 0 && f.stable(p) && f.canEvict(p)
}

// evictionLoss returns the cost of unloading the copy, in requests per second.
func (f *fleet) evictionLoss(p *placement) float64 {
	loss := f.peakDemandLost(p)
	if f.leavesSingleZone(p) {
		loss += f.spreadGain(p.model)
	}
	return loss
}

// leavesSingleZone reports whether the model would have copies in at most one zone without this
// copy.
func (f *fleet) leavesSingleZone(p *placement) bool {
	var zone laburnumlever.ZoneName
	for _, other := range f.models[p.model].copies {
		if other == p || !f.resident(other) {
			continue
		}
		if z := f.engines[other.engine].Zone; zone == "" {
			zone = z
		} else if z != zone {
			return false
		}
	}
	return true
}

// peakDemandLost returns how much of the model's peak demand the other copies could not serve
// without this one, in requests per second.
func (f *fleet) peakDemandLost(p *placement) float64 {
	mod := &f.models[p.model]
	capacity := 0.0
	for _, other := range mod.copies {
		if other == p || !f.active(other) {
			continue
		}
		e := &f.engines[other.engine]
		cost := mod.demand.Peak.utilization(e)
		if cost <= 0 {
			return 0
		}
		own := other.demandShare * mod.demand.Now.utilization(e)
		capacity += max(0, maxUtilization-e.utilization+own) / cost
	}
	return max(0, 1-capacity) * mod.demand.Peak.Requests
}

// planReplica plans the load, or the unloads that must come first. In that case the load follows in
// a later round, if it is still worth it.
func (f *fleet) planReplica(r replicaCandidate) {
	mod := &f.models[r.model]
	f.movesInFlight += max(1, len(r.victims))
	if len(r.victims) > 0 {
		for _, p := range r.victims {
			f.planUnload(p, ReasonExchanged, Move{For: mod.Name, Gain: r.gain})
		}
		mod.unmet = 0
		return
	}
	f.planLoad(r.model, r.fit, ReasonDemand, Move{Gain: r.gain})
	f.assignDemand(r.model, r.fit.engine, r.gain)
}

// assignDemand adds the gain of a planned copy to the utilization of its engine and subtracts it
// from the unmet demand.
func (f *fleet) assignDemand(m, at int, gain float64) {
	mod := &f.models[m]
	if gain <= 0 {
		return
	}
	share := gain / mod.demand.Now.Requests
	f.engines[at].utilization += share * mod.demand.Now.utilization(&f.engines[at])
	mod.unmet = max(0, mod.unmet-share)
}
