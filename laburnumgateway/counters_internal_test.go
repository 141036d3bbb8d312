package laburnumgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"laburnumlever"
)

// Guards against latencies that are attributed to no service, or to the engine rather than the queue.
func TestLatenciesAreRecordedPerService(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	c := newCounters(scope)
	start := time.Unix(1_000_000, 0)
	q := &request{service: laburnumlever.RoutedService{Name: "quotes"}, arrived: start, waited: 70 * time.Millisecond}
	c.recordAnswer(q, &answer{firstAt: start.Add(120 * time.Millisecond), lastAt: start.Add(3 * time.Second), pause: 40 * time.Millisecond})
	got := map[string]int64{}
	for _, h := range scope.Snapshot().Histograms() {
		require.Equal(t, "quotes", h.Tags()["service"])
		for upper, n := range h.Durations() {
			if n > 0 {
				got[h.Name()+" "+upper.String()] = n
			}
		}
	}
	require.Equal(t, map[string]int64{
		"wait_seconds 100ms": 1, "first_part_seconds 150ms": 1, "answer_seconds 4s": 1, "pause_seconds 50ms": 1,
	}, got)
}

// BenchmarkRecordAnswer measures the cost of the histograms per request.
func BenchmarkRecordAnswer(b *testing.B) {
	c := newCounters(tally.NewTestScope("", nil))
	start := time.Unix(1_000_000, 0)
	q := &request{service: laburnumlever.RoutedService{Name: "quotes"}, arrived: start, waited: 70 * time.Millisecond}
	out := &answer{firstAt: start.Add(120 * time.Millisecond), lastAt: start.Add(3 * time.Second), pause: 40 * time.Millisecond}
	for b.Loop() {
		c.recordAnswer(q, out)
	}
}
