package laburnumsimulation

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumdirector"
	"laburnumlever/laburnumresidency"
)

const (
	// lookahead is how far ahead the planner with hindsight knows demand: the time of a load.
	lookahead = 4 * time.Second
	// secondsPerAnswerToken and readShare turn demand into work as the director does.
	secondsPerAnswerToken = 0.006
	prefillShare          = 0.5
)

// hindsight is what no policy can do: the planner knows demand as it will be, and gateways know
// each engine's load. What it earns bounds what knowing more can bring.
func hindsight() Policy {
	p := productionPolicy().named("hindsight", "demand known ahead and loads known exactly, as a bound")
	p.exactLoads = true
	p.director = func(sim *simulation) []laburnumdirector.Option {
		return []laburnumdirector.Option{laburnumdirector.WithPlanner(sim.planWithHindsight)}
	}
	return p
}

// planWithHindsight plans for demand as it will be.
func (sim *simulation) planWithHindsight(class *laburnumlever.EngineClass, engines []laburnumresidency.Engine, demand laburnumresidency.Demand, adapters map[laburnumlever.ModelName]int, opts ...laburnumresidency.Option) []laburnumresidency.Step {
	if sim.startedAt.IsZero() {
		return laburnumresidency.NextSteps(class, engines, demand, adapters, opts...)
	}
	at := min(sim.elapsed()+lookahead, time.Duration(sim.scenario.Length)-1)
	work, requests := laburnumresidency.Demand{}, map[laburnumlever.ModelName]float64{}
	for i := range sim.scenario.Classes {
		sim.workload.expectedRates(i, at, func(m int, perSecond float64) {
			c := sim.scenario.Classes[i]
			read := sim.models[m].pace() / sim.scenario.Engines.ReadTokensPerMS / 1000
			name := sim.models[m].name
			work[name] += perSecond * (c.Answer.Mean*secondsPerAnswerToken/float64(class.Slots) + (c.Prompt.Mean+c.sharedTokens())*read/prefillShare)
			requests[name] += perSecond
		})
	}
	return laburnumresidency.NextSteps(class, engines, work, adapters, append(opts, laburnumresidency.WithRequests(requests))...)
}

// expectedRates tells the requests a second for each model of a class at a time.
func (c *workload) expectedRates(class int, at time.Duration, yield func(model int, perSecond float64)) {
	cl := c.sim.scenario.Classes[class]
	list := c.modelsByRank[class]
	active := cl.Active
	if active <= 0 || active > len(list) {
		active = len(list)
	}
	cumulated := c.sim.cumulativeWeights(active, cl.Skew)
	rate := c.rate(class, at)
	moved := 0
	for _, s := range c.shifts {
		if at >= s.at+s.length/2 {
			moved += s.ranks
		}
	}
	before := 0.0
	for rank := range active {
		yield(list[(rank+moved)%len(list)], rate*(cumulated[rank]-before)/cumulated[active-1])
		before = cumulated[rank]
	}
}

// observeExactLoads has a gateway know the load of all engines that hold a model.
func (g *gateway) observeExactLoads(model int) {
	for _, e := range g.sim.engines {
		if _, holds := e.held[model]; holds && e.up {
			g.table.Observe(e.id, laburnumbalance.AttemptResult{HasLoad: true, Running: e.batch.size(), Waiting: len(e.batch.waiting)}, g.sim.now())
		}
	}
}
