package laburnumplacement_test

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"

	"laburnumlever"
	"laburnumlever/laburnumplacement"

	"github.com/stretchr/testify/require"
)

var printMeasures = flag.Bool("measures", false, "print the table of docs/placement-measures.md")

// The two move costs compared: the minimum gain of a move, in requests per second.
const (
	lowMoveCost  = 0.05
	highMoveCost = 2.0
)

func plannerPolicy() policy {
	planner := laburnumplacement.NewPlanner()
	return func(s laburnumplacement.Snapshot) []laburnumplacement.Move { return planner.Plan(s).Moves }
}

func staticPolicy() policy {
	return func(laburnumplacement.Snapshot) []laburnumplacement.Move { return nil }
}

// proportionalPolicy keeps copies in proportion to the current demand: every round unloads the
// copies above that number and loads those below it, without hysteresis or a move cost. It never
// unloads the last copy.
func proportionalPolicy() policy {
	return func(s laburnumplacement.Snapshot) []laburnumplacement.Move {
		p := newProportionalPlan(s)
		for _, m := range s.Catalogue.Models {
			p.unloadSurplus(m)
		}
		for _, m := range s.Catalogue.Models {
			p.loadMissing(m)
		}
		return p.moves
	}
}

type proportionalPlan struct {
	s     laburnumplacement.Snapshot
	want  map[laburnumlever.ModelName]int
	free  []map[laburnumlever.AcceleratorID]int
	moves []laburnumplacement.Move
}

func newProportionalPlan(s laburnumplacement.Snapshot) *proportionalPlan {
	p := &proportionalPlan{s: s, want: make(map[laburnumlever.ModelName]int)}
	memory, modelMemory, requests := 0, 0, 0.0
	for _, e := range s.Engines {
		free := make(map[laburnumlever.AcceleratorID]int)
		for _, a := range e.Accelerators {
			free[a.ID] = a.MemoryMiB
			if e.Serving {
				memory += a.MemoryMiB
			}
		}
		for _, c := range e.Copies {
			for _, id := range c.Accelerators {
				free[id] -= c.PartMiB
			}
		}
		p.free = append(p.free, free)
	}
	for _, m := range s.Catalogue.Models {
		modelMemory += m.SizeMiB()
		requests += s.Demand[m.Name].Now.Requests
	}
	copies := float64(memory*len(s.Catalogue.Models)) / float64(modelMemory)
	for _, m := range s.Catalogue.Models {
		p.want[m.Name] = max(1, int(math.Round(copies*s.Demand[m.Name].Now.Requests/max(requests, 1))))
	}
	return p
}

func (p *proportionalPlan) copies(m laburnumlever.Model) (list []laburnumplacement.Move, ready int) {
	for _, e := range p.s.Engines {
		for _, c := range e.Copies {
			if c.Model == m.Name && c.Version == m.Version && e.Serving && !c.Draining {
				list = append(list, laburnumplacement.Move{Kind: laburnumlever.Unload, Engine: e.ID, Zone: e.Zone, Copy: c.ModelCopy})
				if c.Ready {
					ready++
				}
			}
		}
	}
	return list, ready
}

func (p *proportionalPlan) unloadSurplus(m laburnumlever.Model) {
	list, ready := p.copies(m)
	for i := 0; i < len(list) && len(list)-i > p.want[m.Name] && ready > 1; i++ {
		p.moves = append(p.moves, list[i])
		ready--
	}
	if ready == 0 {
		return
	}
	for _, e := range p.s.Engines { // old versions, once a new copy is ready
		for _, c := range e.Copies {
			if c.Model == m.Name && c.Version != m.Version && e.AcceptsOrders && !c.Draining {
				p.moves = append(p.moves, laburnumplacement.Move{Kind: laburnumlever.Unload, Engine: e.ID, Zone: e.Zone, Copy: c.ModelCopy})
			}
		}
	}
}

