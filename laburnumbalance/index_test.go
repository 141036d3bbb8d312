package laburnumbalance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

// Guards against an index by model that misses a server which holds the model.
func TestIndexFindsTheServersThatHoldAModel(t *testing.T) {
	const servers, models = 8, 5
	r := rand.New(rand.NewPCG(3, 1)) //nolint:gosec // repeatable
	table := New("brest", 1)
	now := time.Unix(1_000_000, 0)
	name := func() laburnumlever.ModelName { return laburnumlever.ModelName(fmt.Sprintf("m%d", r.IntN(models))) }
	for sequence := range uint64(3000) {
		id := laburnumlever.BackendID(fmt.Sprintf("i-%d", r.IntN(servers)))
		switch r.IntN(5) {
		case 0:
			table.Set(laburnumregistry.Record{Heartbeat: laburnumlever.Heartbeat{Backend: id}, Gone: true})
		case 1:
			table.ModelLoaded(id, name(), "", now)
		case 2:
			table.SetOverlay(laburnumregistry.Overlay{Backend: id, Fence: sequence, Withdrawn: []laburnumlever.ModelName{name()}}, now)
		case 3:
			now = now.Add(time.Second)
		default:
			h := laburnumlever.Heartbeat{Backend: id, Service: "quotes", Sequence: sequence, Slots: 8, Models: []laburnumlever.EngineModel{{Name: name()}, {Name: name()}}}
			table.Set(laburnumregistry.Record{Heartbeat: h})
		}
		wanted := name()
		var want, got []laburnumlever.BackendID
		for _, s := range table.byService["quotes"] {
			if s.holds(wanted, "", now) {
				want = append(want, s.record.Heartbeat.Backend)
			}
		}
		for _, s := range table.candidates(Query{Service: "quotes", Model: wanted}) {
			if s.holds(wanted, "", now) {
				got = append(got, s.record.Heartbeat.Backend)
			}
		}
		require.ElementsMatch(t, want, got)
	}
}

// BenchmarkPickAmongMany measures a decision when only five of many engines hold the model.
func BenchmarkPickAmongMany(b *testing.B) {
	for _, engines := range []int{18, 204, 2100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			table := New("brest", 1)
			now := time.Unix(1_000_000, 0)
			for i := range engines {
				h := laburnumlever.Heartbeat{Backend: laburnumlever.BackendID(fmt.Sprintf("i-%d", i)), Service: "quotes", Sequence: 1, Slots: 12}
				h.Models = []laburnumlever.EngineModel{{Name: laburnumlever.ModelName(fmt.Sprintf("m%d", i%max(1, engines/5)))}, {Name: "other"}}
				table.Set(laburnumregistry.Record{Heartbeat: h})
			}
			q := Query{Service: "quotes", Model: "m1", Prompt: []laburnumlever.PromptPart{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 70}, {ID: 3, Tokens: 540}}}
			for b.Loop() {
				ticket, _ := table.Pick(q, now)
				table.End(ticket, AttemptResult{}, now)
			}
		})
	}
}
