package laburnumresidency

import "laburnumlever"

// storeShare of the loads that keep the store's rate busy are under way at once. Each load beyond
// takes as much time from the others as it saves, and the most urgent wait for the least.
const storeShare = 0.9

// withinStore returns the steps, without the loads from the weight store for which it has no time.
func (p *planner) withinStore() []Step {
	steps := make([]Step, 0, len(p.steps))
	left := p.storeSlots() - p.storeLoads()
	for _, s := range p.steps {
		if s.Kind == laburnumlever.Load && s.FromStore {
			if left <= 0 {
				continue
			}
			left--
		}
		steps = append(steps, s.Step)
	}
	return steps
}

// storeSlots is how many loads from the store are best under way at once.
func (p *planner) storeSlots() int {
	if p.class.LoadsPerSecond <= 0 {
		return len(p.engines)
	}
	total := 0.0
	for _, m := range p.class.Models {
		total += seconds(m.StoreLoad)
	}
	mean := total / float64(max(1, len(p.class.Models)))
	return max(1, int(storeShare*p.class.LoadsPerSecond*mean))
}

// storeLoads counts those under way.
func (p *planner) storeLoads() int {
	n := 0
	for e, engine := range p.engines {
		if m := p.find(engine.Loading); m != nowhere && p.fromStore(e, m) {
			n++
		}
	}
	return n
}
