package laburnumresidency

import (
	"cmp"
	"slices"
)

const (
	// Limits of a round. More changes would be outdated before the engines complete them, and busier
	// engines would not be chosen.
	maxChanges          = 12
	maxCandidateModels  = 12 // those with most work per copy
	maxCandidateEngines = 24 // those with least work

	// Least gain of a change, in congestion. Demand is sampled once per second, and with a lower
	// threshold its noise alone would evict copies in use.
	minGain      = 0.4  // for a change that evicts copies in use
	minSpareGain = 0.05 // for other changes

	// Costs, in congestion.
	loadCost       = 0.02  // of a load
	relocateCost   = 0.4   // of relocating a last copy, which blocks two engines
	lastCopyCost   = 0.02  // of evicting a last copy, as the next request waits for a load
	adapterWeight  = 0.002 // of an adapter in use, per second in which its engine loads a model
	shortageWeight = 0.05  // of an adapter in use without a slot
	riskWeight     = 0.2   // of a single copy of a model that gets all requests

	// absentTime is the time until a displaced model is given memory again, in seconds.
	absentTime = 80.0
	// displaceFactor is the ratio of request rates above which a busy model displaces a last copy.
	displaceFactor = 10
	// demandDuration is the time for which demand for a model lasts, in seconds. A change that takes
	// as long gains nothing.
	demandDuration = 12.0

	// Durations in seconds. A busy copy finishes its answers before it unloads: busyUnloadTime is
	// added in full from busyWork, and in proportion below it.
	unloadTime     = 0.4 // including the notice to gateways before it
	busyUnloadTime = 3.0
	busyWork       = 0.1
	unknownWait    = 3.0 // for an order in progress of unknown duration

	evictShare     = 0.3  // most work of an evicted copy, as a share of the new copy's
	negligibleWork = 0.02 // as a share of an engine's capacity
)

// rebalance adds copies, best change first, until no change reaches its least gain.
func (p *planner) rebalance() {
	for range maxChanges {
		var best change
		for _, m := range p.candidateModels() {
			if c, ok := p.bestCopy(m); ok && c.gain >= p.leastGain(c) && c.gain > best.gain {
				best = c
			}
		}
		if best.gain == 0 {
			return
		}
		for _, v := range best.evictions {
			p.displaced[v.model] = p.displaced[v.model] || p.displaces(v)
		}
		p.target.apply(best)
		p.relocating = p.relocating || best.relocates()
	}
}

// leastGain is the least gain for which a change is made.
func (p *planner) leastGain(c change) float64 {
	for _, v := range c.evictions {
		if !p.quiet[v.model] {
			return p.policy.minGain
		}
	}
	return min(minSpareGain, p.policy.minGain)
}

