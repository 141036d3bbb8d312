package laburnumtimer

import (
	"sync"
	"time"

	"laburnumlever"
)

// Gatherer runs a function soon after Poke, at most once in a period: whatever is
// poked meanwhile is done by the one run at the period's end. It may be used from any
// goroutine, also while the caller holds a lock that the function takes.
type Gatherer struct {
	timers laburnumlever.Timers
	period func() time.Duration
	fn     func()

	mu      sync.Mutex
	last    time.Time
	pending bool
}

// NewGatherer makes a gatherer; the period is asked for at each run.
func NewGatherer(timers laburnumlever.Timers, period func() time.Duration, fn func()) *Gatherer {
	return &Gatherer{timers: timers, period: period, fn: fn}
}

// Poke asks for a run: at once if the last one is a period ago, else when it is.
func (g *Gatherer) Poke() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending {
		return
	}
	g.pending = true
	g.timers.After(max(0, g.period()-g.timers.Now().Sub(g.last)), g.run)
}

func (g *Gatherer) run(now time.Time) {
	g.mu.Lock()
	g.last, g.pending = now, false
	g.mu.Unlock()
	g.fn()
}
