package laburnumresidency

import "slices"

// fillWork is the least work, as a share of an engine's, that a copy in free room must have:
// a load keeps the engine from adapters, and room that rarely asked models fill has to be
// made again for one that is asked for.
const fillWork = 0.05

// fill gives room that is free to one more copy of the models likeliest to need it, while
// there is nothing else to do.
//
// The load it answers: demand moves to another model within seconds, and the weight store
// loads one or two a second. Loaded while the store is idle, copies are there when demand
// comes, and what is evicted again stays at hand in the engine's memory and on its disk.
func (p *planner) fill() {
	candidates := p.fillCandidates()
	if len(candidates) == 0 {
		return
	}
	for e, engine := range p.engines {
		if !engine.Idle {
			continue
		}
		if m := p.likeliest(e, candidates); m != nowhere {
			p.copies[m]++
			p.load(e, m, "free room for what is asked for most", 0)
		}
	}
}

// fillCandidates are the models that one more copy may be worth having of. Before anybody has
// asked, copies beyond the first count: whoever placed them knew what is wanted.
func (p *planner) fillCandidates() []int {
	var list []int
	for m := range p.class.Models {
		if p.fillWeight(m) > p.fillLeast() {
			list = append(list, m)
		}
	}
	return list
}

func (p *planner) fillLeast() float64 {
	if len(p.demand) == 0 {
		return 0
	}
	return fillWork
}

// fillWeight is the work of each copy of a model, one more counted.
func (p *planner) fillWeight(m int) float64 {
	work := p.target.demand[m]
	if len(p.demand) == 0 {
		work = float64(p.copies[m] - 1)
	}
	return work / float64(p.copies[m]+1)
}

// likeliest is the model with most weight of those that an engine has room for; nowhere if
// none has enough.
func (p *planner) likeliest(e int, candidates []int) int {
	best, most := nowhere, p.fillLeast()
	used := p.usedNow(e)
	for _, m := range candidates {
		if w := p.fillWeight(m); w > most && used+p.target.size[m] <= p.class.WeightsMB && !slices.Contains(p.heldBy[e], m) {
			best, most = m, w
		}
	}
	return best
}
