package laburnumtimer_test

import (
	"testing"
	"time"

	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// The first poke after a pause runs at once; those that follow within the period are
// done together at its end, so a thousand of them cost one run.
func TestCoalescerRunsOncePerPeriod(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Unix(1_000_000, 0))
	runs := 0
	g := laburnumtimer.NewGatherer(timers, func() time.Duration { return 100 * time.Millisecond }, func() { runs++ })
	g.Poke()
	timers.Advance(0)
	require.Equal(t, 1, runs)
	for range 1000 {
		g.Poke()
	}
	timers.Advance(99 * time.Millisecond)
	require.Equal(t, 1, runs)
	timers.Advance(time.Millisecond)
	require.Equal(t, 2, runs)
	require.Zero(t, timers.Pending())
}
