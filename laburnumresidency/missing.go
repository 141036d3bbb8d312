package laburnumresidency

import (
	"cmp"
	"slices"
)

const (
	congestedRequests = 80  // requests that one unit of congestion costs within demandDuration
	reloadTime        = 8.0 // time until an evicted model is loaded elsewhere, in seconds
	// outweighFactor is the least ratio of request rates for which a missing model evicts a last
	// copy. It keeps two models with similar demand from evicting each other in turns.
	outweighFactor = 3
	minRequestRate = 0.1 // requests per second assumed for a model without requests
)

// placeMissing places the models that no engine holds, in descending order of requests.
//
// Load pattern: an engine with the only copy of a busy model fails. All requests for the model are
// refused until it is loaded elsewhere, so the cost of a placement is the number of requests refused
// until then. Models with another copy are evicted first, then the last copy of a model with far
// fewer requests. A model without requests is placed in free memory only.
func (p *planner) placeMissing() {
	var missing []int
	for m := range p.class.Models {
		if p.target.copies(m) == 0 {
			missing = append(missing, m)
		}
	}
	slices.SortStableFunc(missing, func(a, b int) int { return cmp.Compare(p.rates[b], p.rates[a]) })
	for _, m := range missing {
		if c, ok := p.cheapestRestore(m); ok {
			p.target.apply(c)
			p.restoring[c.engine] = m
		}
	}
}

// cheapestRestore finds the engine on which a missing model costs least.
func (p *planner) cheapestRestore(m int) (change, bool) {
	return bestOf(p.target.byWork, func(e int) (change, bool) { return p.evaluateRestore(e, m) })
}

// evaluateRestore evaluates the load of a missing model on an engine. The gain is counted in
// requests: minus the refused ones, plus those that the change in congestion is worth.
func (p *planner) evaluateRestore(e, m int) (change, bool) {
	c := change{engine: e, model: m, evictions: p.evictions[:0]}
	if !p.mayUnloadAllUnlisted(e, m) {
		return c, false
	}
	seconds := p.loadTime(e, m) + p.unlistedSeconds(e)
	lost := 0.0
	shortfall := p.target.used[e] + p.target.size[m] - p.class.WeightsMB
	if shortfall > 0 && (p.quiet[m] || shortfall > p.evictableSize(e, m)) {
		return c, false
	}
	for _, v := range p.evictionOrder(e, shortfall) {
		if shortfall <= 0 {
			break
		}
		if !p.isSpare(v) && !p.outweighs(m, v) {
			continue
		}
		if p.target.copies(v) == 1 || !p.isSpare(v) {
			lost += float64(p.effectiveRate(v) * reloadTime)
		}
		seconds += p.unloadSeconds(v)
		shortfall -= p.target.size[v]
		c.evictions = append(c.evictions, eviction{model: v, to: none})
	}
	p.evictions = c.evictions
	c.gain = float64(congestedRequests*(p.target.relief(c)-p.adapterBlockCost(e, m))) - lost - float64(p.effectiveRate(m)*seconds)
	return c, true
}

// evictableSize is the memory on an engine that can be freed for a missing model, in MB.
func (p *planner) evictableSize(e, m int) float64 {
	total := 0.0
	for _, v := range p.target.models[e] {
		if p.isSpare(v) || p.outweighs(m, v) {
			total += p.target.size[v]
		}
	}
	return total
}

// isSpare tells whether a copy may be evicted: another ready one remains, or the model has no recent
// requests.
func (p *planner) isSpare(v int) bool {
	return p.target.copies(v) > 1 && p.ready[v] >= 2 || p.quiet[v]
}

// outweighs tells whether a missing model may evict the last copy of another.
func (p *planner) outweighs(m, v int) bool {
	return p.rates[m] > outweighFactor*p.rates[v]
}

func (p *planner) effectiveRate(m int) float64 { return max(minRequestRate, p.rates[m]) }
