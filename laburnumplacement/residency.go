package laburnumplacement

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// unloadRemovedModels unloads the copies of models that are no longer in the catalogue.
func (f *fleet) unloadRemovedModels() {
	for i := range f.engines {
		for _, p := range f.engines[i].copies {
			if p.model < 0 && f.resident(p) {
				f.planUnload(p, ReasonRemoved, Move{})
			}
		}
	}
}

// repair plans a copy for each model without a resident one. Models are placed in the order of
// size, largest first, because those fit on the fewest engines; the moves are ordered by demand.
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

// maxLoadsPerRound bounds the loads that one round plans: the weight store cannot start more of
// them before the next round, and planning them would only lengthen this one.
const maxLoadsPerRound = 48

func (f *fleet) loadLimitReached() bool { return f.plannedLoads >= maxLoadsPerRound }

// missingModels returns the models without a resident copy, largest first.
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

// repairFilter restricts an overdue repair to the own zone. Two owners with different views may
// each expect the other to repair a model, which would stay unavailable as long as the views
// differ; so each of them repairs it once it is overdue. A second copy that may result is not
// wasted: it spreads the model over two zones.
func (f *fleet) repairFilter(m int) func(at int) bool {
	if !f.snapshot.Overdue[f.models[m].Name] {
		return anyEngine
	}
	return func(at int) bool { return f.engines[at].Zone == f.snapshot.OwnZone }
}

func anyEngine(int) bool { return true }

// usableZones counts the zones with an engine that takes orders.
func (f *fleet) usableZones() int {
	seen := make(map[laburnumlever.ZoneName]bool)
	for i := range f.engines {
		if f.engines[i].AcceptsOrders {
			seen[f.engines[i].Zone] = true
		}
	}
	return len(seen)
}

// locations returns the zones of a model's resident copies and the number of their engines.
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

// findEngine selects the engine for one more copy of a model: in a zone without a copy, then with
// the lowest utilization at peak demand, then with the tightest fit.
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

// rank orders the possible engines for a copy: lower is better, compared field by field.
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

// utilizationSteps is the resolution at which utilization is compared. A finer one would choose
// engines by noise in the estimates instead of by fit.
const utilizationSteps = 5

func (f *fleet) rank(m int, s fit, zones []laburnumlever.ZoneName) rank {
	e := &f.engines[s.engine]
	r := rank{leftover: s.leftover, tieBreak: e.tieBreak}
	if slices.Contains(zones, e.Zone) {
		r.sameZone = 1
	}
	r.utilization = int((f.expectedUtilization(s.engine) + f.models[m].demand.Peak.utilization(e)) * utilizationSteps)
	return r
}

// expectedUtilization returns the utilization of the engine if each model distributed its peak
// demand evenly over its copies.
func (f *fleet) expectedUtilization(at int) float64 {
	e := &f.engines[at]
	total := 0.0
	for _, p := range e.copies {
		if p.model < 0 || p.Unloading {
			continue
		}
		total += f.models[p.model].demand.Peak.utilization(e) / float64(len(f.models[p.model].copies))
	}
	return total
}

// hasCopy reports whether the engine already has a copy of the model in the catalogue's version.
func (f *fleet) hasCopy(at, m int) bool {
	return slices.ContainsFunc(f.models[m].copies, func(p *placement) bool { return p.engine == at && p.current })
}
