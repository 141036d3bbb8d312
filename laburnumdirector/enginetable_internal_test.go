package laburnumdirector

import (
	"fmt"
	"testing"
	"time"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

// Three thousand engines, and hundreds of gateways that tell every second which adapters they
// used: a look at each engine for each word took a control VM more than its processor, and it
// lost the lease over it. The index must find the same engines as a look at each, whatever came
// and went.
func TestIndexFindsWhoHoldsAModel(t *testing.T) {
	const engines, models = 12, 5
	table := newEngineTable()
	state := uint64(7)
	next := func(n int) int {
		state = state*6364136223846793005 + 1442695040888963407
		return int(state>>33) % n
	}
	name := func(i int) laburnumlever.ModelName { return laburnumlever.ModelName(fmt.Sprintf("m%d", i)) }
	now := time.Unix(1_000_000, 0)
	for range 3000 {
		id := laburnumlever.BackendID(fmt.Sprintf("i-%02d", next(engines)))
		model := laburnumlever.HeldModel{Name: name(next(models))}
		e := table.get(id)
		switch action := next(8); {
		case e == nil || action == 0:
			table.put(newEngine(laburnumlever.Heartbeat{Backend: id, Models: []laburnumlever.HeldModel{model}}, table))
		case action == 1:
			table.remove(id)
		case action < 4:
			e.takeHeartbeat(laburnumlever.Heartbeat{Backend: id, Models: []laburnumlever.HeldModel{model}}, now)
		case action < 6:
			e.takeState(laburnumlever.EngineState{Models: []laburnumlever.HeldModel{model}}, now)
		default:
			e.note(laburnumlever.EngineOrder{Kind: laburnumlever.Load, Model: model.Name}, now)
		}
		for i := range models {
			var want []*engine
			for _, id := range table.ids() {
				if e := table.get(id); e.held[name(i)] != nil {
					want = append(want, e)
				}
			}
			require.Equal(t, want, table.holding(name(i)))
		}
	}
}
