package laburnumtimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM's boot, including suspensions. The runtime's monotonic clock stops
// while a VM is suspended, so by that clock a lease would seem valid after its term.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // a kernel without this clock does not suspend
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
