package laburnumtimer

import "runtime"

// RunLast runs fn on a goroutine of its own, behind those that can run already. The functions of Timers run ahead of them.
func RunLast(fn func()) {
	go func() {
		runtime.Gosched()
		fn()
	}()
}
