package laburnumresidency

import (
	"cmp"
	"slices"

	"laburnumlever"
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
)

// planner holds one round: what the engines hold, and what they should.
type planner struct {
	class   *laburnumlever.EngineClass
	engines []*Engine
	demand  Demand
	// requests are those asked for a second, by model; asked holds them by the
	// models' places.
	requests map[laburnumlever.ModelName]float64
	asked    []float64
	// total is that of all models; 0 where the rates are not known.
	total    float64
	adapters map[laburnumlever.ModelName]int
	target   *layout
	// places finds a model in the class by its name.
	places map[laburnumlever.ModelName]int
	// held counts the copies of each model now, those on their way included.
	held []int
	// movingAside tells that a model with little work is on its way to another engine
	// to make room where it is.
	movingAside bool
	// rescues are the missing models that engines bring back, by both their places.
	rescues map[int]int
	steps   []urgentStep
}

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

// Next names the next steps, at most one an engine, the most urgent first. Adapters
// counts those of each model that are in use.
//
// The whole of what the engines should hold is worked out anew each time, from what
// they hold now and with the price of each load. What is under way counts as done, so
// a change of several steps is found again until it is done, and demand that swings a
// little changes nothing.
func Next(class *laburnumlever.EngineClass, engines []Engine, demand Demand, adapters map[laburnumlever.ModelName]int, opts ...Option) []Step {
	p := &planner{class: class, demand: demand, requests: demand, adapters: adapters}
	for _, opt := range opts {
		opt(p)
	}
	engines = slices.Clone(engines)
	for i := range engines {
		p.engines = append(p.engines, &engines[i])
	}
	slices.SortFunc(p.engines, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	p.rescues = map[int]int{}
	p.places = make(map[laburnumlever.ModelName]int, len(class.Models))
	for i, m := range class.Models {
		p.places[m.Name] = i
		p.asked = append(p.asked, p.requests[m.Name])
	}
	p.target = newLayout(p)
	p.held = slices.Clone(p.target.copies)
	p.movingAside = slices.ContainsFunc(p.engines, p.takesAside)
	p.placeMissing()
	p.ease()
	for i, e := range p.engines {
		p.approach(i, e)
	}
	if len(p.steps) == 0 {
		p.fill()
	}
	// The store's rate goes to the models that nobody can ask now, not to whichever
	// engine comes first by name.
	slices.SortStableFunc(p.steps, func(a, b urgentStep) int { return cmp.Compare(b.urgency, a.urgency) })
	var steps []Step
	for _, s := range p.steps {
		steps = append(steps, s.Step)
	}
	return steps
}

// takesAside tells whether the engine loads a second copy of a model that does not need
// one.
func (p *planner) takesAside(e *Engine) bool {
	m := p.index(e.Loading)
	return m >= 0 && p.held[m] == 2 && p.target.demand[m] < idleShare
}

// ease gives models one more copy each as long as that eases the engines by more than
// it costs.
func (p *planner) ease() {
	for range maxChanges {
		var best change
		for _, m := range p.considered() {
			if c, ok := p.best(m); ok && c.gain > best.gain {
				best = c
			}
		}
		if best.gain < minGain {
			return
		}
		best.apply(p.target)
		p.movingAside = p.movingAside || best.movesAside()
	}
}

// considered lists the models with most work, or most adapters without a place, a copy.
func (p *planner) considered() []int {
	var list []int
	for m := range p.class.Models {
		if p.target.copies[m] > 0 && (p.target.share(m) > idleShare || p.target.shortage(m) > 0) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Compare(p.weight(b), p.weight(a))
	})
	return list[:min(len(list), consideredModels)]
}

func (p *planner) weight(m int) float64 {
	return p.target.share(m) + shortageWeight*p.target.shortage(m)
}

// best finds the engine where one more copy of the model eases most.
func (p *planner) best(m int) (change, bool) {
	return bestOf(p.target.easiest(consideredEngines, m), func(e int) (change, bool) { return p.consider(e, m) })
}

// bestOf is the change with most gain over some engines; false where none is possible.
func bestOf(engines []int, try func(e int) (change, bool)) (change, bool) {
	var best change
	found := false
	for _, e := range engines {
		c, ok := try(e)
		if ok && (!found || c.gain > best.gain) {
			best, found = c, true
		}
	}
	return best, found
}

// consider works out what a copy at an engine brings, what gives way for it, and where
// the last copy of what gives way can go. What comes late is worth less: demand has
// moved on by then.
func (p *planner) consider(e, m int) (change, bool) {
	c := change{engine: e, model: m}
	delay := p.loadTime(e, m)
	loads := 1
	need := p.target.used[e] + p.target.size[m] - p.class.WeightsMB
	for _, v := range p.leastUseful(e) {
		if need <= 0 {
			break
		}
		give, ok := p.giveWay(e, v, m, c)
		if !ok {
			continue
		}
		if give.to != nowhere {
			delay += p.loadTime(give.to, v)
			loads++
		}
		delay += p.unloadSeconds(v)
		need -= p.target.size[v]
		c.gives = append(c.gives, give)
	}
	if need > 0 {
		return c, false
	}
	c.gain = (p.target.relief(c)+p.risk(m))*max(0, 1-delay/demandTime) -
		loadPrice*float64(loads) - p.blockPrice(e, m)
	if c.movesAside() {
		c.gain -= asidePrice
	}
	return c, true
}

