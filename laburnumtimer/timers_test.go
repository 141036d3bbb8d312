package laburnumtimer_test

import (
	"testing"
	"time"

	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 2, 4, 0, 0, 0, time.UTC)

// Guards against functions that run out of order, or after their cancellation.
func TestManualRunsInOrderOfTime(t *testing.T) {
	m := laburnumtimer.NewManual(start)
	var got []string
	m.After(3*time.Second, func(time.Time) { got = append(got, "after 3") })
	cancel := m.Every(2*time.Second, func(now time.Time) { got = append(got, now.Sub(start).String()) })
	m.Advance(5 * time.Second)
	cancel()
	m.Advance(5 * time.Second)
	require.Equal(t, []string{"2s", "after 3", "4s"}, got)
	require.Equal(t, start.Add(10*time.Second), m.Now())
}

// Guards against a deadlock, or another run, when a function cancels itself.
func TestManualCancelFromWithinAFunction(t *testing.T) {
	m := laburnumtimer.NewManual(start)
	runs := 0
	var cancel func()
	cancel = m.Every(time.Second, func(time.Time) { runs++; cancel() })
	m.Advance(10 * time.Second)
	require.Equal(t, 1, runs)
}

// Guards against functions on the machine's clock that do not run or ignore cancellation.
func TestTimersRunAndCancel(t *testing.T) {
	timers := laburnumtimer.New()
	defer timers.Close()
	ran := make(chan struct{})
	timers.After(time.Millisecond, func(time.Time) { close(ran) })
	<-ran
	cancelled := timers.After(time.Hour, func(time.Time) { t.Error("function ran after its cancellation") })
	cancelled()
}
