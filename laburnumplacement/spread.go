package laburnumplacement

import (
	"cmp"
	"slices"
)

// spreadWeight prices a model's second zone at a fifth of the model's demand. A
// model that few ask for may so be left with one copy while another is short of
// copies, but not one whose demand is several times what the exchange gains. Measured
// at a half, Armor Pose's full fleet served less than without any such price; at 0
// nearly every model would be down to one copy at the peak, and all of them away for
// the seconds that a repair takes when an engine is lost.
const spreadWeight = 0.2

// fillFreeMemory uses the memory that residency leaves: for second zones and for replicas,
// whichever is worth more for each accelerator. Second zones are not priced: where
// memory allows, every model has one.
func (f *fleet) fillFreeMemory() {
	f.countMovesInFlight()
	next, ok := f.bestReplica()
	for _, m := range f.singleZoneModels() {
		for ok && next.gainPerAccelerator(f) > f.spreadGain(m)/float64(f.models[m].span) {
			f.planReplica(next)
			next, ok = f.bestReplica()
		}
		if f.loadLimitReached() {
			return
		}
		moves := len(f.moves)
		f.spread(m)
		if len(f.moves) > moves {
			next, ok = f.bestReplica()
		}
	}
	for ok {
		f.planReplica(next)
		next, ok = f.bestReplica()
	}
}

// singleZoneModels lists the models whose copies are all in one zone, those worth most first.
// In a zone that is cut off there are none: second copies would only fill the
// memory for repairs.
func (f *fleet) singleZoneModels() []int {
	if f.usableZones() < 2 {
		return nil
	}
	var models []int
	for m := range f.models {
		if zones, _ := f.locations(m); len(zones) == 1 {
			models = append(models, m)
		}
	}
	slices.SortStableFunc(models, func(a, b int) int {
		return cmp.Or(cmp.Compare(f.spreadGain(b), f.spreadGain(a)), cmp.Compare(f.models[a].Name, f.models[b].Name))
	})
	return models
}

func (f *fleet) spreadGain(m int) float64 { return spreadWeight * f.models[m].demand.Hold.Requests }

// spread gives a model a copy in a second zone, else on a second engine, in free
// memory or in place of copies that nobody would miss.
func (f *fleet) spread(m int) {
	zones, engines := f.locations(m)
	otherZone := func(at int) bool { return f.engines[at].Zone != zones[0] }
	s, ok := f.findEngine(m, otherZone)
	if !ok && f.evictSurplus(m, otherZone) {
		return
	}
	if !ok && engines == 1 {
		s, ok = f.findEngine(m, anyEngine)
	}
	if !ok {
		return
	}
	gain := f.gainAt(s.engine, m)
	f.planLoad(m, s, ReasonSpread, Move{Gain: gain})
	f.assignDemand(m, s.engine, gain)
}

// evictSurplus unloads copies that the last half hour did not need, or waits for
// such an unload to be done.
func (f *fleet) evictSurplus(m int, allowed func(at int) bool) bool {
	if f.roomPending(m, allowed) {
		return true
	}
	for at := range f.engines {
		if f.movesInFlight >= f.maxMovesInFlight() {
			return false
		}
		if !allowed(at) || f.hasCopy(at, m) {
			continue
		}
		c, ok := f.evictionOn(at, m, f.isSurplus, f.demandPerCopy)
		if !ok {
			continue
		}
		for _, p := range c.victims {
			f.planUnload(p, ReasonSpread, Move{For: f.models[m].Name})
			f.movesInFlight++
		}
		return true
	}
	return false
}

// isSurplus leaves second zones alone, also of models that nobody asks for: else
// such models would take each other's in turn.
func (f *fleet) isSurplus(p *placement) bool {
	return f.canExchange(p) && !f.leavesSingleZone(p) && f.peakDemandLost(p) == 0
}

// roomPending tells whether unloads under way will make room for the model.
func (f *fleet) roomPending(m int, allowed func(at int) bool) bool {
	for at := range f.engines {
		if !f.engines[at].unloading || !allowed(at) || f.hasCopy(at, m) {
			continue
		}
		if _, ok := f.evictionOn(at, m, unloading, f.demandPerCopy); ok {
			return true
		}
	}
	return false
}

func unloading(p *placement) bool { return p.Going || p.Draining }