// risk is what it costs that a model has one copy only: when its engine is lost, all who
// ask for it are refused until another has loaded it.
func (p *planner) risk(m int) float64 {
	if p.target.copies[m] != 1 || p.total == 0 {
		return 0
	}
	return riskWeight * p.asked[m] / p.total
}

// unloadSeconds is how long it takes until a model has left an engine.
func (p *planner) unloadSeconds(v int) float64 {
	return unloadTime + busyUnloadTime*min(1, p.target.share(v)/busyWork)
}

// giveWay tells whether a model may leave an engine for another, and where its last copy
// goes.
func (p *planner) giveWay(e, v, m int, c change) (giveWay, bool) {
	give := giveWay{model: v, to: nowhere}
	if slices.Contains(p.engines[e].Young, p.class.Models[v].Name) {
		return give, false
	}
	// Two models with like work would push each other out in turns, as one or the
	// other has a little more.
	if coming := p.target.demand[m] / float64(p.target.copies[m]+1); p.target.share(v) > giveShare*coming {
		return give, false
	}
	if p.target.copies[v] > 1 {
		return give, true
	}
	// One model goes aside at a time, and only while it has one copy: those on their
	// way there count as done, and others would be sent after them.
	if p.held[v] == 1 && !p.movingAside {
		if give.to = p.room(v, e, c); give.to != nowhere {
			return give, true
		}
	}
	return give, false
}

// loadTime is how many seconds pass until a copy is there that the engine does not hold
// yet.
func (p *planner) loadTime(e, m int) float64 {
	engine, model := p.engines[e], p.class.Models[m]
	if engine.Serves(model.Name) {
		return 0
	}
	return engine.wait() + engine.LoadSeconds(model)
}

// blockPrice is what it costs that an engine takes no adapters while it loads.
func (p *planner) blockPrice(e, m int) float64 {
	blocked := 0.0
	for _, held := range p.target.models(e) {
		blocked += p.target.need[held] / float64(max(1, p.target.copies[held]))
	}
	return adapterWeight * blocked * p.engines[e].LoadSeconds(p.class.Models[m])
}

// leastUseful lists what an engine should hold, what would be missed least first.
func (p *planner) leastUseful(e int) []int {
	list := p.target.models(e)
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(p.target.loss(a), p.target.loss(b)) })
	return list
}

// room finds the engine with room for a model that has to leave another, that with
// least work.
func (p *planner) room(m, not int, c change) int {
	best := nowhere
	for e := range p.engines {
		if e == not || p.target.holds(e, m) || p.target.used[e]+p.target.size[m]+c.sizeAt(p.target, e) > p.class.WeightsMB {
			continue
		}
		if !p.engines[e].Idle {
			continue
		}
		if best == nowhere || p.target.work[e] < p.target.work[best] {
			best = e
		}
	}
	return best
}

// approach takes one step with an engine towards what it should hold: a load if there
// is room, else the unload of what is not wanted there and is ready elsewhere.
func (p *planner) approach(e int, engine *Engine) {
	if !engine.Idle {
		return
	}
	var wanted []int
	for _, m := range p.target.models(e) {
		if !engine.Holds(p.class.Models[m].Name) {
			wanted = append(wanted, m)
		}
	}
	if len(wanted) == 0 {
		return
	}
	slices.SortStableFunc(wanted, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.ready(a), p.ready(b)), cmp.Compare(p.target.share(b), p.target.share(a)))
	})
	m := p.class.Models[wanted[0]]
	reason := "takes over work of a busy engine"
	if p.ready(wanted[0]) == 0 {
		reason = "no engine holds it"
	}
	if engine.HasRoom(p.class, m) {
		p.steps = append(p.steps, urgentStep{urgency: p.urgency(wanted[0]), Step: Step{
			Engine: engine.ID, Kind: laburnumlever.Load, Model: m.Name, FromStore: engine.fromStore(m.Name), Reason: reason,
		}})
		return
	}
	p.makeRoom(e, engine, wanted[0], reason)
}

func (p *planner) makeRoom(e int, engine *Engine, wanted int, reason string) {
	for _, h := range engine.Held {
		m := p.index(h.Name)
		if m < 0 || p.target.holds(e, m) || !engine.Serves(h.Name) {
			continue
		}
		rescued, rescues := p.rescues[e]
		rescue := rescues && rescued == wanted && p.outweighs(wanted, m)
		aside := p.target.copies[m] > 0 && p.target.share(wanted) > overrunWork && p.outweighs(wanted, m)
		if p.ready(m) >= 2 || rescue || aside {
			p.steps = append(p.steps, urgentStep{urgency: p.urgency(wanted), Step: Step{
				Engine: engine.ID, Kind: laburnumlever.Unload, Model: h.Name, Reason: "makes room for a model: " + reason,
			}})
			engine.Unloading = h.Name
			return
		}
	}
}

// urgency is what waits for a step: the requests for a model that no engine serves.
func (p *planner) urgency(m int) float64 {
	if p.ready(m) > 0 {
		return 0
	}
	return p.askedAtLeast(m)
}

// ready counts the copies of a model that take requests now: one on its way is none yet
// for those who ask.
func (p *planner) ready(m int) int {
	n := 0
	for _, e := range p.engines {
		if e.ready(p.class.Models[m].Name) {
			n++
		}
	}
	return n
}

// index is a model's place in the class; nowhere when it is not there.
func (p *planner) index(name laburnumlever.ModelName) int {
	if i, ok := p.places[name]; ok {
		return i
	}
	return nowhere
}