// candidateModels lists the models for which another copy may help: those with most work per copy,
// or most adapters without a slot.
func (p *planner) candidateModels() []int {
	type weighted struct {
		model  int
		weight float64
	}
	var list []weighted
	for m := range p.class.Models {
		if p.target.copies(m) == 0 {
			continue
		}
		work, shortage := p.target.workPerCopy(m), p.target.slotShortage(m)
		if work > negligibleWork || shortage > 0 {
			list = append(list, weighted{model: m, weight: work + float64(shortageWeight*shortage)})
		}
	}
	slices.SortStableFunc(list, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	var models []int
	for _, w := range list[:min(len(list), maxCandidateModels)] {
		models = append(models, w.model)
	}
	return models
}

// bestCopy finds the engine on which another copy of a model gains most, among those with least work.
func (p *planner) bestCopy(m int) (change, bool) {
	engines := make([]int, 0, maxCandidateEngines)
	for _, e := range p.target.byWork {
		if len(engines) == maxCandidateEngines {
			break
		}
		if !p.target.holds(e, m) {
			engines = append(engines, e)
		}
	}
	return bestOf(engines, func(e int) (change, bool) { return p.evaluateCopy(e, m) })
}

// evaluateCopy evaluates another copy of a model on an engine, with the evictions and relocations it
// needs. The gain decreases with the delay, as demand may have moved by then.
func (p *planner) evaluateCopy(e, m int) (change, bool) {
	c := change{engine: e, model: m, evictions: p.evictions[:0]}
	if !p.mayUnloadAllUnlisted(e, m) {
		return c, false
	}
	delay := p.loadTime(e, m) + p.unlistedSeconds(e)
	loads := 1
	shortfall := p.target.used[e] + p.target.size[m] - p.class.WeightsMB
	for _, v := range p.evictionOrder(e, shortfall) {
		if shortfall <= 0 {
			break
		}
		evicted, ok := p.planEviction(e, v, m, c)
		if !ok {
			continue
		}
		if evicted.to != none {
			delay += p.loadTime(evicted.to, v)
			loads++
		}
		delay += p.unloadSeconds(v)
		shortfall -= p.target.size[v]
		c.evictions = append(c.evictions, evicted)
	}
	p.evictions = c.evictions
	if shortfall > 0 {
		return c, false
	}
	c.gain = float64((p.target.relief(c)+p.singleCopyRisk(m))*max(0, 1-delay/demandDuration)) -
		float64(loadCost*float64(loads)) - p.adapterBlockCost(e, m)
	if c.relocates() {
		c.gain -= relocateCost
	}
	c.gain -= p.displacementCost(c)
	return c, true
}

// displaces tells whether an eviction removes a model's last copy.
func (p *planner) displaces(v eviction) bool {
	return v.to == none && p.target.copies(v.model) == 1
}

// displacementCost is the cost of the requests for models that a change leaves without a copy.
func (p *planner) displacementCost(c change) float64 {
	cost := 0.0
	for _, v := range c.evictions {
		if p.displaces(v) {
			cost += lastCopyCost + p.rates[v.model]*absentTime/congestedRequests
		}
	}
	return cost
}

// singleCopyRisk is the cost of the risk that the engine with a model's only copy fails: all requests
// for the model are refused until another engine has loaded it.
func (p *planner) singleCopyRisk(m int) float64 {
	if p.target.copies(m) != 1 || p.totalRate == 0 {
		return 0
	}
	return riskWeight * p.rates[m] / p.totalRate
}

// planEviction returns the eviction of model v from engine e in favour of model m, and whether it is
// allowed. A last copy with requests is relocated if another engine has memory for it, else
// displaced if the policy allows that.
func (p *planner) planEviction(e, v, m int, c change) (eviction, bool) {
	evicted := eviction{model: v, to: none}
	if slices.Contains(p.engines[e].RecentlyLoaded, p.class.Models[v].Name) {
		return evicted, false
	}
	// Without this limit, models with similar work would evict each other in turns.
	if newCopy := p.target.demand[m] / float64(p.target.copies(m)+1); p.target.workPerCopy(v) > p.policy.evictShare*newCopy {
		return evicted, false
	}
	if p.target.copies(v) > 1 {
		return evicted, true
	}
	if p.quiet[v] {
		return evicted, true
	}
	// Only one relocation at a time: orders in progress count as complete, so more relocations
	// would be planned on top of an unfinished one.
	if to := p.relocationTarget(v, e, c); to != none {
		evicted.to = to
		return evicted, p.copies[v] == 1 && !p.relocating
	}
	return evicted, p.policy.displaces && p.target.workPerCopy(m) > overloadWork && p.rates[m] > displaceFactor*p.rates[v]
}

// relocationTarget finds the least busy idle engine with memory for a model, or none.
func (p *planner) relocationTarget(m, except int, c change) int {
	for _, e := range p.target.byWork {
		if e != except && p.engines[e].Idle && len(p.unlisted[e]) == 0 && !p.target.holds(e, m) &&
			p.target.used[e]+p.target.size[m]+c.relocatedSize(p.target, e) <= p.class.WeightsMB {
			return e
		}
	}
	return none
}
