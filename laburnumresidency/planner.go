package laburnumresidency

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// planner is the state of a planning round. Engines and models are identified by their indices.
type planner struct {
	class   *laburnumlever.EngineClass
	policy  Policy
	engines []*Engine
	demand  Demand
	// requestRates are the requests per second by model name, rates the same by index.
	requestRates map[laburnumlever.ModelName]float64
	rates        []float64
	quiet        []bool // models without recent requests
	// quietNames are the same models by name, and the unlisted ones among them.
	quietNames map[laburnumlever.ModelName]bool
	// totalRate is the sum of the rates; 0 if unknown.
	totalRate float64
	adapters  map[laburnumlever.ModelName]int
	target    *layout
	index     map[laburnumlever.ModelName]int
	// heldBy are the models that occupy memory on each engine, local the weights in its host memory
	// and on its disk.
	heldBy [][]int
	local  []localWeights
	// unlisted are the models on each engine that the class does not list, readyUnlisted the number of
	// their copies that accept requests. The steps of this round change readyUnlisted.
	unlisted      [][]laburnumlever.ModelName
	readyUnlisted map[laburnumlever.ModelName]int
	// copies counts all copies of each model, ready those that accept requests, and loading those
	// that are being loaded. The steps of this round change ready and loading.
	copies  []int
	ready   []int
	loading []int
	// relocating tells that a last copy is being relocated to another engine.
	relocating bool
	// displaced are the models whose last copy is evicted for a busy model.
	displaced map[int]bool
	// restoring are the missing models to load, by engine.
	restoring map[int]int
	steps     []urgentStep
	// byLoss and evictions are buffers, reused between calls.
	byLoss    []int
	evictions []eviction
}

// localWeights are the models whose weights an engine can load without the weight store.
type localWeights struct{ inMemory, onDisk []int }

// urgentStep is a step with the rate of requests that are refused without it, as returned by urgency.
type urgentStep struct {
	Step
	urgency float64
}

// Option configures a planning round.
type Option func(*planner)

// WithRequests sets the requests per second for each model, including refused ones. The default is
// the demand.
func WithRequests(rates map[laburnumlever.ModelName]float64) Option {
	return func(p *planner) {
		p.requestRates = rates
		for _, rate := range rates {
			p.totalRate += rate
		}
	}
}

// WithQuiet sets the models without recent requests, including unlisted ones. They may lose their last
// copy if memory is short, and unlisted ones lose it in any case.
func WithQuiet(quiet map[laburnumlever.ModelName]bool) Option {
	return func(p *planner) {
		p.quietNames = quiet
		for m, model := range p.class.Models {
			p.quiet[m] = quiet[model.Name]
		}
	}
}

// NextSteps returns the next steps, at most one per engine, in descending order of urgency. adapters
// is the number of adapters in use by model.
//
// Each round computes the target layout anew from the current one, with orders in progress counted
// as complete. A change of several steps is thereby found again in each round until it is complete.
func NextSteps(class *laburnumlever.EngineClass, engines []Engine, demand Demand, adapters map[laburnumlever.ModelName]int, opts ...Option) []Step {
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
		quiet: make([]bool, len(class.Models)), readyUnlisted: map[laburnumlever.ModelName]int{},
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
	p.unlisted = make([][]laburnumlever.ModelName, len(engines))
	for e := range engines {
		engine := &engines[e]
		p.engines[e], p.local[e] = engine, localWeights{inMemory: p.indices(engine.InMemory), onDisk: p.indices(engine.OnDisk)}
		for _, h := range engine.Held {
			if m := p.indexOf(h.Name); m != none {
				p.heldBy[e] = append(p.heldBy[e], m)
			} else {
				p.addUnlisted(e, h.Name)
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

// loadsRelocatedModel tells whether the engine is loading a model that is being relocated to it: one
// with negligible work and two copies.
func (p *planner) loadsRelocatedModel(e *Engine) bool {
	m := p.indexOf(e.Loading)
	return m != none && p.copies[m] == 2 && p.target.demand[m] < negligibleWork
}

// loadTime is the time until an engine holds a copy of a model, in seconds.
func (p *planner) loadTime(e, m int) float64 {
	if slices.Contains(p.heldBy[e], m) && p.engines[e].Unloading != p.class.Models[m].Name {
		return 0
	}
	return p.engines[e].waitSeconds() + p.loadSeconds(e, m)
}

// loadSeconds is the duration of a load from the fastest source of the weights, in seconds.
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

// fromStore tells whether an engine loads a model from the weight store.
func (p *planner) fromStore(e, m int) bool {
	return !slices.Contains(p.local[e].inMemory, m) && !slices.Contains(p.local[e].onDisk, m)
}

// evictionOrder lists an engine's models in ascending order of evictionLoss; nil if no memory is
// needed.
func (p *planner) evictionOrder(e int, shortfall float64) []int {
	p.byLoss = p.byLoss[:0]
	if shortfall <= 0 {
		return nil
	}
	p.byLoss = append(p.byLoss, p.target.models[e]...)
	if len(p.byLoss) > 1 {
		slices.SortStableFunc(p.byLoss, func(a, b int) int { return cmp.Compare(p.evictionLoss(a), p.evictionLoss(b)) })
	}
	return p.byLoss
}

// evictionLoss ranks the copies to evict, as layout.evictionLoss does, but ignores for quiet models
// whether a copy is the last one.
func (p *planner) evictionLoss(m int) float64 {
	if p.quiet[m] {
		return p.target.demand[m]
	}
	return p.target.evictionLoss(m)
}

// unloadSeconds is the expected duration of an unload.
func (p *planner) unloadSeconds(v int) float64 {
	return unloadTime + float64(busyUnloadTime*min(1, p.target.workPerCopy(v)/busyWork))
}

// adapterBlockCost is the cost of a model's load to the requests for adapters on the engine, which
// loads none in the meantime.
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

// bestOf returns the change with the highest gain among the engines; false if none is possible.
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

// indexOf returns a model's index, or none if the class has no such model.
func (p *planner) indexOf(name laburnumlever.ModelName) int {
	if m, ok := p.index[name]; ok {
		return m
	}
	return none
}

// indices returns the indices of those models that the class has.
func (p *planner) indices(names []laburnumlever.ModelName) []int {
	list := make([]int, 0, len(names))
	for _, name := range names {
		if m := p.indexOf(name); m != none {
			list = append(list, m)
		}
	}
	return list
}
