package laburnumtimer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a timer service whose time is changed only by Advance. It is safe for
// concurrent use.
type Manual struct {
	mu           sync.Mutex
	now          time.Time
	schedule     schedule
	lastSequence uint64
}

// NewManual returns a timer service whose clock shows the start time.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time that Advance has reached.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Pending returns the number of subscriptions. A test uses it to wait until another
// goroutine has subscribed: an earlier Advance would not count for that subscription.
func (m *Manual) Pending() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.schedule)
}

// Every calls fn once per period until cancel is called.
func (m *Manual) Every(period time.Duration, fn func(now time.Time)) (cancel func()) {
	return m.add(period, period, fn)
}

// After calls fn once, after d, unless cancel is called first.
func (m *Manual) After(d time.Duration, fn func(now time.Time)) (cancel func()) {
	return m.add(d, 0, fn)
}

// Advance advances the clock by d and runs due functions, each with the clock at its
// due time.
func (m *Manual) Advance(d time.Duration) {
	end := m.Now().Add(d)
	for {
		sub, at := m.next(end)
		if sub == nil {
			return
		}
		sub.fn(at)
	}
}

func (m *Manual) add(wait, period time.Duration, fn func(now time.Time)) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastSequence++
	sub := &subscription{due: m.now.Add(wait), sequence: m.lastSequence, period: period, fn: fn}
	heap.Push(&m.schedule, sub)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.schedule.remove(sub)
	}
}

func (m *Manual) next(end time.Time) (*subscription, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.schedule) > 0 && !m.schedule[0].due.After(end) {
		if m.schedule[0].due.After(m.now) {
			m.now = m.schedule[0].due
		}
		sub, _ := m.schedule.popDue(m.now)
		return sub, m.now
	}
	m.now = end
	return nil, end
}
