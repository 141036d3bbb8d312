package laburnumoverload

import (
	"sync/atomic"
	"time"

	"laburnumlever"
)

const (
	// period is the time between two measurements.
	period = 100 * time.Millisecond
	// lateTime is how late a call counts: longer than a VM with a fifth of a core waits for the next tenth of a second.
	lateTime = 100 * time.Millisecond
	// lateCalls is the number of late calls in a row from which the process is overloaded.
	lateCalls = 3
)

// Meter measures how late the process gets to run.
type Meter struct {
	timers laburnumlever.Timers
	last   time.Time
	late   int
	// onChange is called when overload begins or ends.
	onChange   func(overloaded bool, lag time.Duration)
	overloaded atomic.Bool
}

// NewMeter returns a meter that measures until the timers are closed. onChange is called when overload begins or ends, with how
// late the last call was.
func NewMeter(timers laburnumlever.Timers, onChange func(overloaded bool, lag time.Duration)) *Meter {
	m := &Meter{timers: timers, last: timers.Now(), onChange: onChange}
	m.schedule()
	return m
}

// Overloaded reports whether the process gets to run late all the time.
func (m *Meter) Overloaded() bool { return m.overloaded.Load() }

// schedule has the next measurement made a period after this one, so that calls that are late don't follow each other at once.
func (m *Meter) schedule() {
	m.timers.After(period, func(time.Time) { m.measure(m.timers.Now()) })
}

func (m *Meter) measure(now time.Time) {
	lag := now.Sub(m.last) - period
	m.last = now
	if lag >= lateTime {
		m.late++
	} else {
		m.late = 0
	}
	if overloaded := m.late >= lateCalls; overloaded != m.overloaded.Load() {
		m.overloaded.Store(overloaded)
		m.onChange(overloaded, lag)
	}
	m.schedule()
}
