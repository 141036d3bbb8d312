package laburnumtimer

import (
	"time"

	"laburnumlever"
)

// Passed returns a channel that is closed once the time d has passed on the timer service,
// unless cancel is called before.
func Passed(timers laburnumlever.Timers, d time.Duration) (passed <-chan struct{}, cancel func()) {
	over := make(chan struct{})
	return over, timers.After(d, func(time.Time) { close(over) })
}

// Wait passes the time d on the timer service, or less if done is closed before;
// it tells whether the whole time has passed.
func Wait(done <-chan struct{}, timers laburnumlever.Timers, d time.Duration) bool {
	passed, cancel := Passed(timers, d)
	defer cancel()
	select {
	case <-passed:
		return true
	case <-done:
		return false
	}
}
