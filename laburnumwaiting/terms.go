package laburnumwaiting

import "time"

const (
	// waitShare of a caller's patience may pass before it has a slot: the rest is
	// for the answer. One who gets no slot in that time would have got none
	// elsewhere either, and may ask again once.
	waitShare = 0.33
	// resumeShare of the gap after which callers leave a stream may pass before a broken one
	// has a slot to go on at: the rest is for reading the prompt and what was written.
	resumeShare = 0.66
	// freshShare of its target is how long a request may have waited and still be
	// answered in time: the rest is for the reading of its prompt and the network.
	freshShare = 0.75
	// leaveTime, leaveTargets and leavePauses are the platform's word on when
	// callers leave a stream.
	leaveTime    = 2 * time.Second
	leaveTargets = 4
	leavePauses  = 8
	// retryShare of the time left is the latest that callers come back.
	retryShare = 0.33
)

// Caller is what decides how long a request may wait.
type Caller struct {
	// Arrived is when the request came, Deadline when its caller has no use for the answer
	// any more.
	Arrived, Deadline time.Time
	// Stream tells that the caller leaves after a gap, not only at the deadline.
	Stream bool
	// Target is the time to the answer's first part, PauseTarget that between two parts.
	Target, PauseTarget time.Duration
	// BrokenAt is when the caller got the last part of an answer that broke off; zero while
	// none has.
	BrokenAt time.Time
}

// LeaveGap is the gap after which callers leave a stream: leaveTime, leaveTargets times its
// target or leavePauses times its longest pause, whichever is longest.
func (c Caller) LeaveGap() time.Duration {
	return max(leaveTime, leaveTargets*c.Target, leavePauses*c.PauseTarget)
}

// Patience is how long the caller waits for a first part of the answer.
func (c Caller) Patience() time.Duration {
	whole := c.Deadline.Sub(c.Arrived)
	if !c.Stream {
		return whole
	}
	return min(whole, c.LeaveGap())
}

// RetryAfter is when the caller should ask again: as long as told here at least, up to twice
// that as random from 0 to 1 says, so that those refused together do not come back together,
// and so that the caller still has time for the answer then. It is 0 where least is.
func (c Caller) RetryAfter(least time.Duration, random float64, now time.Time) time.Duration {
	if least <= 0 {
		return 0
	}
	after := time.Duration(float64(least) * (1 + random))
	if c.Deadline.IsZero() {
		return after
	}
	return min(after, time.Duration(retryShare*float64(c.Deadline.Sub(now))))
}

// Terms say which share of a caller's time a request may spend in the queue.
type Terms struct{ wait, resume, fresh float64 }

// DefaultTerms are those of a gateway.
func DefaultTerms() Terms { return Terms{wait: waitShare, resume: resumeShare, fresh: freshShare} }

// WithWait returns the terms with another share of the patience for the wait for a slot.
func (t Terms) WithWait(share float64) Terms {
	t.wait = share
	return t
}

// WaitUntil is until when the request may wait for a slot.
func (t Terms) WaitUntil(c Caller) time.Time {
	if c.BrokenAt.IsZero() {
		return c.Arrived.Add(time.Duration(t.wait * float64(c.Patience())))
	}
	return c.BrokenAt.Add(time.Duration(t.resume * float64(c.LeaveGap())))
}

// FreshUntil is until when a slot makes a difference for the request: its answer would
// begin in time, or its broken answer goes on before the caller leaves.
func (t Terms) FreshUntil(c Caller) time.Time {
	if c.BrokenAt.IsZero() {
		return c.Arrived.Add(time.Duration(t.fresh * float64(c.Target)))
	}
	return t.WaitUntil(c)
}
