package laburnumresidency

import (
	"cmp"
	"slices"
)

const (
	// congestedRequests is how many requests a unit of congestion costs while demand stays:
	// an engine with twice its work gives some twenty callers a second an answer that
	// is late, for demandTime, and a late answer is worth a third.
	congestedRequests = 80
	// returnTime is how many seconds a model is away whose last copy is evicted: the
	// time of an unload and a load elsewhere.
	returnTime = 8.0
	// outweighFactor is by how much more a model must be asked for than another whose
	// last copy is evicted for it, so that two with like demand don't take turns.
	outweighFactor = 3
	// leastAsked stands for the requests a second of a model that nobody asked for
	// lately: it has to be there when somebody does.
	leastAsked = 0.1
)

// placeMissing finds engines for the models that none holds, the most wanted first.
//
// The load it answers: an engine dies, leaves or is cut off, and with it the only copy of
// the model that most callers ask for. Each second until it is back costs all of these
// callers, so what counts is the time, in requests that are refused meanwhile. Copies that
// other engines have too are evicted first; where there are none, the last copy of a model
// that few ask for is, and comes back after it. To relocate that one first would have
// most callers wait for two loads in a row.
//
// A model that nobody asks for is left without a copy where there is no free room: it is back
// from an engine's host memory or disk within a second once somebody does.
func (p *planner) placeMissing() {
	var missing []int
	for m := range p.class.Models {
		if p.target.copies(m) == 0 {
			missing = append(missing, m)
		}
	}
	slices.SortStableFunc(missing, func(a, b int) int { return cmp.Compare(p.asked[b], p.asked[a]) })
	for _, m := range missing {
		if c, ok := p.cheapest(m); ok {
			p.target.apply(c)
			p.rescues[c.engine] = m
		}
	}
}

// cheapest finds the engine where a missing model costs the fewest requests.
func (p *planner) cheapest(m int) (change, bool) {
	return bestOf(p.target.ranked, func(e int) (change, bool) { return p.restore(e, m) })
}

// restore works out what it costs to bring a missing model to an engine; the gain is that
// cost, negative, in requests.
func (p *planner) restore(e, m int) (change, bool) {
	c := change{engine: e, model: m, evictions: p.evictions[:0]}
	seconds := p.loadTime(e, m)
	lost := 0.0
	need := p.target.used[e] + p.target.size[m] - p.class.WeightsMB
	if need > 0 && (p.quiet[m] || need > p.evictable(e, m)) {
		return c, false // a model that nobody asks for takes free room only
	}
	for _, v := range p.leastUseful(e, need) {
		if need <= 0 {
			break
		}
		if !p.spare(v) && !p.outweighs(m, v) {
			continue
		}
		if p.target.copies(v) == 1 || !p.spare(v) {
			lost += p.askedAtLeast(v) * returnTime
		}
		seconds += p.unloadSeconds(v)
		need -= p.target.size[v]
		c.evictions = append(c.evictions, eviction{model: v, to: nowhere})
	}
	p.evictions = c.evictions
	c.gain = congestedRequests*(p.target.relief(c)-p.blockCost(e, m)) - lost - p.askedAtLeast(m)*seconds
	return c, true
}

// evictable is the memory at an engine that a missing model may take from others.
func (p *planner) evictable(e, m int) float64 {
	total := 0.0
	for _, v := range p.target.models[e] {
		if p.spare(v) || p.outweighs(m, v) {
			total += p.target.size[v]
		}
	}
	return total
}

// spare tells whether a copy of a model can be missed: another ready one is left, or nobody asks
// for it.
func (p *planner) spare(v int) bool {
	return p.target.copies(v) > 1 && p.ready[v] >= 2 || p.quiet[v]
}

// outweighs tells whether the last copy of one model may be evicted for another that no
// engine holds.
func (p *planner) outweighs(m, v int) bool {
	return p.asked[m] > outweighFactor*p.asked[v]
}

func (p *planner) askedAtLeast(m int) float64 { return max(leastAsked, p.asked[m]) }
