package laburnumresidency

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// planner is the state of a round. Engines and models go by their indices.
type planner struct {
	class   *laburnumlever.EngineClass
	policy  Policy
	engines []*Engine
	demand  Demand
	// requestRates are the rates by model, per second; asked holds them by index.
	requestRates map[laburnumlever.ModelName]float64
	rates        []float64
	quiet        []bool // models without recent requests
	// totalRate is the sum of the rates; 0 if they are unknown.
	totalRate float64
	adapters  map[laburnumlever.ModelName]int
	target    *layout
	index     map[laburnumlever.ModelName]int
	// heldBy are the models that take memory at each engine, tiers its weights outside the
	// accelerator.
	heldBy [][]int
	local  []localWeights
	// copies counts the copies of each model, loading ones included; ready counts those that
	// take requests, coming those that load, with this round's steps.
	copies  []int
	ready   []int
	loading []int
	// relocating tells that a last copy is being moved to another engine.
	relocating bool
	// displaced are the models whose last copy is evicted for a busy model.
	displaced map[int]bool
	// restoring are the missing models by the engine that loads them.
	restoring map[int]int
	steps     []urgentStep
	// byLoss and evictions are scratch space.
	byLoss    []int
	evictions []eviction
}

// localWeights is the weights that an engine can load without the store.
type localWeights struct{ inMemory, onDisk []int }

// urgentStep is a step with the rate of requests that can't be served without it.
type urgentStep struct {
	Step
	urgency float64
}

// Option changes a round.
type Option func(*planner)

// WithRequests sets the rate of requests for each model, served or not. The default is the
// demand.
func WithRequests(rates map[laburnumlever.ModelName]float64) Option {
	return func(p *planner) {
		p.requestRates = rates
		for _, rate := range rates {
			p.totalRate += rate
		}
	}
}

// WithQuiet sets the models without recent requests, which have no copy where memory is short.
func WithQuiet(quiet map[laburnumlever.ModelName]bool) Option {
	return func(p *planner) {
		for m, model := range p.class.Models {
			p.quiet[m] = quiet[model.Name]
		}
	}
}

// Next returns the next steps, at most one per engine, the most urgent first. The adapters are
// the numbers in use by model.
//
// Each round computes the whole target layout from the current one. Orders in progress count as
// done, so a change of several steps is found again until it is complete.
func Next(class *laburnumlever.EngineClass, engines []Engine, demand Demand, adapters map[laburnumlever.ModelName]int, opts ...Option) []Step {
	p := newPlanner(class, engines, demand, adapters, opts)
	p.placeMissing()
	p.rebalance()
	for e, engine := range p.engines {
		p.planStep(e, engine)
	}
	if p.policy.fills && len(p.steps) == 0 && !slices.ContainsFunc(p.engines, (*Engine).isLoading) {
		p.fill()
	}
	slices.SortStableFunc(p.steps, func(a, b urgentStep) int { return cmp.Compare(b.urgency, a.urgency) })
	return p.limitStoreLoads()
}

func newPlanner(class *laburnumlever.EngineClass, engines []Engine, demand Demand, adapters map[laburnumlever.ModelName]int, opts []Option) *planner {
	p := &planner{
		class: class, policy: DefaultPolicy(), demand: demand, requestRates: demand, adapters: adapters, restoring: map[int]int{}, displaced: map[int]bool{},
		index: make(map[laburnumlever.ModelName]int, len(class.Models)), rates: make([]float64, len(class.Models)),
		quiet: make([]bool, len(class.Models)),
	}
	for _, opt := range opts {
		opt(p)
	}
	for i, m := range class.Models {
		p.index[m.Name], p.rates[i] = i, p.requestRates[m.Name]
	}
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	p.engines, p.heldBy, p.local = make([]*Engine, len(engines)), make([][]int, len(engines)), make([]localWeights, len(engines))
	for e := range engines {
		engine := &engines[e]
		p.engines[e], p.local[e] = engine, localWeights{inMemory: p.indices(engine.InMemory), onDisk: p.indices(engine.OnDisk)}
		for _, h := range engine.Held {
			if m := p.indexOf(h.Name); m != none {
				p.heldBy[e] = append(p.heldBy[e], m)
			}
		}
	}
	p.target = newLayout(p)
	p.countCopies()
	p.relocating = slices.ContainsFunc(p.engines, p.loadsRelocatedModel)
	return p
}

