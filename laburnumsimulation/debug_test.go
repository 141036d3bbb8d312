package laburnumsimulation

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdirector"
	"laburnumlever/laburnumresidency"
)

func TestDebug(t *testing.T) {
	file := os.Getenv("DEBUGSCENARIO")
	if file == "" {
		t.Skip()
	}
	s, err := Load(file)
	if err != nil {
		t.Fatal(err)
	}
	p := today()
	p.director = func(sim *simulation) []laburnumdirector.Option {
		last := time.Time{}
		return []laburnumdirector.Option{laburnumdirector.WithPlanner(func(class *laburnumlever.EngineClass, engines []laburnumresidency.Engine, demand laburnumresidency.Demand, adapters map[laburnumlever.ModelName]int, opts ...laburnumresidency.Option) []laburnumresidency.Step {
			steps := laburnumresidency.Next(class, engines, demand, adapters, opts...)
			now := sim.now()
			if sim.began.IsZero() || now.Sub(last) < 2*time.Second {
				return steps
			}
			last = now
			copies := map[laburnumlever.ModelName]int{}
			total := 0
			idle := 0
			for _, e := range engines {
				if e.Idle {
					idle++
				}
				for _, h := range e.Held {
					copies[h.Name]++
					total++
				}
			}
			type row struct {
				m laburnumlever.ModelName
				d float64
			}
			var rows []row
			sum := 0.0
			for m, d := range demand {
				rows = append(rows, row{m, d})
				sum += d
			}
			slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(b.d, a.d) })
			fmt.Printf("%.1f engines %d idle %d copies %d models held %d demand %.1f over %d models steps %d young %d\n", sim.elapsed().Seconds(), len(engines), idle, total, len(copies), sum, len(demand), len(steps), 0)
			for _, r := range rows[:min(16, len(rows))] {
				fmt.Printf("  %s %.2f x%d", r.m, r.d, copies[r.m])
			}
			spare := 0
			for m, n := range copies {
				if demand[m] < 0.1 {
					spare += n - 1
				}
			}
			fmt.Printf("\n  spare copies of idle models %d\n", spare)
			var works []string
			for _, e := range engines {
				w := 0.0
				for _, h := range e.Held {
					if e.Serves(h.Name) && e.Loading != h.Name {
						w += demand[h.Name] / float64(copies[h.Name])
					}
				}
				b := sim.byID[e.ID].batch.size()
				works = append(works, fmt.Sprintf("%.1f/%d", w, b))
			}
			fmt.Println("   ", works)
			kinds := map[string]int{}
			for _, st := range steps {
				kinds[st.Kind.String()+" "+st.Reason]++
			}
			fmt.Println("  ", kinds)
			return steps
		})}
	}
	Run(s, p, 1)
}
