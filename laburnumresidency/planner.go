package laburnumresidency

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// planner holds one round: what the engines hold, and what they should. Engines and models
// go by their indices.
type planner struct {
	class   *laburnumlever.EngineClass
	policy  Policy
	engines []*Engine
	demand  Demand
	// requests are those asked for a second, by model; asked holds them by index.
	requests map[laburnumlever.ModelName]float64
	asked    []float64
	// quiet are the models that nobody has asked for lately.
	quiet []bool
	// total is that of all models; 0 where the rates are not known.
	total    float64
	adapters map[laburnumlever.ModelName]int
	target   *layout
	index    map[laburnumlever.ModelName]int
	// heldBy are the models that take memory at each engine, tiers where it has weights at
	// hand.
	heldBy [][]int
	tiers  []tier
	// copies counts those of each model at the start of the round, those on their way
	// included; ready counts those that take requests now.
	copies []int
	ready  []int
	// coming counts the copies on their way, those of this round's steps included.
	coming []int
	// relocating tells that a model with little work is on its way to another engine
	// to make room where it is.
	relocating bool
	// displaced are the models whose last copy is evicted for a busy one.
	displaced map[int]bool
	// rescues are the missing models that engines bring back.
	rescues map[int]int
	steps   []urgentStep
	// least and evictions are scratch space of one evaluation.
	least     []int
	evictions []eviction
}

// tier is the weights that an engine can load without the store.
type tier struct{ inMemory, onDisk []int }

// urgentStep is a step with the number of requests a second that wait for it.
type urgentStep struct {
	Step
	urgency float64
}

// Option changes a round.
type Option func(*planner)

// WithRequests tells how many requests a second callers make for each model, served or
// not. Without it they are taken to be as the work.
func WithRequests(rates map[laburnumlever.ModelName]float64) Option {
	return func(p *planner) {
		p.requests = rates
		for _, rate := range rates {
			p.total += rate
		}
	}
}

// WithQuiet tells which models nobody has asked for lately; without it all count as asked for.
// Where room is short they have no copy.
func WithQuiet(quiet map[laburnumlever.ModelName]bool) Option {
	return func(p *planner) {
		for m, model := range p.class.Models {
			p.quiet[m] = quiet[model.Name]
		}
	}
}

// Next names the next steps, at most one an engine, the most urgent first. Adapters
// counts those of each model that are in use.
//
// The whole of what the engines should hold is worked out anew each time, from what
// they hold now and with the price of each load. What is under way counts as done, so
// a change of several steps is found again until it is done, and demand that swings a
// little changes nothing.
func Next(class *laburnumlever.EngineClass, engines []Engine, demand Demand, adapters map[laburnumlever.ModelName]int, opts ...Option) []Step {
	p := newPlanner(class, engines, demand, adapters, opts)
	p.placeMissing()
	p.rebalance()
	for e, engine := range p.engines {
		p.approach(e, engine)
	}
	if len(p.steps) == 0 && !slices.ContainsFunc(p.engines, (*Engine).loads) {
		p.fill()
	}
	// The store's rate goes to the models that nobody can ask now, not to whichever
	// engine comes first by name.
	slices.SortStableFunc(p.steps, func(a, b urgentStep) int { return cmp.Compare(b.urgency, a.urgency) })
	return p.withinStore()
}

func newPlanner(class *laburnumlever.EngineClass, engines []Engine, demand Demand, adapters map[laburnumlever.ModelName]int, opts []Option) *planner {
	p := &planner{
		class: class, policy: DefaultPolicy(), demand: demand, requests: demand, adapters: adapters, rescues: map[int]int{}, displaced: map[int]bool{},
		index: make(map[laburnumlever.ModelName]int, len(class.Models)), asked: make([]float64, len(class.Models)),
		quiet: make([]bool, len(class.Models)),
	}
	for _, opt := range opts {
		opt(p)
	}
	for i, m := range class.Models {
		p.index[m.Name], p.asked[i] = i, p.requests[m.Name]
	}
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	p.engines, p.heldBy, p.tiers = make([]*Engine, len(engines)), make([][]int, len(engines)), make([]tier, len(engines))
	for e := range engines {
		engine := &engines[e]
		p.engines[e], p.tiers[e] = engine, tier{inMemory: p.indices(engine.InMemory), onDisk: p.indices(engine.OnDisk)}
		for _, h := range engine.Held {
			if m := p.find(h.Name); m != nowhere {
				p.heldBy[e] = append(p.heldBy[e], m)
			}
		}
	}
	p.target = newLayout(p)
	p.countCopies()
	p.relocating = slices.ContainsFunc(p.engines, p.loadsRelocated)
	return p
}

