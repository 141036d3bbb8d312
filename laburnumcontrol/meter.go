package laburnumcontrol

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Meter counts what the control thread spends its time on. It may be used from any goroutine.
type Meter struct {
	mu     sync.Mutex
	since  time.Time
	events map[string]EventTime
	usage  Usage
}

// NewMeter makes a meter for one loop.
func NewMeter() *Meter { return &Meter{since: time.Now(), events: map[string]EventTime{}} }

// EventTime is the time that events of one name took.
type EventTime struct {
	Event string
	Count int
	Took  time.Duration
}

// String is the form for logs.
func (e EventTime) String() string {
	return fmt.Sprintf("%s %dx %dms", e.Event, e.Count, e.Took.Milliseconds())
}

// Usage is what a control thread did over a span of time.
type Usage struct {
	Span time.Duration
	// Busy is the time spent on events.
	Busy time.Duration
	// Longest is the event that took most time, Waited the longest that one waited for its
	// turn.
	Longest EventTime
	Waited  time.Duration
	// Events are those that took most time, the most first.
	Events []EventTime
}

// maxEvents bounds the names that a usage lists.
const maxEvents = 5

// Take returns the usage since the last call.
func (m *Meter) Take() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	usage := m.usage
	usage.Span = now.Sub(m.since)
	for _, e := range m.events {
		usage.Events = append(usage.Events, e)
	}
	slices.SortFunc(usage.Events, func(a, b EventTime) int {
		return cmp.Or(cmp.Compare(b.Took, a.Took), cmp.Compare(a.Event, b.Event))
	})
	usage.Events = usage.Events[:min(len(usage.Events), maxEvents)]
	m.since, m.usage, m.events = now, Usage{}, map[string]EventTime{}
	return usage
}

func (m *Meter) record(event string, waited, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Busy += took
	m.usage.Waited = max(m.usage.Waited, waited)
	if took > m.usage.Longest.Took {
		m.usage.Longest = EventTime{Event: event, Count: 1, Took: took}
	}
	e := m.events[event]
	m.events[event] = EventTime{Event: event, Count: e.Count + 1, Took: e.Took + took}
}
