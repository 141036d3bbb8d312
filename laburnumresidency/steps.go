package laburnumresidency

import (
	"cmp"
	"math"
	"slices"

	"laburnumlever"
)

// overloadWork is the work of a copy beyond which its answers are late. A last copy with few requests
// is then evicted at once, without relocation, to make room for another copy.
const overloadWork = 1.0

// planStep adds an engine's next step towards the target layout: a load if it fits into memory, else
// the unload of a model for it. An engine that holds an unlisted model unloads that one first.
func (p *planner) planStep(e int, engine *Engine) {
	if !engine.Idle {
		return
	}
	wanted := p.nextLoad(e)
	if len(p.unlisted[e]) > 0 {
		p.unloadUnlisted(e, engine, wanted)
		return
	}
	if wanted == none {
		return
	}
	reason := "relieves a busy engine"
	if p.ready[wanted] == 0 {
		reason = "no engine holds the model"
	}
	if p.usedMB(e)+p.target.size[wanted] <= p.class.WeightsMB {
		p.load(e, wanted, reason, p.urgency(wanted))
		return
	}
	p.unloadFor(e, engine, wanted, reason)
}

// nextLoad returns the model that an engine should load next, or none: the one with the fewest ready
// copies, then the fewest loading ones, then the most work per copy.
func (p *planner) nextLoad(e int) int {
	best := none
	for _, m := range p.target.models[e] {
		if slices.Contains(p.heldBy[e], m) {
			continue
		}
		if best == none || cmp.Or(
			cmp.Compare(p.ready[m], p.ready[best]), cmp.Compare(p.loading[m], p.loading[best]), cmp.Compare(p.target.workPerCopy(best), p.target.workPerCopy(m)),
		) < 0 {
			best = m
		}
	}
	return best
}

// usedMB is the memory in use on an engine, in MB; infinite if it holds an unlisted model.
func (p *planner) usedMB(e int) float64 {
	if len(p.unlisted[e]) > 0 {
		return math.Inf(1)
	}
	total := 0.0
	for _, h := range p.engines[e].Held {
		if m := p.indexOf(h.Name); m != none {
			total += p.class.Models[m].WeightsMB + float64(p.class.Models[m].AdapterMB*float64(len(h.Adapters)))
		}
	}
	return total
}

func (p *planner) load(e, m int, reason string, urgency float64) {
	p.steps = append(p.steps, urgentStep{urgency: urgency, Step: Step{
		Engine: p.engines[e].ID, Kind: laburnumlever.Load, Model: p.class.Models[m].Name, FromStore: p.fromStore(e, m), Reason: reason,
	}})
}

func (p *planner) unloadFor(e int, engine *Engine, wanted int, reason string) {
	for _, m := range p.heldBy[e] {
		name := p.class.Models[m].Name
		if p.target.holds(e, m) || engine.Unloading == name || !p.mayUnload(e, m, wanted) {
			continue
		}
		p.steps = append(p.steps, urgentStep{urgency: p.urgency(wanted), Step: Step{
			Engine: engine.ID, Kind: laburnumlever.Unload, Model: name, Reason: "frees memory for a load: " + reason,
		}})
		if engine.Loading != name {
			p.ready[m]--
		}
		engine.Unloading = name
		return
	}
}

// mayUnload tells whether model m of engine e may be unloaded for the wanted one: another copy is
// ready, m is quiet or displaced, or the wanted one has far more requests and either is missing or is
// overloaded while m has a copy in the target layout.
func (p *planner) mayUnload(e, m, wanted int) bool {
	if p.ready[m] >= 2 || p.quiet[m] || p.displaced[m] {
		return true
	}
	if !p.outweighs(wanted, m) {
		return false
	}
	restored, restores := p.restoring[e]
	overload := p.target.copies(m) > 0 && p.target.workPerCopy(wanted) > overloadWork
	return restores && restored == wanted || overload
}

// urgency is the rate of requests for a model without a ready copy, divided by the number of its
// loading copies. Each call adds one to these copies.
func (p *planner) urgency(m int) float64 {
	if p.ready[m] > 0 {
		return 0
	}
	p.loading[m]++
	return p.effectiveRate(m) / float64(p.loading[m])
}
