package laburnumplacement

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// unloadRemovedModels unloads the copies of models that the catalogue has dropped.
func (f *fleet) unloadRemovedModels() {
	for i := range f.engines {
		for _, p := range f.engines[i].copies {
			if p.model < 0 && f.resident(p) {
				f.planUnload(p, ReasonRemoved, Move{})
			}
		}
	}
}

// repair gives each model without a lasting copy one. The largest are placed
// first, because they have the fewest places; the moves are made in the order of
// demand.
func (f *fleet) repair() {
	for _, m := range f.missingModels() {
		if f.loadLimitReached() {
			return
		}
		reason := ReasonRepair
		if slices.ContainsFunc(f.models[m].copies, f.active) {
			reason = ReasonLeaving
		}
		move := Move{Gain: f.models[m].demand.Now.Requests}
		allowed := f.repairFilter(m)
		if s, ok := f.findEngine(m, allowed); ok {
			f.planLoad(m, s, reason, move)
			continue
		}
		if !f.makeRoom(m, allowed) {
			f.unplaced = append(f.unplaced, f.models[m].Name)
		}
	}
}

// maxLoadsPerRound bounds the loads that one round plans: more than the weight store can
// begin before the next round would only make the round longer.
const maxLoadsPerRound = 48

func (f *fleet) loadLimitReached() bool { return f.plannedLoads >= maxLoadsPerRound }

func (f *fleet) missingModels() []int {
	var models []int
	for m := range f.models {
		if !slices.ContainsFunc(f.models[m].copies, f.resident) {
			models = append(models, m)
		}
	}
	slices.SortStableFunc(models, func(a, b int) int {
		ma, mb := &f.models[a], &f.models[b]
		return cmp.Or(
			cmp.Compare(mb.partMiB, ma.partMiB),
			cmp.Compare(mb.span, ma.span),
			cmp.Compare(ma.Name, mb.Name))
	})
	return models
}

// repairFilter keeps a repair that is overdue in the own zone. Two owners whose
// views differ may each leave a repair to the other, and the model would stay
// away for as long as their views differ; so after a while each repairs it itself.
// The second copy that this may give is no loss: it spreads the model.
func (f *fleet) repairFilter(m int) func(at int) bool {
	if !f.snapshot.Overdue[f.models[m].Name] {
		return anyEngine
	}
	return func(at int) bool { return f.engines[at].Zone == f.snapshot.OwnZone }
}

func anyEngine(int) bool { return true }

// usableZones counts the zones with an engine that can take copies. In a zone
// that is cut off, second copies would only fill the memory for repairs.
func (f *fleet) usableZones() int {
	seen := make(map[laburnumlever.ZoneName]bool)
	for i := range f.engines {
		if f.engines[i].Usable {
			seen[f.engines[i].Zone] = true
		}
	}
	return len(seen)
}

// locations lists the zones of a model's lasting copies and counts their engines.
func (f *fleet) locations(m int) ([]laburnumlever.ZoneName, int) {
	var zones []laburnumlever.ZoneName
	engines := make(map[int]bool)
	for _, p := range f.models[m].copies {
		if !f.resident(p) {
			continue
		}
		engines[p.engine] = true
		if zone := f.engines[p.engine].Zone; !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones, len(engines)
}

// findEngine finds the best engine for one more copy: in a zone without one, then
// where the model's demand leaves the engine least busy, then the tightest fit.
func (f *fleet) findEngine(m int, allowed func(at int) bool) (fit, bool) {
	mod := &f.models[m]
	zones, _ := f.locations(m)
	best := fit{engine: -1}
	var bestRank rank
	for at := range f.engines {
		if !allowed(at) || f.hasCopy(at, m) {
			continue
		}
		s, ok := f.fitOn(at, mod.partMiB, mod.span)
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
	sameZone    int
	utilization int
	leftover    int
	tieBreak    uint64
}

func (r rank) before(other rank) bool {
	return cmp.Or(
		cmp.Compare(r.sameZone, other.sameZone),
		cmp.Compare(r.utilization, other.utilization),
		cmp.Compare(r.leftover, other.leftover),
		cmp.Compare(r.tieBreak, other.tieBreak)) < 0
}

// utilizationSteps is how finely engines are told apart by load: finer steps would put
// copies by noise in the estimates rather than by fit.
const utilizationSteps = 5

func (f *fleet) rank(m int, s fit, zones []laburnumlever.ZoneName) rank {
	e := &f.engines[s.engine]
	r := rank{leftover: s.leftover, tieBreak: e.tieBreak}
	if slices.Contains(zones, e.Zone) {
		r.sameZone = 1
	}
	r.utilization = int((f.expectedUtilization(s.engine) + f.models[m].demand.Hold.utilization(e)) * utilizationSteps)
	return r
}

// expectedUtilization is how busy the engine would be if each model spread its held demand
// evenly over its copies.
func (f *fleet) expectedUtilization(at int) float64 {
	e := &f.engines[at]
	total := 0.0
	for _, p := range e.copies {
		if p.model < 0 || p.Going {
			continue
		}
		total += f.models[p.model].demand.Hold.utilization(e) / float64(len(f.models[p.model].copies))
	}
	return total
}

// hasCopy tells whether the engine has a copy of the model already.
func (f *fleet) hasCopy(at, m int) bool {
	return slices.ContainsFunc(f.models[m].copies, func(p *placement) bool { return p.engine == at && p.current })
}
