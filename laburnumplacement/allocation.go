package laburnumplacement

import (
	"cmp"
	"slices"
)

const (
	// usableShare is how busy an engine may be and still meet its targets: above
	// it, queueing delay grows faster than the work done.
	usableShare = 0.85
	// fillSteps is in how many equal steps the demand is laid on the engines, so that
	// models that share engines each get their part of them.
	fillSteps = 4
)

// cost is the busy share of an engine that the rates take.
func (r Rates) cost(e *engine) float64 {
	total := 0.0
	if e.TokensPerSecond > 0 {
		total += r.AnswerTokens / e.TokensPerSecond
	}
	if e.PrefillTokensPerSecond > 0 {
		total += r.PromptTokens / e.PrefillTokensPerSecond
	}
	return total
}

// allocate lays the demand of now on the copies, as routing by least load would, and
// notes what they can't carry.
func (f *fleet) allocate() {
	order := f.fewestCopiesFirst()
	for i := range f.engines {
		f.engines[i].load = 0
	}
	for m := range f.models {
		f.models[m].unmet = 0
		for _, p := range f.models[m].copies {
			p.share = 0
		}
	}
	for step := range fillSteps {
		for _, m := range order {
			mod := &f.models[m]
			mod.unmet = f.pour(m, mod.unmet+1.0/fillSteps)
			if step == fillSteps-1 && mod.demand.Now.Requests == 0 {
				mod.unmet = 0
			}
		}
	}
}

func (f *fleet) byDemand() []int {
	list := make([]int, len(f.models))
	for i := range list {
		list[i] = i
	}
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(f.models[b].demand.Hold.Requests, f.models[a].demand.Hold.Requests),
			cmp.Compare(f.models[a].Name, f.models[b].Name))
	})
	return list
}

// fewestCopiesFirst lets models with no choice of engine go before those with.
func (f *fleet) fewestCopiesFirst() []int {
	list := f.byDemand()
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Compare(len(f.models[a].copies), len(f.models[b].copies))
	})
	return list
}

// pour lays a share of a model's demand on its copies by their spare room and
// returns what is left over.
func (f *fleet) pour(m int, amount float64) float64 {
	mod := &f.models[m]
	total := 0.0
	for _, p := range mod.copies {
		total += f.spareFor(p)
	}
	if total <= 0 {
		return amount
	}
	fill := min(1, amount/total)
	for _, p := range mod.copies {
		share := f.spareFor(p) * fill
		e := &f.engines[p.engine]
		p.share += share
		e.load += share * mod.demand.Now.cost(e)
	}
	return max(0, amount-total)
}

// spareFor is the share of the model's demand that the copy's engine has room for.
func (f *fleet) spareFor(p *placed) float64 {
	if !f.present(p) {
		return 0
	}
	e := &f.engines[p.engine]
	cost := f.models[p.model].demand.Now.cost(e)
	if cost <= 0 {
		return 1
	}
	return max(0, usableShare-e.load) / cost
}
