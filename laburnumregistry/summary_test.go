package laburnumregistry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

// Guards against a status that counts tombstones, or copies on leaving engines.
func TestSummaryExcludesTombstonesAndLeavingEngines(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := laburnumregistry.New(time.Second)
	take := func(id laburnumlever.BackendID, leaving bool, models ...laburnumlever.ModelName) {
		h := laburnumlever.Heartbeat{Backend: id, Service: "quotes", Sequence: 1, Leaving: leaving, Software: "v1"}
		for _, m := range models {
			h.Models = append(h.Models, laburnumlever.EngineModel{Name: m})
		}
		require.True(t, table.ApplyHeartbeat(h, now))
	}
	take("i-1", false, "m0", "m1")
	take("i-2", false, "m0")
	take("i-3", true, "m2")
	take("i-4", false, "m3")
	require.True(t, table.Remove("i-4", now))
	quotes := laburnumlever.RoutedService{Name: "quotes", Engine: &laburnumlever.EngineClass{Models: []laburnumlever.ModelClass{
		{Name: "m0"}, {Name: "m1"}, {Name: "m2"}, {Name: "m3"},
	}}}
	require.Equal(t, []laburnumlever.ServiceStatus{
		{Service: "quotes", Serving: 2, Leaving: 1, Software: map[laburnumlever.SoftwareVersion]int{"v1": 2}, Models: 4, Absent: 2, Copies: 3, Examples: []laburnumlever.ModelName{"m2", "m3"}},
		{Service: "booking"},
	}, table.Summary([]laburnumlever.RoutedService{quotes, {Name: "booking"}}))
}

// Guards against a status whose size grows with the number of models.
func TestSummaryLimitsExamples(t *testing.T) {
	class := &laburnumlever.EngineClass{}
	for i := range 400 {
		class.Models = append(class.Models, laburnumlever.ModelClass{Name: laburnumlever.ModelName(fmt.Sprint("m", i))})
	}
	got := laburnumregistry.New(time.Second).Summary([]laburnumlever.RoutedService{{Name: "quotes", Engine: class}})
	require.Equal(t, 400, got[0].Absent)
	require.Len(t, got[0].Examples, 5)
}

func BenchmarkSummary(b *testing.B) {
	const engines, models, each = 2100, 370, 4
	class := &laburnumlever.EngineClass{}
	for i := range models {
		class.Models = append(class.Models, laburnumlever.ModelClass{Name: laburnumlever.ModelName(fmt.Sprint("m", i))})
	}
	table := laburnumregistry.New(time.Second)
	for i := range engines {
		h := laburnumlever.Heartbeat{Backend: laburnumlever.BackendID(fmt.Sprint("i-", i)), Service: "quotes", Sequence: 1}
		for k := range each {
			h.Models = append(h.Models, laburnumlever.EngineModel{Name: class.Models[(i*each+k)%models].Name})
		}
		table.ApplyHeartbeat(h, time.Unix(1_000_000, 0))
	}
	for b.Loop() {
		table.Summary([]laburnumlever.RoutedService{{Name: "quotes", Engine: class}})
	}
}
