package laburnumresidency

import (
	"cmp"
	"slices"
)

const (
	// crowdRequests is how many requests a unit of crowding costs while demand stays:
	// an engine with twice its work gives some twenty callers a second an answer that
	// is late, for demandTime, and a late answer is worth a third.
	crowdRequests = 80
	// returnTime is how many seconds a model is away whose last copy gives way: the
	// time of an unload and a load elsewhere.
	returnTime = 8.0
	// outweighFactor is by how much more a model must be asked for than another whose
	// last copy gives way for it, so that two with like demand don't take turns.
	outweighFactor = 3
	// leastAsked stands for the requests a second of a model that nobody asked for
	// lately: it has to be there when somebody does.
	leastAsked = 0.1
)

// placeMissing finds places for the models that no engine holds, the most wanted first.
//
// The load it answers: an engine dies, leaves or is cut off, and with it the only copy of
// the model that most callers ask for. Each second until it is back costs all of these
// callers, so what counts is the time, in requests that are refused meanwhile. Copies that
// other engines have too give way first; where there are none, the last copy of a model
// that few ask for does, and comes back after it. To move that one aside first would have
// most callers wait for two loads in a row.
func (p *planner) placeMissing() {
	var missing []int
	for m := range p.class.Models {
		if p.target.copies[m] == 0 {
			missing = append(missing, m)
		}
	}
	slices.SortStableFunc(missing, func(a, b int) int { return cmp.Compare(p.asked[b], p.asked[a]) })
	for _, m := range missing {
		if c, ok := p.cheapest(m); ok {
			c.apply(p.target)
			p.rescues[c.engine] = m
		}
	}
}

// cheapest finds the engine where a missing model costs the fewest requests.
func (p *planner) cheapest(m int) (change, bool) {
	return bestOf(p.target.easiest(len(p.engines), m), func(e int) (change, bool) { return p.bring(e, m) })
}

// bring works out what it costs to bring a missing model to an engine; the gain is that
// cost, negative, in requests.
func (p *planner) bring(e, m int) (change, bool) {
	c := change{engine: e, model: m}
	seconds := p.loadTime(e, m)
	lost := 0.0
	need := p.target.used[e] + p.target.size[m] - p.class.WeightsMB
	for _, v := range p.leastUseful(e) {
		if need <= 0 {
			break
		}
		if p.target.copies[v] == 1 || p.ready(v) < 2 {
			if !p.outweighs(m, v) {
				continue
			}
			lost += p.askedAtLeast(v) * returnTime
		}
		seconds += p.unloadSeconds(v)
		need -= p.target.size[v]
		c.gives = append(c.gives, giveWay{model: v, to: nowhere})
	}
	if need > 0 {
		return c, false
	}
	c.gain = crowdRequests*(p.target.relief(c)-p.blockPrice(e, m)) - lost - p.askedAtLeast(m)*seconds
	return c, true
}

// outweighs tells whether the last copy of one model may give way for another that no
// engine holds.
func (p *planner) outweighs(m, v int) bool {
	return p.asked[m] > outweighFactor*p.asked[v]
}

func (p *planner) askedAtLeast(m int) float64 { return max(leastAsked, p.asked[m]) }
