package laburnumsimulation

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumdirector"
	"laburnumlever/laburnumresidency"
)

const (
	// lookahead is how far ahead the planner with hindsight knows demand: about the time of a load.
	lookahead = 4 * time.Second
	// secondsPerAnswerToken and prefillShare convert request rates into work as the director does.
	secondsPerAnswerToken = 0.006
	prefillShare          = 0.5
)

// hindsight is an upper bound that no real policy can reach: the planner knows future demand, and
// gateways know the load of each engine. Its value bounds the gain from better information.
func hindsight() Policy {
	p := productionPolicy().named("hindsight", "demand known in advance and exact loads, as an upper bound")
	p.exactLoads = true
	p.director = func(sim *simulation) []laburnumdirector.Option {
		return []laburnumdirector.Option{laburnumdirector.WithPlanner(sim.planWithHindsight)}
	}
	return p
}

// planWithHindsight plans for the demand expected after lookahead. Before the day starts it uses
// the demand given.
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

// expectedRates calls yield with the expected requests per second of each model of a class.
func (c *workload) expectedRates(class int, at time.Duration, yield func(model int, perSecond float64)) {
	cl := c.sim.scenario.Classes[class]
	list := c.modelsByRank[class]
	active := cl.Active
	if active <= 0 || active > len(list) {
		active = len(list)
	}
	cumulated := c.sim.cumulativeWeights(active, cl.Skew)
	rate := c.rate(class, at)
	offset := 0
	for _, s := range c.shifts {
		if at >= s.at+s.length/2 {
			offset += s.ranks
		}
	}
	before := 0.0
	for rank := range active {
		yield(list[(rank+offset)%len(list)], rate*(cumulated[rank]-before)/cumulated[active-1])
		before = cumulated[rank]
	}
}

// observeExactLoads updates the gateway's table with the current load of all engines that hold the
// model.
func (g *gateway) observeExactLoads(model int) {
	for _, e := range g.sim.engines {
		if _, holds := e.held[model]; holds && e.up {
			g.table.Observe(e.id, laburnumbalance.AttemptResult{HasLoad: true, Running: e.batch.size(), Waiting: len(e.batch.waiting)}, g.sim.now())
		}
	}
}
