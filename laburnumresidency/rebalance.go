package laburnumresidency

import (
	"cmp"
	"slices"
)

const (
	// maxChanges bounds the changes of one round: more would be out of date before
	// the engines had carried them out.
	maxChanges = 12
	// consideredModels bounds the models that may get another copy in a round, those
	// with most work a copy first.
	consideredModels = 12
	// consideredEngines bounds the engines that a copy may come to, those with least
	// work first: the others would not be chosen.
	consideredEngines = 24
	// minGain is by how much the congestion must fall, beyond the cost, for a change that
	// evicts copies that callers ask for: demand is told as it was in a second, and what that
	// second had by chance makes gains below it. easyGain is the same for a change that evicts
	// none.
	minGain  = 0.4
	easyGain = 0.05
	// loadCost is what a load costs in itself, in congestion.
	loadCost = 0.02
	// relocateCost is what it costs in congestion to relocate a model: two engines take
	// no other order for long, so it pays only where engines are overloaded.
	relocateCost = 0.4
	// parkCost is what it costs in congestion that the last copy of a model leaves that nobody
	// asks for: the next caller waits for a load.
	parkCost = 0.02
	// absentTime is how many seconds a model is taken to be away whose last copy is evicted for
	// a busy one: its callers have nowhere else to go, and it waits for room.
	absentTime = 80.0
	// displaceFactor is by how much more an overloaded model must be asked for than another
	// whose last copy is evicted for it: one that callers begin to turn to stays.
	displaceFactor = 10
	// demandTime is how many seconds demand stays where it is, as a rule: what is
	// done after that is done in vain.
	demandTime = 12.0
	// unloadTime is how many seconds an unload takes with the notice to the gateways
	// before it, busyUnloadTime how many more when a copy with busyWork or more has
	// to finish its answers first.
	unloadTime     = 0.4
	busyUnloadTime = 3.0
	busyWork       = 0.1
	// busyWait is how many seconds an engine with an order under way needs for it
	// where that is not known.
	busyWait = 3.0
	// riskWeight is the congestion that it counts for when a model that all callers ask
	// for has one copy only: an engine lost now and then, and seconds to load another.
	riskWeight = 0.2
	// adapterWeight is the congestion that an adapter in use makes for each second in
	// which its engine loads a model and takes no other adapter.
	adapterWeight = 0.002
	// shortageWeight is the congestion that an adapter in use without a slot makes:
	// its callers wait while adapters evict each other.
	shortageWeight = 0.05
	// evictShare of the work that a new copy will have is the most that a copy may
	// have which is evicted for it.
	evictShare = 0.3
	// idleShare of an engine's work is as good as none.
	idleShare = 0.02
)