// countCopies counts the copies of each model.
func (p *planner) countCopies() {
	models := len(p.class.Models)
	p.copies, p.ready, p.loading = make([]int, models), make([]int, models), make([]int, models)
	for m := range p.copies {
		p.copies[m] = p.target.copies(m)
		for _, e := range p.target.holders[m] {
			if p.engines[e].Loading == p.class.Models[m].Name {
				p.loading[m]++
			} else {
				p.ready[m]++
			}
		}
	}
}

// loadsRelocatedModel tells whether the engine loads a second copy of a model without work.
func (p *planner) loadsRelocatedModel(e *Engine) bool {
	m := p.indexOf(e.Loading)
	return m != none && p.copies[m] == 2 && p.target.demand[m] < negligibleWork
}

// loadTime is the time until the engine holds a copy, in seconds.
func (p *planner) loadTime(e, m int) float64 {
	if slices.Contains(p.heldBy[e], m) && p.engines[e].Unloading != p.class.Models[m].Name {
		return 0
	}
	return p.engines[e].waitSeconds() + p.loadSeconds(e, m)
}

// loadSeconds is the duration of a load from the nearest tier.
func (p *planner) loadSeconds(e, m int) float64 {
	switch model := &p.class.Models[m]; {
	case slices.Contains(p.local[e].inMemory, m):
		return seconds(model.MemoryLoad)
	case slices.Contains(p.local[e].onDisk, m):
		return seconds(model.DiskLoad)
	default:
		return seconds(model.StoreLoad)
	}
}

// fromStore tells whether a load fetches the weights from the store.
func (p *planner) fromStore(e, m int) bool {
	return !slices.Contains(p.local[e].inMemory, m) && !slices.Contains(p.local[e].onDisk, m)
}

// evictionOrder lists an engine's models in the order of eviction; none if no memory is needed.
func (p *planner) evictionOrder(e int, need float64) []int {
	p.byLoss = p.byLoss[:0]
	if need <= 0 {
		return nil
	}
	p.byLoss = append(p.byLoss, p.target.models[e]...)
	if len(p.byLoss) > 1 {
		slices.SortStableFunc(p.byLoss, func(a, b int) int { return cmp.Compare(p.evictionLoss(a), p.evictionLoss(b)) })
	}
	return p.byLoss
}

// evictionLoss is the cost of evicting a copy.
func (p *planner) evictionLoss(m int) float64 {
	if p.quiet[m] {
		return p.target.demand[m]
	}
	return p.target.evictionLoss(m)
}

// unloadSeconds is the duration of an unload, in seconds.
func (p *planner) unloadSeconds(v int) float64 {
	return unloadTime + busyUnloadTime*min(1, p.target.workPerCopy(v)/busyWork)
}

// adapterBlockCost is the cost of a load for adapters, which the engine can't load meanwhile.
func (p *planner) adapterBlockCost(e, m int) float64 {
	blocked := 0.0
	for _, held := range p.target.models[e] {
		blocked += p.target.adapters[held] / float64(max(1, p.target.copies(held)))
	}
	if blocked == 0 {
		return 0
	}
	return adapterWeight * blocked * p.loadSeconds(e, m)
}

// bestOf returns the change with the highest gain over some engines; false if none is possible.
func bestOf(engines []int, evaluate func(e int) (change, bool)) (change, bool) {
	var best change
	found := false
	for _, e := range engines {
		c, ok := evaluate(e)
		if ok && (!found || c.gain > best.gain) {
			c.evictions = slices.Clone(c.evictions)
			best, found = c, true
		}
	}
	return best, found
}

// indexOf returns a model's index, or nowhere.
func (p *planner) indexOf(name laburnumlever.ModelName) int {
	if m, ok := p.index[name]; ok {
		return m
	}
	return none
}

// indices returns those of the models in the class.
func (p *planner) indices(names []laburnumlever.ModelName) []int {
	list := make([]int, 0, len(names))
	for _, name := range names {
		if m := p.indexOf(name); m != none {
			list = append(list, m)
		}
	}
	return list
}
