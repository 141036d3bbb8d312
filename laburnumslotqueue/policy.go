package laburnumslotqueue

import (
	"time"

	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumretry"
)

const (
	queueShare      = 0.2  // of the caller's patience; the rest is for the answer
	resumeShare     = 0.66 // of a broken stream's abandon gap; the rest is for reading the prompt again
	onTimeShare     = 0.75 // of the latency target; the rest is for reading the prompt and the network
	retryAfterShare = 0.33 // of the time left to the deadline: the upper bound of Retry-After

	// Least values of Retry-After. The overload after a shift of demand lasts seconds: callers that
	// retry sooner are refused again.
	fullRetryAfter   = 2 * time.Second
	absentRetryAfter = 2 * time.Second

	// Bounds of the backoff between two requests to load an adapter.
	minAdapterBackoff = 2 * time.Millisecond
	maxAdapterBackoff = 50 * time.Millisecond

	// Callers abandon a stream after a gap: at least minAbandonGap, and multiples of the latency
	// and pause targets. Source: the platform's protocol.
	minAbandonGap  = 2 * time.Second
	abandonTargets = 4
	abandonPauses  = 8
)

// Caller holds the times that decide how long a caller's request may be queued.
type Caller struct {
	// Arrived is when the request arrived, Deadline when the caller stops waiting.
	Arrived, Deadline time.Time
	// Stream tells that the answer is a stream, which the caller also abandons after a gap.
	Stream bool
	// Target is the latency target of the first part of the answer, PauseTarget that of each
	// further part.
	Target, PauseTarget time.Duration
	// BrokenAt is when the last part of a broken answer was sent; zero if none broke.
	BrokenAt time.Time
}

// AbandonGap returns the gap between two parts after which callers abandon a stream.
func (c Caller) AbandonGap() time.Duration {
	return max(minAbandonGap, abandonTargets*c.Target, abandonPauses*c.PauseTarget)
}

// Patience returns how long the caller waits for the first part of the answer.
func (c Caller) Patience() time.Duration {
	whole := c.Deadline.Sub(c.Arrived)
	if !c.Stream {
		return whole
	}
	return min(whole, c.AbandonGap())
}

// RetryAfter returns the Retry-After of a refused request: between least and twice least, by a
// random number from 0 to 1, so that retries spread, but at most a share of the time left to the
// deadline. It is 0 if least is 0.
func (c Caller) RetryAfter(least time.Duration, random float64, now time.Time) time.Duration {
	if least <= 0 {
		return 0
	}
	return c.BoundRetryAfter(time.Duration(float64(least)*(1+random)), now)
}

// BoundRetryAfter bounds a Retry-After by a share of the time left to the deadline.
func (c Caller) BoundRetryAfter(after time.Duration, now time.Time) time.Duration {
	if c.Deadline.IsZero() {
		return after
	}
	return min(after, time.Duration(retryAfterShare*float64(c.Deadline.Sub(now))))
}

// Policy decides how long requests may be queued, as shares of their callers' times, and when
// refused callers may retry.
type Policy struct {
	wait, resume, onTime float64
	full, absent         time.Duration
}

// DefaultPolicy returns the policy of gateways.
func DefaultPolicy() Policy {
	return Policy{wait: queueShare, resume: resumeShare, onTime: onTimeShare, full: fullRetryAfter, absent: absentRetryAfter}
}

// WithRetryAfter returns the policy with other least values of Retry-After: for full servers, and
// for an absent model or adapter.
func (p Policy) WithRetryAfter(full, absent time.Duration) Policy {
	p.full, p.absent = full, absent
	return p
}

// MinRetryAfter returns the least delay before a retry of a request refused with the verdict.
func (p Policy) MinRetryAfter(verdict laburnumbalance.Verdict) time.Duration {
	switch verdict {
	case laburnumbalance.Full, laburnumbalance.Limited:
		return p.full
	default:
		return p.absent
	}
}

// AdapterBackoff returns the backoff between requests to load an adapter.
func AdapterBackoff() laburnumretry.Backoff {
	return laburnumretry.Backoff{Least: minAdapterBackoff, Most: maxAdapterBackoff}
}

// WithWaitShare returns the policy with another share of the caller's patience.
func (p Policy) WithWaitShare(share float64) Policy {
	p.wait = share
	return p
}

// QueueDeadline returns when a queued request times out.
func (p Policy) QueueDeadline(c Caller) time.Time {
	if c.BrokenAt.IsZero() {
		return c.Arrived.Add(time.Duration(p.wait * float64(c.Patience())))
	}
	return c.BrokenAt.Add(time.Duration(p.resume * float64(c.AbandonGap())))
}

// LoadDeadline returns until when a request waits for the end of a load that is expected by then. The rest of the caller's patience is
// for reading the prompt.
func (p Policy) LoadDeadline(c Caller) time.Time {
	if !c.BrokenAt.IsZero() {
		return p.QueueDeadline(c)
	}
	return c.Arrived.Add(time.Duration(max(p.wait, p.resume) * float64(c.Patience())))
}

// OnTimeUntil returns the latest time at which a slot still lets the answer start in time, or lets
// a broken answer resume before the caller abandons it.
func (p Policy) OnTimeUntil(c Caller) time.Time {
	if c.BrokenAt.IsZero() {
		return c.Arrived.Add(time.Duration(p.onTime * float64(c.Target)))
	}
	return p.QueueDeadline(c)
}
