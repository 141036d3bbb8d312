package laburnumtimer

import (
	"time"

	"laburnumlever"
)

// Wait passes the time d on the timer service, or less if done is closed before;
// it tells whether the whole time has passed.
func Wait(done <-chan struct{}, timers laburnumlever.Timers, d time.Duration) bool {
	passed := make(chan struct{})
	cancel := timers.After(d, func(time.Time) { close(passed) })
	defer cancel()
	select {
	case <-passed:
		return true
	case <-done:
		return false
	}
}
