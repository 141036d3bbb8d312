package laburnumeventloop

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Meter records how the control thread spends its time, by event name. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	since  time.Time
	events map[string]EventTime
	usage  Usage
}

// NewMeter returns a meter for one loop.
func NewMeter() *Meter { return &Meter{since: time.Now(), events: map[string]EventTime{}} }

// EventTime is the number of events with one name and the total time to handle them.
type EventTime struct {
	Event    string
	Count    int
	Duration time.Duration
}

// String formats the value for logs, for example "run 3x 12ms".
func (e EventTime) String() string {
	return fmt.Sprintf("%s %dx %dms", e.Event, e.Count, e.Duration.Milliseconds())
}

// Usage is the control thread's use of a span of time.
type Usage struct {
	Span time.Duration
	// Busy is the total time to handle events.
	Busy time.Duration
	// Longest is the single event that took longest to handle, MaxWait the longest time that
	// an event was queued.
	Longest EventTime
	MaxWait time.Duration
	// Events are the event names with the largest total times, in descending order.
	Events []EventTime
}

// maxEvents bounds the number of event names in a Usage.
const maxEvents = 5

// Take returns the usage since the last call and resets the meter.
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
		return cmp.Or(cmp.Compare(b.Duration, a.Duration), cmp.Compare(a.Event, b.Event))
	})
	usage.Events = usage.Events[:min(len(usage.Events), maxEvents)]
	m.since, m.usage, m.events = now, Usage{}, map[string]EventTime{}
	return usage
}

func (m *Meter) record(event string, waited, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Busy += took
	m.usage.MaxWait = max(m.usage.MaxWait, waited)
	if took > m.usage.Longest.Duration {
		m.usage.Longest = EventTime{Event: event, Count: 1, Duration: took}
	}
	e := m.events[event]
	m.events[event] = EventTime{Event: event, Count: e.Count + 1, Duration: e.Duration + took}
}
