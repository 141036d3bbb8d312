package laburnumpeer

import "time"

// silenceAction is the result of a check of a link for silence.
type silenceAction int

const (
	actionNone  silenceAction = iota // no answer is awaited
	actionWait                       // an answer is awaited; check again later
	actionPing                       // send a ping
	actionClose                      // the ping was not answered: close the connection
)

// pauseThreshold is the delay of a check above which this process itself is taken to have been paused.
const pauseThreshold = 500 * time.Millisecond

// silenceDetector decides when a silent link is dead. It guards against calls that hang because of a
// partition that sends no RST or a frozen VM. Only a frame received after a send proves that the link
// works, so a send starts the timer and a received frame stops it.
type silenceDetector struct {
	// pingTimeout is how long an answer to a ping may take.
	pingTimeout     time.Duration
	unansweredSince time.Time // time of the oldest send after which nothing was received
	pinged          bool
	checkedAt       time.Time
}

// sent records a send.
func (d silenceDetector) sent(now, readAt time.Time) silenceDetector {
	if d.unansweredSince.IsZero() || !readAt.Before(d.unansweredSince) {
		d.unansweredSince, d.pinged = now, false
		d.checkedAt = now
	}
	return d
}

// check returns the action to take at time now. readAt is when the last frame was received; calling is
// set while calls are in progress.
func (d silenceDetector) check(now, readAt time.Time, calling bool) (silenceDetector, silenceAction) {
	late := now.Sub(d.checkedAt) > checkPeriod+pauseThreshold
	d.checkedAt = now
	answered := !d.unansweredSince.IsZero() && !readAt.Before(d.unansweredSince)
	switch {
	case d.unansweredSince.IsZero() && !calling, answered && !calling:
		return silenceDetector{pingTimeout: d.pingTimeout, checkedAt: now}, actionNone
	case d.unansweredSince.IsZero(), answered, late:
		// After a pause of this process (SIGSTOP, CPU starvation) the silence is its own: answers
		// may be waiting unread, so the timer restarts.
		d.unansweredSince, d.pinged = now, false
		return d, actionWait
	case now.Sub(d.unansweredSince) >= pingAfter+d.pingTimeout:
		return d, actionClose
	case now.Sub(d.unansweredSince) >= pingAfter && !d.pinged:
		d.pinged = true
		return d, actionPing
	default:
		return d, actionWait
	}
}
