package laburnumtimer

import (
	"time"

	"laburnumlever"
)

// AfterChannel returns a channel that is closed once d has passed on the timer service. It is
// never closed if cancel is called first.
func AfterChannel(timers laburnumlever.Timers, d time.Duration) (passed <-chan struct{}, cancel func()) {
	over := make(chan struct{})
	return over, timers.After(d, func(time.Time) { close(over) })
}

// Wait waits until d has passed on the timer service or done is closed. It reports
// whether d has passed.
func Wait(done <-chan struct{}, timers laburnumlever.Timers, d time.Duration) bool {
	passed, cancel := AfterChannel(timers, d)
	defer cancel()
	select {
	case <-passed:
		return true
	case <-done:
		return false
	}
}
