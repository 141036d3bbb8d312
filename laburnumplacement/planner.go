package laburnumplacement

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// Planner plans placement rounds. It is stateless.
type Planner struct{}

// NewPlanner returns a Planner.
func NewPlanner() *Planner { return &Planner{} }

// Plan computes the moves for the fleet in the snapshot.
func (p *Planner) Plan(s Snapshot) Plan {
	f := newFleet(s)
	f.unloadRemovedModels()
	f.repair()
	f.switchVersions()
	f.updateChangedCopies()
	f.allocate()
	f.fillFreeMemory()
	return f.plan()
}

func (f *fleet) plan() Plan {
	slices.SortStableFunc(f.moves, func(a, b Move) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(b.Gain, a.Gain))
	})
	plan := Plan{Moves: f.moves, Unplaced: f.unplaced}
	for i := range f.models {
		if f.models[i].unmet > 0 {
			if plan.Unmet == nil {
				plan.Unmet = make(map[laburnumlever.ModelName]float64)
			}
			plan.Unmet[f.models[i].Name] = f.models[i].unmet
		}
	}
	return plan
}
