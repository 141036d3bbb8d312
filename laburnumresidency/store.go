package laburnumresidency

import "laburnumlever"

// storeShare is the share of the weight store's capacity for concurrent loads that is used. More
// loads would slow down the urgent ones.
const storeShare = 0.9

// limitStoreLoads returns the steps without the loads that exceed the capacity of the weight store.
func (p *planner) limitStoreLoads() []Step {
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

// storeSlots is the number of concurrent loads that the weight store has capacity for.
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

// storeLoads counts the loads in progress from the weight store.
func (p *planner) storeLoads() int {
	n := 0
	for _, engine := range p.engines {
		if engine.loadsFromStore() {
			n++
		}
	}
	return n
}
