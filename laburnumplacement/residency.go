package laburnumplacement

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// removeForgotten unloads the copies of models that the catalogue has dropped.
func (f *fleet) removeForgotten() {
	for i := range f.engines {
		for _, p := range f.engines[i].copies {
			if p.model < 0 && f.lasting(p) {
				f.planUnload(p, ReasonRemoved, Move{})
			}
		}
	}
}

// repair gives each model without a lasting copy one. The largest are placed
// first, because they have the fewest places; the moves are made in the order of
// demand.
func (f *fleet) repair() {
	for _, m := range f.missing() {
		if f.full() {
			return
		}
		reason := ReasonRepair
		if slices.ContainsFunc(f.models[m].copies, f.present) {
			reason = ReasonLeaving
		}
		move := Move{Gain: f.models[m].demand.Now.Requests}
		allowed := f.allowedForRepair(m)
		if s, ok := f.findSpot(m, allowed); ok {
			f.planLoad(m, s, reason, move)
			continue
		}
		if !f.makeRoom(m, allowed) {
			f.unplaced = append(f.unplaced, f.models[m].Name)
		}
	}
}

// maxLoads bounds the loads that one round plans: more than the weight store can
// begin before the next round would only make the round longer.
const maxLoads = 48

func (f *fleet) full() bool { return f.loads >= maxLoads }

func (f *fleet) missing() []int {
	var list []int
	for m := range f.models {
		if !slices.ContainsFunc(f.models[m].copies, f.lasting) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int {
		ma, mb := &f.models[a], &f.models[b]
		return cmp.Or(
			cmp.Compare(mb.part, ma.part),
			cmp.Compare(mb.span, ma.span),
			cmp.Compare(ma.Name, mb.Name))
	})
	return list
}

// allowedForRepair keeps a repair that is overdue in the own zone. Two owners whose
// views differ may each leave a repair to the other, and the model would stay
// away for as long as their views differ; so after a while each repairs it itself.
// The second copy that this may give is no loss: it spreads the model.
func (f *fleet) allowedForRepair(m int) func(at int) bool {
	if !f.snapshot.Overdue[f.models[m].Name] {
		return anywhere
	}
	return func(at int) bool { return f.engines[at].Zone == f.snapshot.OwnZone }
}

func anywhere(int) bool { return true }

// servingZones counts the zones with an engine that can take copies. In a zone
// that is cut off, second copies would only fill the memory for repairs.
func (f *fleet) servingZones() int {
	seen := make(map[laburnumlever.ZoneName]bool)
	for i := range f.engines {
		if f.engines[i].Usable {
			seen[f.engines[i].Zone] = true
		}
	}
	return len(seen)
}

// where lists the zones of a model's lasting copies and counts their engines.
func (f *fleet) where(m int) ([]laburnumlever.ZoneName, int) {
	var zones []laburnumlever.ZoneName
	engines := make(map[int]bool)
	for _, p := range f.models[m].copies {
		if !f.lasting(p) {
			continue
		}
		engines[p.engine] = true
		if zone := f.engines[p.engine].Zone; !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones, len(engines)
}

// findSpot finds the best engine for one more copy: in a zone without one, then
// where the model's demand leaves the engine least busy, then the tightest fit.
func (f *fleet) findSpot(m int, allowed func(at int) bool) (spot, bool) {
	mod := &f.models[m]
	zones, _ := f.where(m)
	best := spot{engine: -1}
	var bestRank rank
	for at := range f.engines {
		if !allowed(at) || f.holds(at, m) {
			continue
		}
		s, ok := f.room(at, mod.part, mod.span)
		if !ok {
			continue
		}
		r := f.rank(m, s, zones)
		if best.engine < 0 || r.before(bestRank) {
			best, bestRank = s, r
		}
	}
	return best, best.engine >= 0
}

// rank orders the places for a copy; the lower is better, field by field.
type rank struct {
	sameZone int
	busy     int
	leftover int
	order    uint64
}

func (r rank) before(other rank) bool {
	return cmp.Or(
		cmp.Compare(r.sameZone, other.sameZone),
		cmp.Compare(r.busy, other.busy),
		cmp.Compare(r.leftover, other.leftover),
		cmp.Compare(r.order, other.order)) < 0
}

// busySteps is how finely engines are told apart by load: finer steps would put
// copies by noise in the estimates rather than by fit.
const busySteps = 5

func (f *fleet) rank(m int, s spot, zones []laburnumlever.ZoneName) rank {
	e := &f.engines[s.engine]
	r := rank{leftover: s.leftover, order: e.order}
	if slices.Contains(zones, e.Zone) {
		r.sameZone = 1
	}
	r.busy = int((f.expected(s.engine) + f.models[m].demand.Hold.cost(e)) * busySteps)
	return r
}

// expected is how busy the engine would be if each model spread its held demand
// evenly over its copies.
func (f *fleet) expected(at int) float64 {
	e := &f.engines[at]
	total := 0.0
	for _, p := range e.copies {
		if p.model < 0 || p.Going {
			continue
		}
		total += f.models[p.model].demand.Hold.cost(e) / float64(len(f.models[p.model].copies))
	}
	return total
}

// holds tells whether the engine has a copy of the model already.
func (f *fleet) holds(at, m int) bool {
	return slices.ContainsFunc(f.models[m].copies, func(p *placed) bool { return p.engine == at && p.current })
}