// countCopies counts the copies of each model, and those that take requests now: one on its
// way is none yet for those who ask.
func (p *planner) countCopies() {
	models := len(p.class.Models)
	p.copies, p.ready, p.coming = make([]int, models), make([]int, models), make([]int, models)
	for m := range p.copies {
		p.copies[m] = p.target.copies(m)
		for _, e := range p.target.holders[m] {
			if p.engines[e].Loading == p.class.Models[m].Name {
				p.coming[m]++
			} else {
				p.ready[m]++
			}
		}
	}
}

// loadsRelocated tells whether the engine loads a second copy of a model that does not need
// one.
func (p *planner) loadsRelocated(e *Engine) bool {
	m := p.find(e.Loading)
	return m != nowhere && p.copies[m] == 2 && p.target.demand[m] < idleShare
}

// loadTime is how many seconds pass until a copy is there that the engine does not hold
// yet.
func (p *planner) loadTime(e, m int) float64 {
	if slices.Contains(p.heldBy[e], m) && p.engines[e].Unloading != p.class.Models[m].Name {
		return 0
	}
	return p.engines[e].wait() + p.loadSeconds(e, m)
}

// loadSeconds is how long a load takes at an engine.
func (p *planner) loadSeconds(e, m int) float64 {
	switch model := &p.class.Models[m]; {
	case slices.Contains(p.tiers[e].inMemory, m):
		return seconds(model.MemoryLoad)
	case slices.Contains(p.tiers[e].onDisk, m):
		return seconds(model.DiskLoad)
	default:
		return seconds(model.StoreLoad)
	}
}

// fromStore tells whether a load at an engine takes the weights from the store.
func (p *planner) fromStore(e, m int) bool {
	return !slices.Contains(p.tiers[e].inMemory, m) && !slices.Contains(p.tiers[e].onDisk, m)
}

// leastUseful lists what an engine should hold, what would be missed least first; nothing
// where no memory is needed.
func (p *planner) leastUseful(e int, need float64) []int {
	p.least = p.least[:0]
	if need <= 0 {
		return nil
	}
	p.least = append(p.least, p.target.models[e]...)
	if len(p.least) > 1 {
		slices.SortStableFunc(p.least, func(a, b int) int { return cmp.Compare(p.loss(a), p.loss(b)) })
	}
	return p.least
}

// loss is what is missed when a copy of a model goes.
func (p *planner) loss(m int) float64 {
	if p.quiet[m] {
		return p.target.demand[m]
	}
	return p.target.loss(m)
}

// unloadSeconds is how long it takes until a model has left an engine.
func (p *planner) unloadSeconds(v int) float64 {
	return unloadTime + busyUnloadTime*min(1, p.target.share(v)/busyWork)
}

// blockCost is what it costs that an engine takes no adapters while it loads.
func (p *planner) blockCost(e, m int) float64 {
	blocked := 0.0
	for _, held := range p.target.models[e] {
		blocked += p.target.need[held] / float64(max(1, p.target.copies(held)))
	}
	if blocked == 0 {
		return 0
	}
	return adapterWeight * blocked * p.loadSeconds(e, m)
}

// bestOf is the change with most gain over some engines; false where none is possible.
func bestOf(engines []int, try func(e int) (change, bool)) (change, bool) {
	var best change
	found := false
	for _, e := range engines {
		c, ok := try(e)
		if ok && (!found || c.gain > best.gain) {
			c.evictions = slices.Clone(c.evictions)
			best, found = c, true
		}
	}
	return best, found
}

// find is a model's index; nowhere when it is not in the class.
func (p *planner) find(name laburnumlever.ModelName) int {
	if m, ok := p.index[name]; ok {
		return m
	}
	return nowhere
}

// indices are those of the models that are in the class.
func (p *planner) indices(names []laburnumlever.ModelName) []int {
	list := make([]int, 0, len(names))
	for _, name := range names {
		if m := p.find(name); m != nowhere {
			list = append(list, m)
		}
	}
	return list
}