// rebalance gives models one more copy each as long as that eases the engines by more than
// it costs.
func (p *planner) rebalance() {
	for range maxChanges {
		var best change
		for _, m := range p.considered() {
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

// leastGain is the gain from which a change is made.
func (p *planner) leastGain(c change) float64 {
	for _, v := range c.evictions {
		if !p.quiet[v.model] {
			return p.policy.minGain
		}
	}
	return min(easyGain, p.policy.minGain)
}

// considered lists the models with most work, or most adapters without a slot, a copy.
func (p *planner) considered() []int {
	type weighted struct {
		model  int
		weight float64
	}
	var list []weighted
	for m := range p.class.Models {
		if p.target.copies(m) == 0 {
			continue
		}
		share, shortage := p.target.share(m), p.target.shortage(m)
		if share > idleShare || shortage > 0 {
			list = append(list, weighted{model: m, weight: share + shortageWeight*shortage})
		}
	}
	slices.SortStableFunc(list, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	var models []int
	for _, w := range list[:min(len(list), consideredModels)] {
		models = append(models, w.model)
	}
	return models
}

// bestCopy finds the engine where one more copy of the model eases most, among those with
// least work.
func (p *planner) bestCopy(m int) (change, bool) {
	engines := make([]int, 0, consideredEngines)
	for _, e := range p.target.ranked {
		if len(engines) == consideredEngines {
			break
		}
		if !p.target.holds(e, m) {
			engines = append(engines, e)
		}
	}
	return bestOf(engines, func(e int) (change, bool) { return p.addCopy(e, m) })
}

// addCopy works out what a copy at an engine brings, what is evicted for it, and where
// the last copy of what is evicted can go. What comes late is worth less: demand has
// moved on by then.
func (p *planner) addCopy(e, m int) (change, bool) {
	c := change{engine: e, model: m, evictions: p.evictions[:0]}
	delay := p.loadTime(e, m)
	loads := 1
	need := p.target.used[e] + p.target.size[m] - p.class.WeightsMB
	for _, v := range p.leastUseful(e, need) {
		if need <= 0 {
			break
		}
		evicted, ok := p.evict(e, v, m, c)
		if !ok {
			continue
		}
		if evicted.to != nowhere {
			delay += p.loadTime(evicted.to, v)
			loads++
		}
		delay += p.unloadSeconds(v)
		need -= p.target.size[v]
		c.evictions = append(c.evictions, evicted)
	}
	p.evictions = c.evictions
	if need > 0 {
		return c, false
	}
	c.gain = (p.target.relief(c)+p.risk(m))*max(0, 1-delay/demandTime) -
		loadCost*float64(loads) - p.blockCost(e, m)
	if c.relocates() {
		c.gain -= relocateCost
	}
	c.gain -= p.displacementCost(c)
	return c, true
}

// displaces tells whether an eviction leaves a model without a copy.
func (p *planner) displaces(v eviction) bool {
	return v.to == nowhere && p.target.copies(v.model) == 1
}

// displacementCost is what it costs that a change leaves models without a copy, until they are
// back at another engine.
func (p *planner) displacementCost(c change) float64 {
	cost := 0.0
	for _, v := range c.evictions {
		if p.displaces(v) {
			cost += parkCost + p.asked[v.model]*absentTime/congestedRequests
		}
	}
	return cost
}

// risk is what it costs that a model has one copy only: when its engine is lost, all who
// ask for it are refused until another has loaded it.
func (p *planner) risk(m int) float64 {
	if p.target.copies(m) != 1 || p.total == 0 {
		return 0
	}
	return riskWeight * p.asked[m] / p.total
}

// evict tells whether a model may leave an engine for another, and where its last copy
// goes.
func (p *planner) evict(e, v, m int, c change) (eviction, bool) {
	evicted := eviction{model: v, to: nowhere}
	if slices.Contains(p.engines[e].Young, p.class.Models[v].Name) {
		return evicted, false
	}
	// Two models with like work would push each other out in turns, as one or the
	// other has a little more.
	if coming := p.target.demand[m] / float64(p.target.copies(m)+1); p.target.share(v) > p.policy.evictShare*coming {
		return evicted, false
	}
	if p.target.copies(v) > 1 {
		return evicted, true
	}
	if p.quiet[v] {
		return evicted, true
	}
	// One model is relocated at a time, and only while it has one copy: those on their
	// way count as done, and others would be sent after them.
	if to := p.roomElsewhere(v, e, c); to != nowhere {
		evicted.to = to
		return evicted, p.copies[v] == 1 && !p.relocating
	}
	return evicted, p.policy.displaces && p.target.share(m) > overloadWork && p.asked[m] > displaceFactor*p.asked[v]
}

// roomElsewhere finds the engine with room for a model that has to leave another, that with
// least work.
func (p *planner) roomElsewhere(m, not int, c change) int {
	for _, e := range p.target.ranked {
		if e != not && p.engines[e].Idle && !p.target.holds(e, m) &&
			p.target.used[e]+p.target.size[m]+c.sizeAt(p.target, e) <= p.class.WeightsMB {
			return e
		}
	}
	return nowhere
}
