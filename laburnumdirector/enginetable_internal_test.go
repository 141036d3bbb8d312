package laburnumdirector

import (
	"fmt"
	"testing"
	"time"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

// Guards against an index of holders that differs from the result of a scan of all engines.
func TestHolderIndexMatchesFullScan(t *testing.T) {
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
		model := laburnumlever.EngineModel{Name: name(next(models))}
		e := table.get(id)
		switch action := next(8); {
		case e == nil || action == 0:
			table.put(newEngine(laburnumlever.Heartbeat{Backend: id, Models: []laburnumlever.EngineModel{model}}, table))
		case action == 1:
			table.remove(id)
		case action < 4:
			e.applyHeartbeat(laburnumlever.Heartbeat{Backend: id, Models: []laburnumlever.EngineModel{model}}, now)
		case action < 6:
			e.applyState(laburnumlever.EngineState{Models: []laburnumlever.EngineModel{model}}, now)
		default:
			e.recordLoad(laburnumlever.EngineOrder{Kind: laburnumlever.Load, Model: model.Name}, now)
		}
		for i := range models {
			var want []*engine
			for _, id := range table.ids() {
				if e := table.get(id); e.held[name(i)] != nil {
					want = append(want, e)
				}
			}
			require.Equal(t, want, table.holdersOf(name(i)))
		}
	}
}
