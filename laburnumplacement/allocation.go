package laburnumplacement

import (
	"cmp"
	"slices"
)

const (
	// maxUtilization is the utilization up to which an engine meets its latency targets. Above it,
	// queueing delay grows faster than throughput.
	maxUtilization = 0.85
	// allocationSteps is the number of equal steps in which demand is assigned to engines. Several
	// steps give models that share engines a fair part of them.
	allocationSteps = 4
)

// utilization returns the fraction of the engine's capacity that the rates use.
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

// allocate distributes the current demand over the copies, as least-load routing would, and records
// the demand that they cannot serve in model.unmet.
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

// modelsByDemand returns the indexes of all models, highest peak demand first.
func (f *fleet) modelsByDemand() []int {
	models := make([]int, len(f.models))
	for i := range models {
		models[i] = i
	}
	slices.SortStableFunc(models, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(f.models[b].demand.Peak.Requests, f.models[a].demand.Peak.Requests),
			cmp.Compare(f.models[a].Name, f.models[b].Name))
	})
	return models
}

// modelsByCopies returns the indexes of all models, fewest copies first, so that models without a
// choice of engines are allocated before those with one.
func (f *fleet) modelsByCopies() []int {
	models := f.modelsByDemand()
	slices.SortStableFunc(models, func(a, b int) int {
		return cmp.Compare(len(f.models[a].copies), len(f.models[b].copies))
	})
	return models
}

// distribute assigns a share of a model's demand to its copies in proportion to their spare
// capacity. It returns the share that is left over.
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

// spareCapacity returns the share of the model's demand that the copy's engine can still serve.
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
