package laburnumtimer

import (
	"sync"
	"time"

	"laburnumlever"
)

// Coalescer runs a function after Trigger, at most once per period: all triggers within
// a period cause one run at its end. It is safe for concurrent use, also by a caller
// that holds a lock which the function acquires.
type Coalescer struct {
	timers laburnumlever.Timers
	period func() time.Duration
	fn     func()

	mu      sync.Mutex
	last    time.Time
	pending bool
}

// NewCoalescer returns a coalescer for fn. period is called for each run.
func NewCoalescer(timers laburnumlever.Timers, period func() time.Duration, fn func()) *Coalescer {
	return &Coalescer{timers: timers, period: period, fn: fn}
}

// Trigger schedules a run: at once if the last one started at least a period ago, else
// when that period ends. It does nothing while a run is scheduled.
func (c *Coalescer) Trigger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending {
		return
	}
	c.pending = true
	c.timers.After(max(0, c.period()-c.timers.Now().Sub(c.last)), c.run)
}

func (c *Coalescer) run(now time.Time) {
	c.mu.Lock()
	c.last, c.pending = now, false
	c.mu.Unlock()
	c.fn()
}
