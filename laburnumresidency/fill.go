package laburnumresidency

import "slices"

// minFillWork is the least work of a copy that is loaded into free memory, as a share of an engine's
// capacity. Rarely used copies would only have to be evicted again.
const minFillWork = 0.05

// fill loads copies into free memory while nothing else is loading.
//
// Load pattern: demand moves to another model faster than copies can be loaded from the weight
// store. Weights that have been loaded once stay in the engine's host memory and on its disk after
// their eviction.
func (p *planner) fill() {
	candidates := p.fillCandidates()
	if len(candidates) == 0 {
		return
	}
	for e, engine := range p.engines {
		if !engine.Idle {
			continue
		}
		if m := p.bestFill(e, candidates); m != none {
			p.copies[m]++
			p.load(e, m, "fills free memory with a model of high demand", 0)
		}
	}
}

// fillCandidates lists the models for which another copy is useful. Before the first requests, the
// number of initial copies is used in place of demand.
func (p *planner) fillCandidates() []int {
	var list []int
	for m := range p.class.Models {
		if p.fillWeight(m) > p.minFillWeight() {
			list = append(list, m)
		}
	}
	return list
}

func (p *planner) minFillWeight() float64 {
	if len(p.demand) == 0 {
		return 0
	}
	return minFillWork
}

// fillWeight is the work per copy after another copy is added.
func (p *planner) fillWeight(m int) float64 {
	work := p.target.demand[m]
	if len(p.demand) == 0 {
		work = float64(p.copies[m] - 1)
	}
	return work / float64(p.copies[m]+1)
}

// bestFill returns the candidate with the highest weight that fits into an engine, or none.
func (p *planner) bestFill(e int, candidates []int) int {
	best, most := none, p.minFillWeight()
	used := p.usedMB(e)
	for _, m := range candidates {
		if w := p.fillWeight(m); w > most && used+p.target.size[m] <= p.class.WeightsMB && !slices.Contains(p.heldBy[e], m) {
			best, most = m, w
		}
	}
	return best
}
