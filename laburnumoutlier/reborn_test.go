package laburnumoutlier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumoutlier"
)

// Guards against a server that starts again under its identity and pays for the failures of its earlier start.
func TestOutcomesBelongToOneStart(t *testing.T) {
	d := laburnumoutlier.New()
	now := time.Unix(1_000_000, 0)
	add := func(born uint64, failed int) []laburnumlever.BackendID {
		now = now.Add(2 * time.Second)
		return d.Add([]laburnumlever.BackendOutcome{{Backend: "i-1", Incarnation: born, Failed: failed}}, now)
	}
	require.NotEmpty(t, add(5, 10))
	require.EqualValues(t, 1, d.Detections("i-1", 5))
	require.Empty(t, add(7, 1), "a single failure")
	require.Zero(t, d.Detections("i-1", 7))
	require.Empty(t, add(5, 10), "a late report of the earlier start")
	require.Zero(t, d.Detections("i-1", 7))
}
