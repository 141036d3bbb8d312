package laburnumpeer

import "time"

// silenceAction is what a look at a link asks for.
type silenceAction int

const (
	actionNone  silenceAction = iota // nothing is awaited
	actionWait                       // something is awaited, not for long
	actionPing                       // ask whether the other side is there
	actionClose                      // it is not
)

// pauseThreshold is how late a look shows that this process itself was paused.
const pauseThreshold = 500 * time.Millisecond

// silenceDetector decides when a silent link is dead. It guards against a cut that sends no
// RST and against a frozen VM, which show as calls that never end: only what came
// back after something was sent proves the link, so a send starts the clock and a
// frame received stops it.
type silenceDetector struct {
	unansweredSince time.Time // the oldest send that nothing was received after
	pinged          bool
	checkedAt       time.Time
}

func (d silenceDetector) sent(now, readAt time.Time) silenceDetector {
	if d.unansweredSince.IsZero() || !readAt.Before(d.unansweredSince) {
		d.unansweredSince, d.pinged = now, false
		d.checkedAt = now
	}
	return d
}

func (d silenceDetector) check(now, readAt time.Time, calling bool) (silenceDetector, silenceAction) {
	late := now.Sub(d.checkedAt) > checkPeriod+pauseThreshold
	d.checkedAt = now
	answered := !d.unansweredSince.IsZero() && !readAt.Before(d.unansweredSince)
	switch {
	case d.unansweredSince.IsZero() && !calling, answered && !calling:
		return silenceDetector{checkedAt: now}, actionNone
	case d.unansweredSince.IsZero(), answered, late:
		// After a pause of this process (SIGSTOP, a starved VM) the silence is its
		// own: answers may be waiting unread, so the clock starts anew.
		d.unansweredSince, d.pinged = now, false
		return d, actionWait
	case now.Sub(d.unansweredSince) >= pingAfter+pingTimeout:
		return d, actionClose
	case now.Sub(d.unansweredSince) >= pingAfter && !d.pinged:
		d.pinged = true
		return d, actionPing
	default:
		return d, actionWait
	}
}
