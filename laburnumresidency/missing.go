package laburnumresidency

import (
	"cmp"
	"slices"
)

const (
	congestedRequests = 80  // requests lost to a unit of congestion within demandTime
	reloadTime        = 8.0 // seconds until an evicted model is loaded elsewhere
	// outweighFactor is the least ratio of requests for which a missing model evicts a last
	// copy, so that two with similar demand do not evict each other in turns.
	outweighFactor = 3
	minRequestRate = 0.1 // requests per second assumed of a model without any
)

// placeMissing places the models that no engine holds, those with most requests first.
//
// Load pattern: an engine with the only copy of a busy model fails. All requests for the model are
// refused until it is loaded elsewhere, so the cost of a placement is the number of requests
// refused meanwhile. Copies held twice are evicted first, then the last copy of a model with far
// fewer requests. A model without requests takes free memory only.
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

// cheapestRestore finds the engine with the lowest cost for a missing model.
func (p *planner) cheapestRestore(m int) (change, bool) {
	return bestOf(p.target.byWork, func(e int) (change, bool) { return p.evaluateRestore(e, m) })
}

// evaluateRestore evaluates a load of a missing model. The gain is its cost in requests, negative.
func (p *planner) evaluateRestore(e, m int) (change, bool) {
	c := change{engine: e, model: m, evictions: p.evictions[:0]}
	seconds := p.loadTime(e, m)
	lost := 0.0
	need := p.target.used[e] + p.target.size[m] - p.class.WeightsMB
	if need > 0 && (p.quiet[m] || need > p.evictableSize(e, m)) {
		return c, false
	}
	for _, v := range p.evictionOrder(e, need) {
		if need <= 0 {
			break
		}
		if !p.isSpare(v) && !p.outweighs(m, v) {
			continue
		}
		if p.target.copies(v) == 1 || !p.isSpare(v) {
			lost += p.effectiveRate(v) * reloadTime
		}
		seconds += p.unloadSeconds(v)
		need -= p.target.size[v]
		c.evictions = append(c.evictions, eviction{model: v, to: none})
	}
	p.evictions = c.evictions
	c.gain = congestedRequests*(p.target.relief(c)-p.adapterBlockCost(e, m)) - lost - p.effectiveRate(m)*seconds
	return c, true
}

// evictableSize is the memory at an engine that a missing model may take, in MB.
func (p *planner) evictableSize(e, m int) float64 {
	total := 0.0
	for _, v := range p.target.models[e] {
		if p.isSpare(v) || p.outweighs(m, v) {
			total += p.target.size[v]
		}
	}
	return total
}

// isSpare tells whether another ready copy is left, or the model has no requests.
func (p *planner) isSpare(v int) bool {
	return p.target.copies(v) > 1 && p.ready[v] >= 2 || p.quiet[v]
}

// outweighs tells whether a missing model may evict the last copy of another.
func (p *planner) outweighs(m, v int) bool {
	return p.rates[m] > outweighFactor*p.rates[v]
}

func (p *planner) effectiveRate(m int) float64 { return max(minRequestRate, p.rates[m]) }
