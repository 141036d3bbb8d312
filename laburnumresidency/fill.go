package laburnumresidency

import "slices"

// minFillWork is the least work of a copy in free memory, as a share of an engine's. Rarely used
// copies would have to be evicted again.
const minFillWork = 0.05

// fill loads copies into free memory while nothing else is loading.
//
// Load pattern: demand moves to another model faster than the weight store loads copies. Evicted
// copies stay in the engine's host memory and on its disk.
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
			p.load(e, m, "free room for what is asked for most", 0)
		}
	}
}

// fillCandidates lists the models for which another copy is useful. Before the first requests the
// number of initial copies stands for demand.
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

// fillWeight is the work per copy with another copy.
func (p *planner) fillWeight(m int) float64 {
	work := p.target.demand[m]
	if len(p.demand) == 0 {
		work = float64(p.copies[m] - 1)
	}
	return work / float64(p.copies[m]+1)
}

// bestFill returns the candidate with most weight that fits an engine, or nowhere.
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
