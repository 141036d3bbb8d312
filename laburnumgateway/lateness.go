package laburnumgateway

import "time"

//go:generate go tool -modfile=../tools/go.mod enumer -type=lateness -transform=kebab -trimprefix=late -output=lateness_gen.go

// lateness is the reason why a complete answer was late.
type lateness int

const (
	// lateNot is an answer on time.
	lateNot lateness = iota
	// lateWaited would have been on time without queueing.
	lateWaited
	// lateResent was sent to more than one backend server before its first part.
	lateResent
	// lateReading got its first part late from the only backend server.
	lateReading
	// latePaused began on time and paused too long.
	latePaused
)

// timing holds the targets and the times of an answer. A target of 0 is none.
type timing struct {
	target, pauseTarget  time.Duration
	waited, first, pause time.Duration
	sends                int
}

// lateness returns the first reason without which the answer would have been on time.
func (t timing) lateness() lateness {
	switch {
	case t.target > 0 && t.first > t.target && t.first-t.waited <= t.target:
		return lateWaited
	case t.target > 0 && t.first > t.target && t.sends > 1:
		return lateResent
	case t.target > 0 && t.first > t.target:
		return lateReading
	case t.pauseTarget > 0 && t.pause > t.pauseTarget:
		return latePaused
	default:
		return lateNot
	}
}
