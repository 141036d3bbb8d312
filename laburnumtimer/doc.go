// Package laburnumtimer is the timer service: the one place where parts get the
// time and subscribe to its passing.
//
// # Usage
//
// A process makes one service on the machine's clock and closes it at the end:
//
//	timers := laburnumtimer.New()
//	defer timers.Close()
//	cancel := timers.Every(time.Second, func(now time.Time) { loop.Post(part, tick{now}) })
//
// A test makes a manual one and moves the time itself; due functions run on the
// caller of Advance, in the order of their times, so every run is the same:
//
//	timers := laburnumtimer.NewManual(start)
//	timers.Advance(3 * time.Second)
package laburnumtimer
