package laburnumoutlier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumoutlier"
)

func outcome(failed, answered int) []laburnumlever.BackendOutcome {
	return []laburnumlever.BackendOutcome{{Backend: "s-1", Failed: failed, Answered: answered}}
}

// Guards against a failing server that each gateway detects only by failures of its own requests.
func TestFailuresOfDifferentGatewaysAddUp(t *testing.T) {
	d := laburnumoutlier.New()
	now := time.Unix(1_000_000, 0)
	require.Empty(t, d.Add(outcome(1, 0), now))
	require.Equal(t, []laburnumlever.BackendID{"s-1"}, d.Add(outcome(1, 0), now.Add(200*time.Millisecond)))
	require.Empty(t, d.Add(outcome(1, 0), now.Add(400*time.Millisecond)), "detected a moment ago")
	require.NotEmpty(t, d.Add(outcome(1, 0), now.Add(1300*time.Millisecond)))
	require.EqualValues(t, 2, d.Detections("s-1", 0))
	require.Zero(t, d.Detections("s-2", 0))
}

// Guards against healthy servers detected as outliers because of rare errors.
func TestRareFailuresAreNotAnOutlier(t *testing.T) {
	d := laburnumoutlier.New()
	now := time.Unix(1_000_000, 0)
	for i := range 100 {
		require.Empty(t, d.Add(outcome(1, 20), now.Add(time.Duration(i)*10*time.Millisecond)))
	}
	for i := range 100 {
		require.Empty(t, d.Add(outcome(1, 0), now.Add(time.Minute+time.Duration(i)*8*time.Second)), "one failure in eight seconds")
	}
}
