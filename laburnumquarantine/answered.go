package laburnumquarantine

import (
	"time"

	"laburnumlever"
)

const (
	// A new generation of answered requests starts after answeredTime or with more than
	// answeredGeneration of them. The current and the previous generation are kept. The time is
	// short, as a request may begin to crash servers after one of their updates.
	answeredTime       = 10 * time.Second
	answeredGeneration = 4096
)

// Answered is the set of the requests that were answered last. Callers may send the same request all
// the time, such as a lookup: several of it are on servers that crash together, but it did not crash
// them.
type Answered struct {
	young, old map[laburnumlever.RequestDigest]struct{}
	since      time.Time // start of the young generation
}

// NewAnswered returns an empty set.
func NewAnswered() *Answered { return &Answered{} }

// Add records a complete answer.
func (a *Answered) Add(digest laburnumlever.RequestDigest, now time.Time) {
	a.age(now)
	if len(a.young) >= answeredGeneration {
		a.nextGeneration(now)
	}
	if a.young == nil {
		a.young = map[laburnumlever.RequestDigest]struct{}{}
	}
	a.young[digest] = struct{}{}
}

// Contains reports whether the request was answered recently.
func (a *Answered) Contains(digest laburnumlever.RequestDigest, now time.Time) bool {
	a.age(now)
	_, young := a.young[digest]
	_, old := a.old[digest]
	return young || old
}

// age drops what is older than two generations.
func (a *Answered) age(now time.Time) {
	switch passed := now.Sub(a.since); {
	case passed >= 2*answeredTime:
		a.nextGeneration(now)
		a.old = nil
	case passed >= answeredTime:
		a.nextGeneration(now)
	default:
	}
}

func (a *Answered) nextGeneration(now time.Time) { a.old, a.young, a.since = a.young, nil, now }
