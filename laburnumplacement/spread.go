package laburnumplacement

import (
	"cmp"
	"slices"
)

// atRiskShare prices a model's second zone at a fifth of the model's demand. A
// model that few ask for may so be left with one copy while another is short of
// copies, but not one whose demand is several times what the exchange gains. Measured
// at a half, Armor Pose's full fleet served less than without any such price; at 0
// nearly every model would be down to one copy at the peak, and all of them away for
// the seconds that a repair takes when an engine is lost.
const atRiskShare = 0.2

// fill uses the memory that residency leaves: for second zones and for replicas,
// whichever is worth more for each accelerator. Second zones are not priced: where
// memory allows, every model has one.
func (f *fleet) fill() {
	f.beginReplicas()
	next, ok := f.bestReplica()
	for _, m := range f.narrow() {
		for ok && next.perAccelerator(f) > f.spreadWorth(m)/float64(f.models[m].span) {
			f.planReplica(next)
			next, ok = f.bestReplica()
		}
		if f.full() {
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

// narrow lists the models whose copies are all in one zone, those worth most first.
// In a zone that is cut off there are none: second copies would only fill the
// memory for repairs.
func (f *fleet) narrow() []int {
	if f.servingZones() < 2 {
		return nil
	}
	var list []int
	for m := range f.models {
		if zones, _ := f.where(m); len(zones) == 1 {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Or(cmp.Compare(f.spreadWorth(b), f.spreadWorth(a)), cmp.Compare(f.models[a].Name, f.models[b].Name))
	})
	return list
}

func (f *fleet) spreadWorth(m int) float64 { return atRiskShare * f.models[m].demand.Hold.Requests }

// spread gives a model a copy in a second zone, else on a second engine, in free
// memory or in place of copies that nobody would miss.
func (f *fleet) spread(m int) {
	zones, engines := f.where(m)
	otherZone := func(at int) bool { return f.engines[at].Zone != zones[0] }
	s, ok := f.findSpot(m, otherZone)
	if !ok && f.clearSurplus(m, otherZone) {
		return
	}
	if !ok && engines == 1 {
		s, ok = f.findSpot(m, anywhere)
	}
	if !ok {
		return
	}
	gain := f.gainAt(s.engine, m)
	f.planLoad(m, s, ReasonSpread, Move{Gain: gain})
	f.carry(m, s.engine, gain)
}

// clearSurplus unloads copies that the last half hour did not need, or waits for
// such an unload to be done.
func (f *fleet) clearSurplus(m int, allowed func(at int) bool) bool {
	if f.comingRoom(m, allowed) {
		return true
	}
	for at := range f.engines {
		if f.shifting >= f.shiftLimit() {
			return false
		}
		if !allowed(at) || f.holds(at, m) {
			continue
		}
		c, ok := f.clearing(at, m, f.isSurplus, f.worth)
		if !ok {
			continue
		}
		for _, p := range c.victims {
			f.planUnload(p, ReasonSpread, Move{For: f.models[m].Name})
			f.shifting++
		}
		return true
	}
	return false
}

// isSurplus leaves second zones alone, also of models that nobody asks for: else
// such models would take each other's in turn.
func (f *fleet) isSurplus(p *placed) bool {
	return f.mayBeExchanged(p) && !f.endsSpread(p) && f.missedBy(p) == 0
}

// comingRoom tells whether unloads under way will make room for the model.
func (f *fleet) comingRoom(m int, allowed func(at int) bool) bool {
	for at := range f.engines {
		if !f.engines[at].clearing || !allowed(at) || f.holds(at, m) {
			continue
		}
		if _, ok := f.clearing(at, m, leaving, f.worth); ok {
			return true
		}
	}
	return false
}

func leaving(p *placed) bool { return p.Going || p.Draining }
