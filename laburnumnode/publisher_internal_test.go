package laburnumnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnumtimer"
)

// Guards against view rebuilds for each report, which delay heartbeats until the VM is suspected dead.
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
