package laburnumnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumcontrol"
	"laburnumlever/laburnumtimer"
)

// Thousands of backend servers report all the time, and a view of them takes 5 ms to
// build. If each report made a view, the control thread would do nothing else; the
// heartbeats behind them in its queue would be late and the VM taken for dead.
func TestViewRebuildsAreRateLimited(t *testing.T) {
	const cost = 5 * time.Millisecond
	timers := laburnumtimer.NewManual(time.Unix(0, 0))
	loop := laburnumcontrol.New()
	built := 0
	p := &publisher{loop: loop, timers: timers, build: func() laburnumlever.View {
		built++
		timers.Advance(cost)
		return laburnumlever.View{}
	}}
	for range 10_000 { // ten seconds of a report each millisecond
		p.markDirty()
		p.publishIfDirty()
		timers.Advance(time.Millisecond)
		loop.Drain()
	}
	require.LessOrEqual(t, built, 11)
	require.GreaterOrEqual(t, built, 9)
}
