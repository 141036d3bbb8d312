package laburnumgateway

import "time"

//go:generate go tool -modfile=../tools/go.mod enumer -type=lateness -transform=kebab -trimprefix=late -output=lateness_gen.go

// lateness says why a caller got a whole answer too late to be on time.
type lateness int

const (
	// lateNot is an answer on time.
	lateNot lateness = iota
	// lateWaited would have been on time without the wait for a place.
	lateWaited
	// lateResent went to more than one backend server before its first part came.
	lateResent
	// lateReading had its first part late from the one backend server that it went to.
	lateReading
	// latePaused began on time and then had too long a pause.
	latePaused
)

// timing is what decides whether an answer is on time. A target of 0 is none.
type timing struct {
	target, pauseTarget  time.Duration
	waited, first, pause time.Duration
	sends                int
}

// lateness names the largest single reason: what alone, taken away, would have been enough
// comes first.
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
