package laburnumquarantine

import "time"

const (
	// A new generation of answered parts starts after partAnswersTime or with more than partAnswersGeneration of them. The
	// current and the previous generation are kept.
	partAnswersTime       = 30 * time.Second
	partAnswersGeneration = 8192
)

// PartAnswers knows when requests with a part were last answered.
type PartAnswers struct {
	young, old map[Part]time.Time
	since      time.Time // start of the young generation
}

// NewPartAnswers returns an empty set.
func NewPartAnswers() *PartAnswers { return &PartAnswers{young: map[Part]time.Time{}} }

// Add records an answer that began at a time.
func (a *PartAnswers) Add(part Part, begun, now time.Time) {
	if now.Sub(a.since) >= partAnswersTime || len(a.young) >= partAnswersGeneration {
		a.young, a.old, a.since = map[Part]time.Time{}, a.young, now
	}
	if before := a.Last(part); begun.Before(before) {
		begun = before
	}
	a.young[part] = begun
}

// Last returns when the last known answer to a request with the part began; zero for none.
func (a *PartAnswers) Last(part Part) time.Time {
	if at, ok := a.young[part]; ok {
		return at
	}
	return a.old[part]
}
