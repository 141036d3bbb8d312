package laburnumplacement

import (
	"cmp"
	"slices"

	"laburnumlever"
)

const (
	// inFlightDivisor bounds the replicas loading at once to a tenth of the engines:
	// a wrong estimate can't turn over more of the fleet than that before its
	// effect is seen in the next demand.
	inFlightDivisor = 10
	// minInFlight lets a small fleet move at all.
	minInFlight = 2
	// minGain keeps a move-cost of 0 from paying for moves that bring nothing.
	minGain = 0.01
	// exchangeCostFactor prices an exchange at two moves: the copy that goes will
	// have to come back when its own demand does.
	exchangeCostFactor = 2
)

// countMovesInFlight counts the copies that are loading or going, whatever for: they
// use the weight store, and their effect is not seen yet.
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

// replicaCandidate is a copy that might be added.
type replicaCandidate struct {
	model   int
	fit     fit
	gain    float64 // requests a second
	victims []*placement
}

// bestReplica finds the copy that gains most for each accelerator where the demand
// of now is not met, if it is worth a move.
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

// maxReplicaModels bounds the models looked at for one replica: the rest have less to gain.
const maxReplicaModels = 16

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

func (f *fleet) minMoveGain() float64 { return max(minGain, f.snapshot.Catalogue.Deployment.MoveCost) }

// replicaFor finds the engine whose spare room meets most of the model's unmet
// demand: first in free memory, then in place of copies that are worth less.
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

func (f *fleet) gainAt(at, m int) float64 {
	e := &f.engines[at]
	cost := f.models[m].demand.Now.utilization(e)
	if !e.Usable || cost <= 0 {
		return 0
	}
	spare := max(0, maxUtilization-e.utilization) / cost
	return min(f.models[m].unmet, spare) * f.models[m].demand.Now.Requests
}

// exchangeFor finds an engine where copies that the last half hour did not need
// can go for the model. What they would be missed by is taken from the gain.
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

// gainAfterEviction is the gain on an engine once some copies have left it.
func (f *fleet) gainAfterEviction(at, m int, victims []*placement) float64 {
	e := &f.engines[at]
	cost := f.models[m].demand.Now.utilization(e)
	if !e.Usable || cost <= 0 {
		return 0
	}
	load := e.utilization
	for _, p := range victims {
		load -= p.demandShare * f.models[p.model].demand.Now.utilization(e)
	}
	return min(f.models[m].unmet, max(0, maxUtilization-load)/cost) * f.models[m].demand.Now.Requests
}

// canExchange leaves copies that are loading alone: their effect is not seen yet.
func (f *fleet) canExchange(p *placement) bool {
	return p.model >= 0 && f.stable(p) && f.canEvict(p)
}

// evictionLoss is what giving the copy up costs, in requests a second.
func (f *fleet) evictionLoss(p *placement) float64 {
	loss := f.peakDemandLost(p)
	if f.leavesSingleZone(p) {
		loss += f.spreadGain(p.model)
	}
	return loss
}

// leavesSingleZone tells whether the model would be left in one zone without the copy.
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

// peakDemandLost is what the copy's model would lose with it, in requests a second, at
// the demand of the last half hour.
func (f *fleet) peakDemandLost(p *placement) float64 {
	mod := &f.models[p.model]
	capacity := 0.0
	for _, other := range mod.copies {
		if other == p || !f.active(other) {
			continue
		}
		e := &f.engines[other.engine]
		cost := mod.demand.Hold.utilization(e)
		if cost <= 0 {
			return 0
		}
		own := other.demandShare * mod.demand.Now.utilization(e)
		capacity += max(0, maxUtilization-e.utilization+own) / cost
	}
	return max(0, 1-capacity) * mod.demand.Hold.Requests
}

// planReplica plans the load, or the unloads that have to come before it. The load
// then follows in a later round, if it is still worth it.
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

// assignDemand lays the gain of a planned copy on its engine.
func (f *fleet) assignDemand(m, at int, gain float64) {
	mod := &f.models[m]
	if gain <= 0 {
		return
	}
	share := gain / mod.demand.Now.Requests
	f.engines[at].utilization += share * mod.demand.Now.utilization(&f.engines[at])
	mod.unmet = max(0, mod.unmet-share)
}
