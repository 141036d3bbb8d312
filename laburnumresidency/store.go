package laburnumresidency

import "laburnumlever"

// storeShare is the part of the store's capacity for concurrent loads that is used. Loads beyond
// it slow down the urgent ones.
const storeShare = 0.9

// limitStoreLoads drops the loads that exceed the capacity of the weight store.
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

// storeSlots is the number of concurrent loads from the store.
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

// storeLoads counts the loads from the store in progress.
func (p *planner) storeLoads() int {
	n := 0
	for e, engine := range p.engines {
		if m := p.indexOf(engine.Loading); m != none && p.fromStore(e, m) {
			n++
		}
	}
	return n
}
