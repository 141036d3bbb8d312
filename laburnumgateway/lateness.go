package laburnumgateway

import "time"

//go:generate go tool -modfile=../tools/go.mod enumer -type=lateness -transform=kebab -trimprefix=late -output=lateness_gen.go

// lateness is the reason why a complete answer missed its latency targets.
type lateness int

const (
	// lateNot is an answer within its targets.
	lateNot lateness = iota
	// lateWaited is a late first part that would have been on time without the time in the queue.
	lateWaited
	// lateResent is a late first part of a request that was sent more than once.
	lateResent
	// lateReading is a late first part of a request that was sent once: the backend server took too
	// long, usually to read the prompt.
	lateReading
	// latePaused is a first part on time with a later pause above the target.
	latePaused
)

// timing holds the latency targets and the measured times of an answer. A target of 0 means none.
type timing struct {
	target, pauseTarget  time.Duration
	waited, first, pause time.Duration
	sent                 int
}

// lateness returns the first reason, in the order of the constants, without which the answer would
// have been on time.
func (t timing) lateness() lateness {
	switch {
	case t.target > 0 && t.first > t.target && t.first-t.waited <= t.target:
		return lateWaited
	case t.target > 0 && t.first > t.target && t.sent > 1:
		return lateResent
	case t.target > 0 && t.first > t.target:
		return lateReading
	case t.pauseTarget > 0 && t.pause > t.pauseTarget:
		return latePaused
	default:
		return lateNot
	}
}
