package laburnumplacement

import (
	"fmt"
	"slices"
	"strings"

	"laburnumlever"
)

// String returns a one-line description of the move and its reason.
func (m Move) String() string {
	text := fmt.Sprintf("%s of %s %s on %s (%s), reason %s", m.Kind, m.Copy.Model, m.Copy.Version, m.Engine, m.Zone, m.Reason)
	if m.For != "" && m.For != m.Copy.Model {
		text += " for " + string(m.For)
	}
	if m.Gain > 0 {
		text += fmt.Sprintf(", expected gain %.2f requests/s", m.Gain)
	}
	return text
}

// Explain returns one line for each copy of a model, with the reason it is kept, and one for each
// move that the round planned for the model.
func Explain(s Snapshot, plan Plan, name laburnumlever.ModelName) []string {
	f := newFleet(s)
	m, ok := f.byName[name]
	if !ok {
		return []string{"the catalogue has no such model"}
	}
	mod := &f.models[m]
	f.allocate()
	lines := []string{fmt.Sprintf(
		"needs %d MiB on each of %d accelerators; current demand %.2f requests/s, peak demand %.2f requests/s; minimum gain of a move %.2f requests/s",
		mod.partMiB, mod.span, mod.demand.Now.Requests, mod.demand.Peak.Requests, f.minMoveGain())}
	for _, p := range mod.copies {
		lines = append(lines, f.explainCopy(m, p))
	}
	if slices.Contains(plan.Unplaced, name) {
		lines = append(lines, "no copy: no engine has free memory for one, and no eviction can make room")
	}
	if unmet := plan.Unmet[name]; unmet > 0 {
		lines = append(lines, fmt.Sprintf("the copies cannot serve %.0f%% of the demand", 100*unmet))
	}
	for _, move := range plan.Moves {
		if move.Copy.Model == name || move.For == name {
			lines = append(lines, "planned: "+move.String())
		}
	}
	return lines
}

func (f *fleet) explainCopy(m int, p *placement) string {
	e := &f.engines[p.engine]
	state := "loading"
	switch {
	case !e.Serving:
		state = "engine unreachable"
	case p.Unloading || p.Draining:
		state = "being unloaded"
	case p.Ready:
		state = "ready"
	}
	ids := make([]string, len(p.Accelerators))
	for i, id := range p.Accelerators {
		ids[i] = string(id)
	}
	return fmt.Sprintf("%s: version %s on %s (%s) %s: %s, serves %.0f%% of the demand",
		state, p.Version, e.ID, e.Zone, strings.Join(ids, "+"), f.purpose(m, p), 100*p.demandShare)
}

// purpose returns the reason why a copy is kept.
func (f *fleet) purpose(m int, p *placement) string {
	if !p.current {
		return "old version, kept until the catalogue's version is ready"
	}
	if !f.resident(p) {
		return "not resident: engine unreachable or leaving, or copy being unloaded"
	}
	inZone, total := 0, 0
	for _, other := range f.models[m].copies {
		if other == p || !f.resident(other) {
			continue
		}
		total++
		if f.engines[other.engine].Zone == f.engines[p.engine].Zone {
			inZone++
		}
	}
	switch {
	case total == 0:
		return "the only copy"
	case inZone == 0:
		return "the only copy in its zone"
	case f.peakDemandLost(p) > 0:
		return "needed for the peak demand of the last half hour"
	default:
		return "surplus, kept because its memory is not needed"
	}
}
