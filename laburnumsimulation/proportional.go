package laburnumsimulation

import (
	"cmp"
	"slices"

	"laburnumlever"
	"laburnumlever/laburnumdirector"
	"laburnumlever/laburnumresidency"
)

// proportional is a simple baseline: each model has at least one copy, and further copies in
// proportion to its demand as far as memory allows.
func proportional() Policy {
	return productionPolicy().named("proportional", "copies in proportion to demand, as many as there is room for").
		withDirector(laburnumdirector.WithPlanner(planProportional))
}

// planProportional plans one step for each idle engine: it loads the model with the largest deficit
// of copies, or unloads the one with the largest surplus to make room for it.
func planProportional(class *laburnumlever.EngineClass, engines []laburnumresidency.Engine, demand laburnumresidency.Demand, _ map[laburnumlever.ModelName]int, _ ...laburnumresidency.Option) []laburnumresidency.Step {
	p := newProportions(class, engines, demand)
	var steps []laburnumresidency.Step
	for i := range engines {
		e := &engines[i]
		if !e.Idle {
			continue
		}
		lacking, ok := p.largestDeficit(e)
		if !ok {
			continue
		}
		if e.HasMemoryFor(class, p.models[lacking]) {
			steps = append(steps, laburnumresidency.Step{
				Engine: e.ID, Kind: laburnumlever.Load, Model: lacking, FromStore: !slices.Contains(e.InMemory, lacking) && !slices.Contains(e.OnDisk, lacking),
			})
			p.copies[lacking]++
			continue
		}
		if spare, ok := p.largestSurplus(e); ok {
			steps = append(steps, laburnumresidency.Step{Engine: e.ID, Kind: laburnumlever.Unload, Model: spare})
			p.copies[spare]--
		}
	}
	return steps
}

// proportions holds the number of copies that each model has, and its target.
type proportions struct {
	models  map[laburnumlever.ModelName]laburnumlever.ModelClass
	names   []laburnumlever.ModelName
	copies  map[laburnumlever.ModelName]float64
	targets map[laburnumlever.ModelName]float64
}

func newProportions(class *laburnumlever.EngineClass, engines []laburnumresidency.Engine, demand laburnumresidency.Demand) proportions {
	p := proportions{
		models: map[laburnumlever.ModelName]laburnumlever.ModelClass{}, copies: map[laburnumlever.ModelName]float64{},
		targets: map[laburnumlever.ModelName]float64{},
	}
	capacity, total, size := 0.0, 0.0, 0.0
	for _, m := range class.Models {
		p.models[m.Name] = m
		p.names = append(p.names, m.Name)
		total += demand[m.Name]
		size += m.WeightsMB / float64(len(class.Models))
	}
	for _, e := range engines {
		capacity += float64(int(class.WeightsMB / size))
		for _, h := range e.Held {
			p.copies[h.Name]++
		}
	}
	free := max(0, capacity-float64(len(class.Models)))
	for _, m := range class.Models {
		p.targets[m.Name] = 1
		if total > 0 {
			p.targets[m.Name] += free * demand[m.Name] / total
		}
	}
	return p
}

// largestDeficit returns the model furthest below its target among those that the engine does not
// hold.
func (p proportions) largestDeficit(e *laburnumresidency.Engine) (laburnumlever.ModelName, bool) {
	return p.argMax(func(m laburnumlever.ModelName) (float64, bool) {
		return p.targets[m] - p.copies[m], !e.Holds(m) && p.targets[m]-p.copies[m] >= 0.5
	})
}

// largestSurplus returns the model furthest above its target among those that the engine serves.
// The last copy of a model stays.
func (p proportions) largestSurplus(e *laburnumresidency.Engine) (laburnumlever.ModelName, bool) {
	return p.argMax(func(m laburnumlever.ModelName) (float64, bool) {
		return p.copies[m] - p.targets[m], e.Serves(m) && p.copies[m] >= 2 && p.copies[m]-p.targets[m] >= 0.5
	})
}

// argMax returns the model with the largest weight; ties go to the first in the catalogue.
func (p proportions) argMax(weight func(m laburnumlever.ModelName) (float64, bool)) (laburnumlever.ModelName, bool) {
	var best laburnumlever.ModelName
	most, found := 0.0, false
	for _, m := range p.names {
		w, ok := weight(m)
		if ok && (!found || cmp.Compare(w, most) > 0) {
			best, most, found = m, w, true
		}
	}
	return best, found
}
