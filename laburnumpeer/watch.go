package laburnumpeer

import "time"

// watchStep is what a look at a link asks for.
type watchStep int

const (
	watchRest  watchStep = iota // nothing is awaited
	watchWait                   // something is awaited, not for long
	watchPing                   // ask whether the other side is there
	watchClose                  // it is not
)

// lateLook is how late a look shows that this process itself was paused.
const lateLook = 500 * time.Millisecond

// watch decides when a silent link is dead. It guards against a cut that sends no
// RST and against a frozen VM, which show as calls that never end: only what came
// back after something was sent proves the link, so a send starts the clock and a
// frame received stops it.
type watch struct {
	since  time.Time // the oldest send that nothing was received after
	pinged bool
	looked time.Time
}

func (w watch) sent(now, readAt time.Time) watch {
	if w.since.IsZero() || !readAt.Before(w.since) {
		w.since, w.pinged = now, false
		w.looked = now
	}
	return w
}

func (w watch) look(now, readAt time.Time, calling bool) (watch, watchStep) {
	late := now.Sub(w.looked) > watchPeriod+lateLook
	w.looked = now
	answered := !w.since.IsZero() && !readAt.Before(w.since)
	switch {
	case w.since.IsZero() && !calling, answered && !calling:
		return watch{looked: now}, watchRest
	case w.since.IsZero(), answered, late:
		// After a pause of this process (SIGSTOP, a starved VM) the silence is its
		// own: answers may be waiting unread, so the clock starts anew.
		w.since, w.pinged = now, false
		return w, watchWait
	case now.Sub(w.since) >= pingAfter+pingTimeout:
		return w, watchClose
	case now.Sub(w.since) >= pingAfter && !w.pinged:
		w.pinged = true
		return w, watchPing
	default:
		return w, watchWait
	}
}
