package laburnumresidency

import (
	"cmp"
	"math"
	"slices"

	"laburnumlever"
)

const (
	// busyShare of an engine's work is when more copies are thought of: below it a
	// request finds a place at once nearly always, and few prompts meet.
	busyShare = 0.4
	// idleShare of an engine's work is as good as none.
	idleShare = 0.02
	// gain is by how much the work of the busiest engine must fall for a copy to
	// be worth its load.
	gain = 0.15
	// loadWeight weighs a second of a load against an engine's work.
	loadWeight = 0.04
	// adapterWeight weighs an adapter in use at an engine that is loading a model,
	// and so can't take another.
	adapterWeight = 0.25
)

// planner holds one round.
type planner struct {
	class    *laburnumlever.EngineClass
	engines  []*Engine
	demand   Demand
	adapters map[laburnumlever.ModelName]int
	copies   map[laburnumlever.ModelName]int
	// ready are the copies that take requests now: one on its way is none yet for
	// those who ask.
	ready map[laburnumlever.ModelName]int
	work  map[laburnumlever.BackendID]float64
	steps []Step
}

// Next names the next steps, at most one an engine, the most urgent first. Adapters
// counts those of each model that are in use.
func Next(class *laburnumlever.EngineClass, engines []Engine, demand Demand, adapters map[laburnumlever.ModelName]int) []Step {
	p := &planner{class: class, demand: demand, adapters: adapters}
	engines = slices.Clone(engines) // what the steps lead to is noted in the copy
	for i := range engines {
		p.engines = append(p.engines, &engines[i])
	}
	slices.SortFunc(p.engines, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	p.count()
	p.placeMissing()
	p.followDemand()
	p.placeAdapters()
	return p.steps
}

// count works out the copies of each model and the work of each engine, a model's
// shared evenly by its copies.
func (p *planner) count() {
	p.copies = map[laburnumlever.ModelName]int{}
	p.ready = map[laburnumlever.ModelName]int{}
	for _, e := range p.engines {
		for _, h := range e.Held {
			if e.serves(h.Name) {
				p.copies[h.Name]++
			}
			if e.ready(h.Name) {
				p.ready[h.Name]++
			}
		}
	}
	p.work = map[laburnumlever.BackendID]float64{}
	for _, e := range p.engines {
		for _, h := range e.Held {
			if e.serves(h.Name) {
				p.work[e.ID] += p.share(h.Name)
			}
		}
	}
}

// share is the work that one copy of the model brings.
func (p *planner) share(model laburnumlever.ModelName) float64 {
	return p.demand[model] / float64(max(1, p.copies[model]))
}

// placeMissing loads the models that no engine holds, the most wanted first.
func (p *planner) placeMissing() {
	var missing []laburnumlever.ResidentClass
	for _, m := range p.class.Models {
		if p.copies[m.Name] == 0 {
			missing = append(missing, m)
		}
	}
	slices.SortStableFunc(missing, func(a, b laburnumlever.ResidentClass) int {
		return cmp.Compare(p.demand[b.Name], p.demand[a.Name])
	})
	for _, m := range missing {
		if e := p.roomiest(m); e != nil {
			p.load(e, m, "no engine holds it")
			continue
		}
		if e, victims := p.cheapest(m, true); e != nil {
			p.unload(e, victims, "makes room for a model that no engine holds")
		}
	}
}

// roomiest finds the idle engine with room where the load is soonest done and
// there is least work.
func (p *planner) roomiest(m laburnumlever.ResidentClass) *Engine {
	var best *Engine
	bestCost := math.Inf(1)
	for _, e := range p.engines {
		if !e.Idle || e.Holds(m.Name) || !e.hasRoom(p.class, m) {
			continue
		}
		cost := p.loadCost(e, m) + p.work[e.ID]
		if cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// loadCost weighs a load: its time, and that the engine takes no adapters meanwhile.
func (p *planner) loadCost(e *Engine, m laburnumlever.ResidentClass) float64 {
	blocked := 0
	for _, h := range e.Held {
		blocked += p.adapters[h.Name]
	}
	return loadWeight * e.loadSeconds(m) * (1 + adapterWeight*float64(blocked))
}

// Holds tells whether the model takes memory at the engine.
func (e *Engine) Holds(model laburnumlever.ModelName) bool {
	return laburnumlever.Holds(e.Held, model, "")
}

// cheapest finds the idle engine where giving up copies for the model costs least,
// and the models to give up. The last copy of a model may only go, if missing is
// set, for a model that is asked for more.
func (p *planner) cheapest(m laburnumlever.ResidentClass, missing bool) (*Engine, []laburnumlever.ModelName) {
	var best *Engine
	var bestVictims []laburnumlever.ModelName
	bestCost := math.Inf(1)
	for _, e := range p.engines {
		if !e.Idle || e.Holds(m.Name) {
			continue
		}
		victims, cost, ok := p.victims(e, m, missing)
		if !ok {
			continue
		}
		cost += p.loadCost(e, m) + p.work[e.ID]
		if cost < bestCost {
			best, bestVictims, bestCost = e, victims, cost
		}
	}
	return best, bestVictims
}

// victims chooses what to give up at an engine, the least useful first.
func (p *planner) victims(e *Engine, m laburnumlever.ResidentClass, missing bool) ([]laburnumlever.ModelName, float64, bool) {
	held := slices.Clone(e.Held)
	slices.SortStableFunc(held, func(a, b laburnumlever.HeldModel) int {
		return cmp.Compare(p.loss(a.Name), p.loss(b.Name))
	})
	need := e.used(p.class) + size(m) - p.class.WeightsMB
	var victims []laburnumlever.ModelName
	cost := 0.0
	for _, h := range held {
		if need <= 0 {
			break
		}
		if slices.Contains(e.Young, h.Name) {
			continue
		}
		last := p.ready[h.Name] <= 1
		if last && (!missing || p.demand[h.Name] > 0 || p.demand[m.Name] == 0) {
			continue
		}
		c, _ := p.class.Model(h.Name)
		need -= c.WeightsMB + c.AdapterMB*float64(len(h.Adapters))
		cost += p.loss(h.Name)
		victims = append(victims, h.Name)
	}
	return victims, cost, need <= 0 && len(victims) > 0
}

// loss is the work that the other copies of a model must take over when one goes.
func (p *planner) loss(model laburnumlever.ModelName) float64 {
	n := p.ready[model]
	if n <= 1 {
		const lastCopy = 1000
		return lastCopy + p.demand[model]
	}
	return p.demand[model]/float64(n-1) - p.demand[model]/float64(n)
}

// followDemand gives the busiest engine's busiest model one more copy.
func (p *planner) followDemand() {
	hot := slices.Clone(p.engines)
	slices.SortStableFunc(hot, func(a, b *Engine) int { return cmp.Compare(p.work[b.ID], p.work[a.ID]) })
	done := map[laburnumlever.ModelName]bool{}
	for _, e := range hot {
		if p.work[e.ID] < busyShare {
			return
		}
		if model, ok := p.heaviest(e); ok && !done[model] && !p.loading(model) {
			done[model] = true
			p.spread(e, model)
		}
	}
}

func (p *planner) heaviest(e *Engine) (laburnumlever.ModelName, bool) {
	var best laburnumlever.ModelName
	for _, h := range e.Held {
		if e.serves(h.Name) && (best == "" || p.share(h.Name) > p.share(best)) {
			best = h.Name
		}
	}
	return best, best != ""
}

// loading tells whether a copy of the model is on its way already.
func (p *planner) loading(model laburnumlever.ModelName) bool {
	return slices.ContainsFunc(p.engines, func(e *Engine) bool { return e.Loading == model })
}

// spread adds a copy of the model where the engine that takes it ends up clearly
// below the one that is relieved.
func (p *planner) spread(hot *Engine, model laburnumlever.ModelName) {
	m, ok := p.class.Model(model)
	if !ok {
		return
	}
	share := p.demand[model] / float64(p.copies[model]+1)
	limit := p.work[hot.ID] * (1 - gain)
	if e := p.roomiest(m); e != nil && p.work[e.ID]+share < limit {
		p.load(e, m, "takes over work of a busy engine")
		return
	}
	if e, victims := p.cheapest(m, false); e != nil && p.work[e.ID]+share < limit {
		p.unload(e, victims, "makes room for a model of a busy engine")
	}
}

// placeAdapters gives a model one more copy whose adapters in use do not find places
// at the engines that hold it: their callers would wait while adapters push each other
// out.
func (p *planner) placeAdapters() {
	if p.class.AdapterSlots <= 0 {
		return
	}
	for _, m := range p.class.Models {
		if p.adapters[m.Name] == 0 || p.loading(m.Name) || p.adapterPlaces(m.Name) >= float64(p.adapters[m.Name]) {
			continue
		}
		if e := p.roomiest(m); e != nil {
			p.load(e, m, "its adapters lack places")
		} else if e, victims := p.cheapest(m, false); e != nil && p.idleCopies(victims) {
			p.unload(e, victims, "makes room for a model whose adapters lack places")
		}
	}
}

// idleCopies tells whether nobody would miss these copies: adapters that push each
// other out cost less than work pushed together on fewer engines.
func (p *planner) idleCopies(models []laburnumlever.ModelName) bool {
	return !slices.ContainsFunc(models, func(m laburnumlever.ModelName) bool {
		return p.share(m) > idleShare || p.adapters[m] > 0
	})
}

// adapterPlaces is how many adapters of the model find a place at once, where the
// places of an engine are shared by its models as their adapters are.
func (p *planner) adapterPlaces(model laburnumlever.ModelName) float64 {
	places := 0.0
	for _, e := range p.engines {
		if !e.serves(model) {
			continue
		}
		total := 0
		for _, h := range e.Held {
			total += p.adapters[h.Name]
		}
		places += float64(p.class.AdapterSlots) * float64(p.adapters[model]) / float64(max(1, total))
	}
	return places
}

// load notes the step and its effect, so that the next choice of the round sees it.
func (p *planner) load(e *Engine, m laburnumlever.ResidentClass, reason string) {
	p.steps = append(p.steps, Step{
		Engine: e.ID, Kind: laburnumlever.Load, Model: m.Name, FromStore: e.fromStore(m.Name), Reason: reason,
	})
	e.Idle = false
	e.Loading = m.Name
	e.Held = append(slices.Clone(e.Held), laburnumlever.HeldModel{Name: m.Name})
	p.count()
}

// unload gives up the first of the models; the others follow in later rounds.
func (p *planner) unload(e *Engine, victims []laburnumlever.ModelName, reason string) {
	p.steps = append(p.steps, Step{Engine: e.ID, Kind: laburnumlever.Unload, Model: victims[0], Reason: reason})
	e.Idle = false
	e.Unloading = victims[0]
	p.count()
}
