package laburnumwaiting

import (
	"time"

	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumretry"
)

const (
	queueShare      = 0.2  // of the caller's patience; the rest is for the answer
	resumeShare     = 0.66 // of the gap after which callers leave; the rest is for reading the prompt again
	onTimeShare     = 0.75 // of the latency target; the rest is for reading the prompt and the network
	retryAfterShare = 0.33 // of the time left to the deadline, the latest Retry-After

	// Least Retry-After. Overload after a shift of demand lasts seconds: callers that come
	// back sooner meet it again.
	fullRetryAfter   = 2 * time.Second
	absentRetryAfter = 2 * time.Second

	// Backoff between two requests for an adapter.
	minAdapterBackoff = 2 * time.Millisecond
	maxAdapterBackoff = 50 * time.Millisecond

	// Callers leave a stream after a gap. Source: the platform's protocol.
	minAbandonGap  = 2 * time.Second
	abandonTargets = 4
	abandonPauses  = 8
)

// Caller holds the times that decide how long a request may be queued.
type Caller struct {
	// Arrived is when the request came, Deadline when the caller stops waiting.
	Arrived, Deadline time.Time
	// Stream tells that the caller also leaves after a gap.
	Stream bool
	// Target is the time to the first part of the answer, PauseTarget between two parts.
	Target, PauseTarget time.Duration
	// BrokenAt is when the last part of a broken answer was sent; zero if none broke.
	BrokenAt time.Time
}

// LeaveGap is the gap after which callers leave a stream.
func (c Caller) LeaveGap() time.Duration {
	return max(minAbandonGap, abandonTargets*c.Target, abandonPauses*c.PauseTarget)
}

// Patience is how long the caller waits for the first part of the answer.
func (c Caller) Patience() time.Duration {
	whole := c.Deadline.Sub(c.Arrived)
	if !c.Stream {
		return whole
	}
	return min(whole, c.LeaveGap())
}

// RetryAfter spreads retries between least and twice least, by a random number from 0 to 1,
// and leaves the caller time for the answer. It is 0 where least is.
func (c Caller) RetryAfter(least time.Duration, random float64, now time.Time) time.Duration {
	if least <= 0 {
		return 0
	}
	after := time.Duration(float64(least) * (1 + random))
	if c.Deadline.IsZero() {
		return after
	}
	return min(after, time.Duration(retryAfterShare*float64(c.Deadline.Sub(now))))
}

// Terms are the shares of a caller's time that a request may be queued for, and when callers
// are told to come back.
type Terms struct {
	wait, resume, onTime float64
	full, absent         time.Duration
}

// DefaultTerms are those of a gateway.
func DefaultTerms() Terms {
	return Terms{wait: queueShare, resume: resumeShare, onTime: onTimeShare, full: fullRetryAfter, absent: absentRetryAfter}
}

// WithRetry returns the terms with other least times of Retry-After: for servers that are full,
// and for a model or adapter that is absent.
func (t Terms) WithRetry(full, absent time.Duration) Terms {
	t.full, t.absent = full, absent
	return t
}

// Retry is the least Retry-After of a request refused for the verdict.
func (t Terms) Retry(verdict laburnumbalance.Verdict) time.Duration {
	if verdict == laburnumbalance.Full {
		return t.full
	}
	return t.absent
}

// AdapterBackoff spaces the requests for an adapter that is not loaded yet.
func AdapterBackoff() laburnumretry.Backoff {
	return laburnumretry.Backoff{Least: minAdapterBackoff, Most: maxAdapterBackoff}
}

// WithWait returns the terms with another share of the caller's patience.
func (t Terms) WithWait(share float64) Terms {
	t.wait = share
	return t
}

// WaitUntil is when a queued request times out.
func (t Terms) WaitUntil(c Caller) time.Time {
	if c.BrokenAt.IsZero() {
		return c.Arrived.Add(time.Duration(t.wait * float64(c.Patience())))
	}
	return c.BrokenAt.Add(time.Duration(t.resume * float64(c.LeaveGap())))
}

// FreshUntil is the latest time at which a slot still lets the answer begin in time, or lets
// a broken answer resume before the caller leaves.
func (t Terms) FreshUntil(c Caller) time.Time {
	if c.BrokenAt.IsZero() {
		return c.Arrived.Add(time.Duration(t.onTime * float64(c.Target)))
	}
	return t.WaitUntil(c)
}
