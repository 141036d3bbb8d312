package laburnumtimer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a timer service whose time moves only by Advance.
type Manual struct {
	mu           sync.Mutex
	now          time.Time
	schedule     schedule
	lastSequence uint64
}

// NewManual starts at the given time.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now is the time that Advance has reached.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Pending is how many subscriptions wait for their time: a test that Advances before
// another goroutine has begun its wait would pass nothing.
func (m *Manual) Pending() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.schedule)
}

// Every calls fn once each period until cancel is called.
func (m *Manual) Every(period time.Duration, fn func(now time.Time)) (cancel func()) {
	return m.add(period, period, fn)
}

// After calls fn once after d unless cancel is called before.
func (m *Manual) After(d time.Duration, fn func(now time.Time)) (cancel func()) {
	return m.add(d, 0, fn)
}

// Advance moves the time on, stopping at each due time to run what is due then.
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
