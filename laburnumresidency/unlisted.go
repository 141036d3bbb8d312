package laburnumresidency

import (
	"slices"

	"laburnumlever"
)

// An unlisted model is one that an engine holds and its class does not list: it has left the manifest.
// Its size is unknown, so nothing is loaded beside it. The target layout counts it as unloaded.

// addUnlisted records an unlisted model of an engine.
func (p *planner) addUnlisted(e int, name laburnumlever.ModelName) {
	p.unlisted[e] = append(p.unlisted[e], name)
	if engine := p.engines[e]; engine.Loading != name && engine.Unloading != name {
		p.readyUnlisted[name]++
	}
}

// unloadUnlisted adds the unload of an engine's unlisted model, if it is quiet or may be unloaded for
// the wanted one, which may be none. One model is unloaded at a time.
func (p *planner) unloadUnlisted(e int, engine *Engine, wanted int) {
	if engine.Unloading != "" {
		return
	}
	for _, name := range p.unlisted[e] {
		if !p.mayUnloadUnlisted(name, wanted) {
			continue
		}
		urgency := 0.0
		if wanted != none {
			urgency = p.urgency(wanted)
		}
		p.steps = append(p.steps, urgentStep{urgency: urgency, Step: Step{
			Engine: engine.ID, Kind: laburnumlever.Unload, Model: name, Reason: "the manifest no longer lists the model",
		}})
		p.readyUnlisted[name]--
		return
	}
}

// mayUnloadUnlisted tells whether an unlisted model may be unloaded for the wanted one, by the rules for
// listed models: it is quiet, another copy is ready, or the wanted one is missing and has far more
// requests.
func (p *planner) mayUnloadUnlisted(name laburnumlever.ModelName, wanted int) bool {
	if p.quietNames[name] {
		return true
	}
	if wanted == none {
		return false
	}
	return p.readyUnlisted[name] >= 2 || p.copies[wanted] == 0 && p.rates[wanted] > outweighFactor*p.requestRates[name]
}

// mayUnloadAllUnlisted tells whether all unlisted models of an engine may be unloaded for model m.
func (p *planner) mayUnloadAllUnlisted(e, m int) bool {
	return !slices.ContainsFunc(p.unlisted[e], func(name laburnumlever.ModelName) bool { return !p.mayUnloadUnlisted(name, m) })
}

// unlistedSeconds is the expected duration of the unloads of an engine's unlisted models.
func (p *planner) unlistedSeconds(e int) float64 { return unloadTime * float64(len(p.unlisted[e])) }
