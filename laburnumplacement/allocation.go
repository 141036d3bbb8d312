package laburnumplacement

import (
	"cmp"
	"slices"
)

const (
	// maxUtilization is how busy an engine may be and still meet its targets: above
	// it, queueing delay grows faster than the work done.
	maxUtilization = 0.85
	// allocationSteps is in how many equal steps the demand is laid on the engines, so that
	// models that share engines each get their part of them.
	allocationSteps = 4
)

// utilization is the busy share of an engine that the rates take.
func (r Rates) utilization(e *engine) float64 {
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
	order := f.modelsByCopies()
	for i := range f.engines {
		f.engines[i].utilization = 0
	}
	for m := range f.models {
		f.models[m].unmet = 0
		for _, p := range f.models[m].copies {
			p.demandShare = 0
		}
	}
	for step := range allocationSteps {
		for _, m := range order {
			mod := &f.models[m]
			mod.unmet = f.distribute(m, mod.unmet+1.0/allocationSteps)
			if step == allocationSteps-1 && mod.demand.Now.Requests == 0 {
				mod.unmet = 0
			}
		}
	}
}

func (f *fleet) modelsByDemand() []int {
	models := make([]int, len(f.models))
	for i := range models {
		models[i] = i
	}
	slices.SortStableFunc(models, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(f.models[b].demand.Hold.Requests, f.models[a].demand.Hold.Requests),
			cmp.Compare(f.models[a].Name, f.models[b].Name))
	})
	return models
}

// modelsByCopies lets models with no choice of engine go before those with.
func (f *fleet) modelsByCopies() []int {
	models := f.modelsByDemand()
	slices.SortStableFunc(models, func(a, b int) int {
		return cmp.Compare(len(f.models[a].copies), len(f.models[b].copies))
	})
	return models
}

// distribute lays a share of a model's demand on its copies by their spare room and
// returns what is left over.
func (f *fleet) distribute(m int, amount float64) float64 {
	mod := &f.models[m]
	spare := 0.0
	for _, p := range mod.copies {
		spare += f.spareCapacity(p)
	}
	if spare <= 0 {
		return amount
	}
	fraction := min(1, amount/spare)
	for _, p := range mod.copies {
		share := f.spareCapacity(p) * fraction
		e := &f.engines[p.engine]
		p.demandShare += share
		e.utilization += share * mod.demand.Now.utilization(e)
	}
	return max(0, amount-spare)
}

// spareCapacity is the share of the model's demand that the copy's engine has room for.
func (f *fleet) spareCapacity(p *placement) float64 {
	if !f.active(p) {
		return 0
	}
	e := &f.engines[p.engine]
	utilization := f.models[p.model].demand.Now.utilization(e)
	if utilization <= 0 {
		return 1
	}
	return max(0, maxUtilization-e.utilization) / utilization
}
