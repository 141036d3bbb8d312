// Package laburnumtimer is the timer service, through which components read the clock
// and schedule functions. Tests replace it by a manual clock.
//
// # Usage
//
// A process creates one service on the machine's clock and closes it at its end:
//
//	timers := laburnumtimer.New()
//	defer timers.Close()
//	cancel := timers.Every(time.Second, func(now time.Time) { loop.Post(part, tick{now}) })
//
// A test creates a manual one and advances the time itself. Due functions run on the
// goroutine that calls Advance, in the order of their due times, so that every run is
// the same:
//
//	timers := laburnumtimer.NewManual(start)
//	timers.Advance(3 * time.Second)
package laburnumtimer
