package laburnumplacement

import (
	"cmp"
	"slices"

	"laburnumlever"
)

const (
	// shiftDivisor bounds the replicas loading at once to a tenth of the engines:
	// a wrong estimate can't turn over more of the fleet than that before its
	// effect is seen in the next demand.
	shiftDivisor = 10
	// minShift lets a small fleet move at all.
	minShift = 2
	// minGain keeps a move-cost of 0 from paying for moves that bring nothing.
	minGain = 0.01
	// exchangeFactor prices an exchange at two moves: the copy that goes will
	// have to come back when its own demand does.
	exchangeFactor = 2
)

// beginReplicas counts the copies that are loading or going, whatever for: they
// use the weight store, and their effect is not seen yet.
func (f *fleet) beginReplicas() {
	for i := range f.engines {
		for _, p := range f.engines[i].copies {
			if p.planned || leaving(p) || !p.Ready {
				f.shifting++
			}
		}
	}
}

func (f *fleet) shiftLimit() int { return max(minShift, len(f.engines)/shiftDivisor) }

// replica is a copy that might be added.
type replica struct {
	model   int
	spot    spot
	gain    float64 // requests a second
	victims []*placed
}

// bestReplica finds the copy that gains most for each accelerator where the demand
// of now is not met, if it is worth a move.
func (f *fleet) bestReplica() (replica, bool) {
	var best replica
	found := false
	if f.shifting >= f.shiftLimit() || f.full() {
		return best, false
	}
	for _, m := range f.unmetFirst() {
		r, ok := f.replicaFor(m)
		if ok && (!found || r.perAccelerator(f) > best.perAccelerator(f)) {
			best, found = r, true
		}
	}
	return best, found
}

func (r replica) perAccelerator(f *fleet) float64 {
	return r.gain / float64(f.models[r.model].span)
}

// maxUnmet bounds the models looked at for one replica: the rest have less to gain.
const maxUnmet = 16

func (f *fleet) unmetFirst() []int {
	var list []int
	for m := range f.models {
		if f.unmetRequests(m) > f.price() {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(f.unmetRequests(b), f.unmetRequests(a)) })
	return list[:min(len(list), maxUnmet)]
}

func (f *fleet) unmetRequests(m int) float64 {
	return f.models[m].unmet * f.models[m].demand.Now.Requests
}

func (f *fleet) price() float64 { return max(minGain, f.snapshot.Catalogue.Deployment.MoveCost) }

// replicaFor finds the engine whose spare room meets most of the model's unmet
// demand: first in free memory, then in place of copies that are worth less.
func (f *fleet) replicaFor(m int) (replica, bool) {
	best := replica{model: m}
	found := false
	for at := range f.engines {
		if f.holds(at, m) {
			continue
		}
		gain := f.gainAt(at, m)
		if gain <= f.price() || found && gain <= best.gain {
			continue
		}
		if s, ok := f.room(at, f.models[m].part, f.models[m].span); ok {
			best.spot, best.gain, found = s, gain, true
		}
	}
	if found {
		return best, true
	}
	return f.exchangeFor(m)
}

func (f *fleet) gainAt(at, m int) float64 {
	e := &f.engines[at]
	cost := f.models[m].demand.Now.cost(e)
	if !e.Usable || cost <= 0 {
		return 0
	}
	spare := max(0, usableShare-e.load) / cost
	return min(f.models[m].unmet, spare) * f.models[m].demand.Now.Requests
}

// exchangeFor finds an engine where copies that the last half hour did not need
// can go for the model. What they would be missed by is taken from the gain.
func (f *fleet) exchangeFor(m int) (replica, bool) {
	best := replica{model: m}
	found := false
	if f.comingRoom(m, anywhere) {
		return best, false
	}
	for at := range f.engines {
		if f.holds(at, m) || f.unmetRequests(m) <= best.gain {
			continue
		}
		c, ok := f.clearing(at, m, f.mayBeExchanged, f.lossOf)
		if !ok || len(c.victims) == 0 {
			continue
		}
		gain := f.gainWithout(at, m, c.victims) - c.loss
		if gain > exchangeFactor*f.price()*float64(len(c.victims)) && gain > best.gain {
			best = replica{model: m, spot: spot{engine: at}, gain: gain, victims: c.victims}
			found = true
		}
	}
	return best, found
}

// gainWithout is the gain on an engine once some copies have left it.
func (f *fleet) gainWithout(at, m int, victims []*placed) float64 {
	e := &f.engines[at]
	cost := f.models[m].demand.Now.cost(e)
	if !e.Usable || cost <= 0 {
		return 0
	}
	load := e.load
	for _, p := range victims {
		load -= p.share * f.models[p.model].demand.Now.cost(e)
	}
	return min(f.models[m].unmet, max(0, usableShare-load)/cost) * f.models[m].demand.Now.Requests
}

// mayBeExchanged leaves copies that are loading alone: their effect is not seen yet.
func (f *fleet) mayBeExchanged(p *placed) bool {
	return p.model >= 0 && f.answers(p) && f.mayGo(p)
}

// lossOf is what giving the copy up costs, in requests a second.
func (f *fleet) lossOf(p *placed) float64 {
	loss := f.missedBy(p)
	if f.endsSpread(p) {
		loss += f.spreadWorth(p.model)
	}
	return loss
}

// endsSpread tells whether the model would be left in one zone without the copy.
func (f *fleet) endsSpread(p *placed) bool {
	var zone laburnumlever.ZoneName
	for _, other := range f.models[p.model].copies {
		if other == p || !f.lasting(other) {
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

// missedBy is what the copy's model would lose with it, in requests a second, at
// the demand of the last half hour.
func (f *fleet) missedBy(p *placed) float64 {
	mod := &f.models[p.model]
	capacity := 0.0
	for _, other := range mod.copies {
		if other == p || !f.present(other) {
			continue
		}
		e := &f.engines[other.engine]
		cost := mod.demand.Hold.cost(e)
		if cost <= 0 {
			return 0
		}
		own := other.share * mod.demand.Now.cost(e)
		capacity += max(0, usableShare-e.load+own) / cost
	}
	return max(0, 1-capacity) * mod.demand.Hold.Requests
}

// planReplica plans the load, or the unloads that have to come before it. The load
// then follows in a later round, if it is still worth it.
func (f *fleet) planReplica(r replica) {
	mod := &f.models[r.model]
	f.shifting += max(1, len(r.victims))
	if len(r.victims) > 0 {
		for _, p := range r.victims {
			f.planUnload(p, ReasonExchanged, Move{For: mod.Name, Gain: r.gain})
		}
		mod.unmet = 0
		return
	}
	f.planLoad(r.model, r.spot, ReasonDemand, Move{Gain: r.gain})
	f.carry(r.model, r.spot.engine, r.gain)
}

// carry lays the gain of a planned copy on its engine.
func (f *fleet) carry(m, at int, gain float64) {
	mod := &f.models[m]
	if gain <= 0 {
		return
	}
	taken := gain / mod.demand.Now.Requests
	f.engines[at].load += taken * mod.demand.Now.cost(&f.engines[at])
	mod.unmet = max(0, mod.unmet-taken)
}
