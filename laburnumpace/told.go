package laburnumpace

import "time"

const (
	// FreshTime is how long a pace counts after it was told. Machines turn slow or quick again within some hundred milliseconds.
	FreshTime = 200 * time.Millisecond
	// slowPace is the multiple of the usual time from which a server is reported as slow.
	slowPace = 1.5
	// maxPace is the slowest pace that is told apart from slower ones, which can't be meant.
	maxPace = 1000
)

// Told is the pace that one start of a server told last, and the load beside it. The zero value is that of a server that told none.
// It is immutable.
type Told struct {
	pace    float64
	running int
	at      time.Time
}

// With returns what a server tells now: how long work takes there, as a multiple of the usual time, and how many requests run.
func (Told) With(pace float64, running int, now time.Time) Told {
	return Told{pace: min(pace, maxPace), running: running, at: now}
}

// Fresh reports whether the pace still counts.
func (t Told) Fresh(now time.Time) bool { return t.pace > 0 && now.Sub(t.at) <= FreshTime }

// Pace returns the server's pace, which is 1 if it is unknown.
func (t Told) Pace(now time.Time) float64 {
	if !t.Fresh(now) {
		return 1
	}
	return t.pace
}

// Slow reports whether the server is known to be slow.
func (t Told) Slow(now time.Time) bool { return t.Pace(now) >= slowPace }

// Overrun returns by how much the server's pace would have the prompt delay an event of the streams that run there beyond their
// target; 0 if it would not, or if it isn't known to. What a prompt delays at any server is no reason to pass one over.
func (t Told) Overrun(p Prompt, now time.Time) time.Duration {
	if t.running == 0 || !t.Fresh(now) {
		return 0
	}
	return time.Duration(p.overrun(t.pace))
}