func (p *proportionalPlan) loadMissing(m laburnumlever.Model) {
	list, _ := p.copies(m)
	if len(list) >= p.want[m.Name] {
		return
	}
	for i, e := range p.s.Engines {
		if !e.AcceptsOrders || slices.ContainsFunc(list, func(l laburnumplacement.Move) bool { return l.Engine == e.ID }) {
			continue
		}
		var ids []laburnumlever.AcceleratorID
		for _, a := range e.Accelerators {
			if p.free[i][a.ID] >= m.PartMiB() && len(ids) < m.Span() {
				ids = append(ids, a.ID)
			}
		}
		if len(ids) == m.Span() {
			for _, id := range ids {
				p.free[i][id] -= m.PartMiB()
			}
			l := laburnumlever.ModelCopy{Model: m.Name, Version: m.Version, Accelerators: ids, PartMiB: m.PartMiB()}
			p.moves = append(p.moves, laburnumplacement.Move{Kind: laburnumlever.Load, Engine: e.ID, Zone: e.Zone, Copy: l})
			return
		}
	}
}

// upperBound returns the attainable rate per accelerator if every engine held all models and no
// moves were needed.
func upperBound(t require.TestingT, name, scenario string) float64 {
	w := newSimulation(t, name, scenario, 0)
	all := w.newPartition(w.catalogue.Deployment.Zones, nil)
	w.partitions = []*partition{all}
	for w.second = 0; w.second < hour; w.second++ {
		w.injectFaults(all, nil)
		for _, s := range w.partitions {
			capacity, total := 0.0, 0.0
			for i, e := range w.engines {
				if w.reachable(s, i) {
					capacity += maxUtilization / requestCost(e.Announcement())
				}
			}
			for i, m := range w.catalogue.Models {
				total += w.rate(i, m.Name) * float64(len(s.zones)) / float64(len(all.zones))
			}
			w.attained += min(total, capacity)
		}
	}
	return w.attained / hour / float64(2*len(w.engines))
}

type result struct {
	name          string
	perAccel      float64
	attainedShare float64
	moves         int
	longestOutage int // the longest unavailability of one model, in seconds
	outageSeconds int // unavailable seconds, summed over all models
}

func measure(t require.TestingT, name, scenario string) []result {
	var list []result
	for _, p := range []struct {
		name   string
		cost   float64
		policy policy
	}{
		{"attainment first", lowMoveCost, plannerPolicy()},
		{"moves first", highMoveCost, plannerPolicy()},
		{"static", lowMoveCost, staticPolicy()},
		{"proportional", lowMoveCost, proportionalPolicy()},
	} {
		w := newSimulation(t, name, scenario, p.cost)
		w.run(p.name, p.policy)
		list = append(list, result{
			name: p.name, perAccel: w.attained / hour / float64(2*len(w.engines)), attainedShare: w.attained / w.offered,
			moves: w.moves, longestOutage: w.longestOutage, outageSeconds: w.outageSeconds,
		})
	}
	return list
}

var scenarios = []string{"steady", "tenfold-hour", "engine loss", "zone cut", "catalogue change"}

// Guards against a planner that serves less per accelerator, or moves more, than simple policies; -measures prints all.
func TestMeasures(t *testing.T) {
	for _, name := range []string{"armor-pose", "kvooditalitus"} {
		for _, scenario := range scenarios {
			if !*printMeasures && scenario != "tenfold-hour" {
				continue
			}
			list := measure(t, name, scenario)
			if *printMeasures {
				fmt.Printf("| %s | %s | no-limit bound | %.3f | | | | |\n", name, scenario, upperBound(t, name, scenario))
				for _, r := range list {
					fmt.Printf("| %s | %s | %s | %.3f | %.1f%% | %d | %d | %d |\n", name, scenario, r.name, r.perAccel, 100*r.attainedShare, r.moves, r.longestOutage, r.outageSeconds)
				}
				continue
			}
			best := slices.MaxFunc(list[2:], func(a, b result) int { return cmp.Compare(a.perAccel, b.perAccel) })
			require.Greater(t, list[0].perAccel, best.perAccel)
			require.Less(t, list[1].moves, list[3].moves)
		}
	}
}
