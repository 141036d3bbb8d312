package laburnumsimulation

import (
	"time"

	"laburnumlever"
)

// clock implements laburnumlever.Timers for a single goroutine, without locks: a simulated day has
// a million events, and the manual timers of tests would spend most of the run in their locks.
type clock struct {
	start    time.Time
	at       time.Duration
	sequence uint64
	heap     []heapEntry
}

// heapEntry is a timer and its due time. Timers due at the same time run in the order in which they
// were added.
type heapEntry struct {
	at       time.Duration
	sequence uint64
	timer    *timer
}

type timer struct {
	fn        func(now time.Time)
	period    time.Duration
	cancelled bool
}

var _ laburnumlever.Timers = (*clock)(nil)

func newClock(start time.Time) *clock { return &clock{start: start} }

// Now implements laburnumlever.Timers.
func (c *clock) Now() time.Time { return c.start.Add(c.at) }

// Every implements laburnumlever.Timers.
func (c *clock) Every(period time.Duration, fn func(now time.Time)) (cancel func()) {
	return c.add(period, period, fn)
}

// After implements laburnumlever.Timers.
func (c *clock) After(d time.Duration, fn func(now time.Time)) (cancel func()) {
	return c.add(d, 0, fn)
}

func (c *clock) add(wait, period time.Duration, fn func(now time.Time)) func() {
	s := &timer{fn: fn, period: period}
	c.push(c.at+max(0, wait), s)
	return func() { s.cancelled = true }
}

// advance runs all timers that are due within the span.
func (c *clock) advance(span time.Duration) {
	end := c.at + span
	for len(c.heap) > 0 && c.heap[0].at <= end {
		next := c.pop()
		c.at = next.at
		if next.timer.cancelled {
			continue
		}
		if next.timer.period > 0 {
			c.push(c.at+next.timer.period, next.timer)
		}
		next.timer.fn(c.Now())
	}
	c.at = end
}

func (c *clock) less(i, j int) bool {
	a, b := &c.heap[i], &c.heap[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

func (c *clock) push(at time.Duration, s *timer) {
	c.sequence++
	c.heap = append(c.heap, heapEntry{at: at, sequence: c.sequence, timer: s})
	for i := len(c.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !c.less(i, parent) {
			return
		}
		c.heap[i], c.heap[parent] = c.heap[parent], c.heap[i]
		i = parent
	}
}

func (c *clock) pop() heapEntry {
	top, last := c.heap[0], len(c.heap)-1
	c.heap[0] = c.heap[last]
	c.heap[last] = heapEntry{}
	c.heap = c.heap[:last]
	for i := 0; ; {
		least, child := i, 2*i+1
		for _, j := range [2]int{child, child + 1} {
			if j < last && c.less(j, least) {
				least = j
			}
		}
		if least == i {
			return top
		}
		c.heap[i], c.heap[least] = c.heap[least], c.heap[i]
		i = least
	}
}
