package laburnumbacklog

import "time"

const (
	// MaxAnswer is how much of one answer is held at most, in bytes: as much as of an answer that is buffered as a whole.
	MaxAnswer = 1 << 20
	// FreeAnswer is the part of it, in bytes, that is held without a share of the budget, so that each answer can wait for one.
	FreeAnswer = 4 << 10
	// MinSilence is how long a caller must have taken nothing before it is ended for want of budget. Engines wait some seconds as well.
	MinSilence = 3 * time.Second
)

// Answer is what is held for one caller's connection.
type Answer struct {
	held, maxHeld int
	// delivered are the bytes that the caller has acknowledged in all, the last of them at deliveredAt.
	delivered   uint64
	deliveredAt time.Time
	timeout     time.Duration
}

// Held returns the bytes held.
func (a *Answer) Held() int { return a.held }

// MaxHeld returns the most bytes that were held at once.
func (a *Answer) MaxHeld() int { return a.maxHeld }

// Silence returns the time since the caller last took bytes.
func (a *Answer) Silence(now time.Time) time.Duration { return max(0, now.Sub(a.deliveredAt)) }

// Ledger counts what is held for all callers.
type Ledger struct {
	answers map[*Answer]struct{}
	held    int
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{answers: map[*Answer]struct{}{}} }

// Begin adds an answer. Its caller may take nothing for the timeout.
func (l *Ledger) Begin(timeout time.Duration, now time.Time) *Answer {
	a := &Answer{timeout: timeout, deliveredAt: now}
	l.answers[a] = struct{}{}
	return a
}

// End removes an answer with all that it holds, and returns the part of that which counts toward the budget.
func (l *Ledger) End(a *Answer) int64 {
	delete(l.answers, a)
	return l.Release(a, a.held)
}

// Len returns the number of answers.
func (l *Ledger) Len() int { return len(l.answers) }

// Held returns the bytes held for all answers.
func (l *Ledger) Held() int { return l.held }

// Room returns how many of some bytes may be held for an answer if as much of the budget is left, and how much of it they take.
func (l *Ledger) Room(a *Answer, want int, left int64) (n int, charge int64) {
	n = max(0, min(want, MaxAnswer-a.held))
	charge = charged(a.held+n) - charged(a.held)
	if over := charge - max(0, left); over > 0 {
		n, charge = n-int(over), charge-over
	}
	return n, charge
}

// Full reports whether the answer itself, rather than the budget, has no room.
func (a *Answer) Full() bool { return a.held >= MaxAnswer }

// Hold counts bytes that are held from now on.
func (l *Ledger) Hold(a *Answer, n int) {
	a.held += n
	a.maxHeld = max(a.maxHeld, a.held)
	l.held += n
}

// Release counts bytes that are no longer held, and returns the part of them that counted toward the budget.
func (l *Ledger) Release(a *Answer, n int) int64 {
	before := charged(a.held)
	a.held -= n
	l.held -= n
	return before - charged(a.held)
}

// Delivered records how many bytes the caller has acknowledged in all.
func (l *Ledger) Delivered(a *Answer, bytes uint64, now time.Time) {
	if bytes != a.delivered {
		a.delivered, a.deliveredAt = bytes, now
	}
}

// Victim returns the answer that is ended if the budget is short; nil if all callers read.
func (l *Ledger) Victim(now time.Time) *Answer {
	var victim *Answer
	most := 0.0
	for a := range l.answers {
		silence := a.Silence(now)
		if weight := float64(charged(a.held)) * silence.Seconds(); silence >= MinSilence && weight > most {
			victim, most = a, weight
		}
	}
	return victim
}

// Silent returns the answers whose callers have taken nothing for as long as they may.
func (l *Ledger) Silent(now time.Time) []*Answer {
	var silent []*Answer
	for a := range l.answers {
		if a.Silence(now) >= a.timeout {
			silent = append(silent, a)
		}
	}
	return silent
}

// charged is the part of the bytes held for an answer that counts toward the budget.
func charged(held int) int64 { return int64(max(0, held-FreeAnswer)) }
