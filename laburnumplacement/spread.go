package laburnumplacement

import (
	"cmp"
	"slices"
)

// spreadWeight values a model's second zone at a fifth of its peak demand. A model with little
// demand may so be left with one copy while another lacks copies, but not one whose demand is
// several times the gain of the exchange. Measured on the full Armor Pose fleet, 0.5 served less
// than no weight at all; with 0, nearly every model would be down to one copy at the peak, and
// after the loss of an engine the models on it would be unavailable for the seconds that a repair
// takes.
const spreadWeight = 0.2

// fillFreeMemory uses the memory that is left after repairs for second zones and replicas, in the
// order of their gain per accelerator. A second zone has no minimum gain: every model gets one
// where memory allows.
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

// singleZoneModels returns the models whose resident copies are all in one zone, highest gain
// first. It returns none when only one zone is usable, as in a zone that is cut off: second copies
// would only fill the memory needed for repairs.
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

// spreadGain returns the value of a second zone for the model, in requests per second.
func (f *fleet) spreadGain(m int) float64 { return spreadWeight * f.models[m].demand.Peak.Requests }

// spread adds a copy of a model in a second zone, or else on a second engine, in free memory or in
// place of surplus copies.
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

// evictSurplus unloads copies that were not needed in the last half hour. It reports whether such
// an unload is planned or in flight.
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

// isSurplus excludes the copy in a second zone, even of a model without demand: otherwise such
// models would evict each other's copies in turn.
func (f *fleet) isSurplus(p *placement) bool {
	return f.canExchange(p) && !f.leavesSingleZone(p) && f.peakDemandLost(p) == 0
}

// roomPending reports whether unloads in flight will make room for the model.
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

func unloading(p *placement) bool { return p.Unloading || p.Draining }
