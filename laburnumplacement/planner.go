package laburnumplacement

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// Planner plans rounds. It keeps no state that changes a decision.
type Planner struct{}

// NewPlanner makes a planner.
func NewPlanner() *Planner { return &Planner{} }

// Plan decides the moves for the fleet as the snapshot shows it.
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
