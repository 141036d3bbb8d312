package laburnumresidency

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// overloadWork is the work of a copy from which its answers are late, so that a last copy with
// few requests is evicted for another copy at once.
const overloadWork = 1.0

// planStep adds an engine's next step towards the target: a load if there is memory, else the
// unload of a model that is ready elsewhere.
func (p *planner) planStep(e int, engine *Engine) {
	if !engine.Idle {
		return
	}
	wanted := p.nextLoad(e)
	if wanted == none {
		return
	}
	reason := "takes over work of a busy engine"
	if p.ready[wanted] == 0 {
		reason = "no engine holds it"
	}
	if p.usedMB(e)+p.target.size[wanted] <= p.class.WeightsMB {
		p.load(e, wanted, reason, p.urgency(wanted))
		return
	}
	p.unloadFor(e, engine, wanted, reason)
}

// nextLoad returns the model that an engine should load next, that with fewest ready and loading
// copies, or nowhere.
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

// usedMB is the memory in use at an engine, in MB.
func (p *planner) usedMB(e int) float64 {
	total := 0.0
	for _, h := range p.engines[e].Held {
		if m := p.indexOf(h.Name); m != none {
			total += p.class.Models[m].WeightsMB + p.class.Models[m].AdapterMB*float64(len(h.Adapters))
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
			Engine: engine.ID, Kind: laburnumlever.Unload, Model: name, Reason: "makes room for a model: " + reason,
		}})
		if engine.Loading != name {
			p.ready[m]--
		}
		engine.Unloading = name
		return
	}
}

// mayUnload reports whether model m of engine e may be unloaded for the wanted one: another copy is
// ready, it is hardly asked for, or the wanted one is needed more.
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

// urgency is the rate of requests for a model without a ready copy, divided by the copies that
// load.
func (p *planner) urgency(m int) float64 {
	if p.ready[m] > 0 {
		return 0
	}
	p.loading[m]++
	return p.effectiveRate(m) / float64(p.loading[m])
}
