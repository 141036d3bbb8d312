package laburnumplacement_test

import (
	"fmt"
	"testing"

	"laburnumlever"
	"laburnumlever/laburnumplacement"
)

// emptyFleet returns a fleet without copies: old and new engines with eight accelerators each in
// seven zones, and demand for every model.
func emptyFleet(engines, modelCount int) laburnumplacement.Snapshot {
	s := laburnumplacement.Snapshot{Demand: make(map[laburnumlever.ModelName]laburnumplacement.Demand)}
	s.Catalogue = catalogueOf(modelCount, 0)
	for i := range s.Catalogue.Models {
		m := &s.Catalogue.Models[i]
		m.WeightsMiB = 8000 + 1500*(i%20)
		m.Accelerators = 1 + i%2
		rates := laburnumplacement.Rates{Requests: float64(1 + i%40), PromptTokens: 300 * float64(1+i%40), AnswerTokens: 200 * float64(1+i%40)}
		s.Demand[m.Name] = laburnumplacement.Demand{Now: rates, Peak: rates}
	}
	for i := range engines {
		e := laburnumplacement.Engine{
			ID: laburnumlever.BackendID(fmt.Sprintf("e%04d", i)), Zone: laburnumlever.ZoneName(fmt.Sprintf("z%d", i%7)),
			Serving: true, AcceptsOrders: true, TokensPerSecond: 2000 + 3000*float64(i%2), PrefillTokensPerSecond: 20000 + 30000*float64(i%2),
		}
		for a := range 8 {
			e.Accelerators = append(e.Accelerators, laburnumlever.Accelerator{
				ID: laburnumlever.AcceleratorID(fmt.Sprintf("a%d", a)), MemoryMiB: 40000 + 40000*(i%2),
			})
		}
		s.Engines = append(s.Engines, e)
	}
	return s
}

// settledFleet plans and applies rounds until there are no more moves, at most 200.
func settledFleet(engines, modelCount int) laburnumplacement.Snapshot {
	s := emptyFleet(engines, modelCount)
	for range 200 {
		plan := laburnumplacement.NewPlanner().Plan(s)
		if len(plan.Moves) == 0 {
			break
		}
		applyUnchecked(&s, plan.Moves)
	}
	return s
}

// applyUnchecked carries out loads without the checks of applyMoves.
func applyUnchecked(s *laburnumplacement.Snapshot, moves []laburnumplacement.Move) {
	at := make(map[laburnumlever.BackendID]int, len(s.Engines))
	for i, e := range s.Engines {
		at[e.ID] = i
	}
	for _, m := range moves {
		e := &s.Engines[at[m.Engine]]
		if m.Kind == laburnumlever.Load {
			c := laburnumplacement.Copy{ModelCopy: m.Copy, Stable: true}
			c.Ready = true
			e.Copies = append(e.Copies, c)
		}
	}
}

// fleetWithReplicas fills the free memory of a settled fleet with more copies, as after a day of
// demand.
func fleetWithReplicas(engines, modelCount int) laburnumplacement.Snapshot {
	s := settledFleet(engines, modelCount)
	for i := range s.Engines {
		e := &s.Engines[i]
		for a, acc := range e.Accelerators {
			m := s.Catalogue.Models[(i*8+a)%modelCount]
			used := 0
			for _, c := range e.Copies {
				for _, id := range c.Accelerators {
					if id == acc.ID {
						used += c.PartMiB
					}
				}
			}
			if m.Span() > 1 || used+m.PartMiB() > acc.MemoryMiB {
				continue
			}
			c := laburnumplacement.Copy{Stable: true, ModelCopy: laburnumlever.ModelCopy{
				Model: m.Name, Version: m.Version, PartMiB: m.PartMiB(), Ready: true, Accelerators: []laburnumlever.AcceleratorID{acc.ID},
			}}
			e.Copies = append(e.Copies, c)
		}
	}
	return s
}

// BenchmarkPlanFull measures one round on a full fleet.
func BenchmarkPlanFull(b *testing.B) {
	for _, size := range [][2]int{{20, 30}, {300, 130}, {2100, 370}} {
		b.Run(fmt.Sprintf("engines=%d", size[0]), func(b *testing.B) {
			s := fleetWithReplicas(size[0], size[1])
			copies := 0
			for _, e := range s.Engines {
				copies += len(e.Copies)
			}
			b.ResetTimer()
			for b.Loop() {
				laburnumplacement.NewPlanner().Plan(s)
			}
			b.ReportMetric(float64(copies), "copies")
		})
	}
}

// BenchmarkPlanCold measures the first round on an empty fleet.
func BenchmarkPlanCold(b *testing.B) {
	for _, size := range [][2]int{{20, 30}, {300, 130}, {2100, 370}} {
		b.Run(fmt.Sprintf("engines=%d", size[0]), func(b *testing.B) {
			s := emptyFleet(size[0], size[1])
			for b.Loop() {
				laburnumplacement.NewPlanner().Plan(s)
			}
		})
	}
}

// BenchmarkFits measures the check of a catalogue when it is applied.
func BenchmarkFits(b *testing.B) {
	for _, size := range [][2]int{{20, 30}, {2100, 370}} {
		b.Run(fmt.Sprintf("engines=%d", size[0]), func(b *testing.B) {
			s := emptyFleet(size[0], size[1])
			var backends []laburnumlever.Backend
			for _, e := range s.Engines {
				backends = append(backends, laburnumlever.Backend{Announcement: laburnumlever.Announcement{
					Backend: e.ID, Zone: e.Zone, Accelerators: e.Accelerators,
				}})
			}
			for b.Loop() {
				_, _ = laburnumplacement.Fits(s.Catalogue, backends)
			}
		})
	}
}
