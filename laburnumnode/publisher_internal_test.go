package laburnumnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnumtimer"
)

// Guards against a view rebuild for each of thousands of backend servers' reports: at 5 ms a
// view, heartbeats would wait in the control thread's queue and the VM be suspected dead.
func TestViewRebuildsAreRateLimited(t *testing.T) {
	const cost = 5 * time.Millisecond
	timers := laburnumtimer.NewManual(time.Unix(0, 0))
	loop := laburnumeventloop.New()
	built := 0
	p := &publisher{loop: loop, timers: timers, build: func() laburnumlever.View {
		built++
		timers.Advance(cost)
		return laburnumlever.View{}
	}}
	for range 10_000 { // ten seconds with one report each millisecond
		p.markDirty()
		p.publishIfDirty()
		timers.Advance(time.Millisecond)
		loop.Drain()
	}
	require.LessOrEqual(t, built, 11)
	require.GreaterOrEqual(t, built, 9)
}
