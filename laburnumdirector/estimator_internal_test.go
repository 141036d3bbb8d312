package laburnumdirector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

func demandOf(model laburnumlever.ModelName, read time.Duration) laburnumlever.ModelDemand {
	return laburnumlever.ModelDemand{
		Model: model, RequestsPerSecond: 20, PromptTokens: 14000, ReadTime: laburnumlever.Duration(read),
	}
}

// Callers ask as often for a quick model as for a slow one. The quick one makes a tenth of
// the work; counted alike, it would get as many engines.
func TestFasterModelCountsAsLessWork(t *testing.T) {
	s := newEstimator(riseTime, fallTime, quietTime)
	now := time.Unix(1_000_000, 0)
	s.loads(now, 24)
	s.add("g", []laburnumlever.ModelDemand{demandOf("quick", 3333*time.Nanosecond), demandOf("slow", 33333*time.Nanosecond), demandOf("unknown", 0)}, now)
	work, requests := s.loads(now.Add(3*time.Second), 24)
	require.InDelta(t, 10, work["slow"]/work["quick"], 0.5)
	require.InDelta(t, work["slow"], work["unknown"], 0.01, "one that is not measured yet counts as a usual one")
	require.InDelta(t, requests["slow"], requests["quick"], 0.01)
}

// One gateway's answers come from busy engines, another's from one that has time. The
// lower measure counts, and a high one moves it only slowly.
func TestLowerReadTimeIsPreferred(t *testing.T) {
	s := newEstimator(riseTime, fallTime, quietTime)
	now := time.Unix(1_000_000, 0)
	s.add("busy", []laburnumlever.ModelDemand{demandOf("m0", 33*time.Microsecond)}, now)
	s.add("free", []laburnumlever.ModelDemand{demandOf("m0", 3300*time.Nanosecond)}, now)
	for range 5 {
		s.add("busy", []laburnumlever.ModelDemand{demandOf("m0", 33*time.Microsecond)}, now)
	}
	require.Less(t, s.readSeconds("m0"), 0.2*promptSeconds)
}

// The model that most callers ask for falls silent and another rises. Within three seconds
// the estimate must have most of the rise and little of the old demand left: until then the
// planner leaves six engines to a model that nobody asks for.
func TestEstimateFollowsShiftingDemand(t *testing.T) {
	s := newEstimator(riseTime, fallTime, quietTime)
	now := time.Unix(1_000_000, 0)
	step := func(model laburnumlever.ModelName, span time.Duration) (map[laburnumlever.ModelName]float64, time.Time) {
		var requests map[laburnumlever.ModelName]float64
		for end := now.Add(span); now.Before(end); now = now.Add(250 * time.Millisecond) {
			s.add("g", []laburnumlever.ModelDemand{demandOf(model, 0)}, now)
			_, requests = s.loads(now, 24)
		}
		return requests, now
	}
	requests, _ := step("old", 10*time.Second)
	require.Greater(t, requests["old"], 19.0)
	requests, _ = step("new", 3*time.Second)
	require.Greater(t, requests["new"], 18.0)
	require.Less(t, requests["old"], 4.0)
}
