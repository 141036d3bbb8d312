package laburnumtimer_test

import (
	"testing"
	"time"

	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// Guards against a run for each trigger, and against a first trigger after a pause that waits for a period.
func TestCoalescerRunsOncePerPeriod(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Unix(1_000_000, 0))
	runs := 0
	c := laburnumtimer.NewCoalescer(timers, func() time.Duration { return 100 * time.Millisecond }, func() { runs++ })
	c.Trigger()
	timers.Advance(0)
	require.Equal(t, 1, runs)
	for range 1000 {
		c.Trigger()
	}
	timers.Advance(99 * time.Millisecond)
	require.Equal(t, 1, runs)
	timers.Advance(time.Millisecond)
	require.Equal(t, 2, runs)
	require.Zero(t, timers.Pending())
}
