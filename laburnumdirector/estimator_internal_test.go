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

// Guards against a fast model that gets as many engines as a slow one with the same request rate.
func TestFasterModelCountsAsLessWork(t *testing.T) {
	s := newEstimator(riseTime, fallTime, quietTime)
	now := time.Unix(1_000_000, 0)
	s.loads(now, 24)
	s.add("g", []laburnumlever.ModelDemand{demandOf("quick", 3333*time.Nanosecond), demandOf("slow", 33333*time.Nanosecond), demandOf("unknown", 0)}, now)
	work, requests := s.loads(now.Add(3*time.Second), 24)
	require.InDelta(t, 10, work["slow"]/work["quick"], 0.5)
	require.InDelta(t, work["slow"], work["unknown"], 0.01, "a model without measurements has the default speed")
	require.InDelta(t, requests["slow"], requests["quick"], 0.01)
}

// Guards against read times that include the waiting time on busy engines.
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

// Guards against engines kept for a model without requests, because its estimate follows a shift of demand slowly.
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
