package laburnumsoak

import (
	"os"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// processors are the processors that the VMs share, and those that are left to this process.
type processors struct{ vms, own unix.CPUSet }

// shareProcessors leaves the last n of this process's processors to VMs.
func shareProcessors(n int) (*processors, error) {
	var all unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return nil, &ProcessorsError{Wanted: n, Cause: err}
	}
	if n >= all.Count() {
		return nil, &ProcessorsError{Wanted: n, Available: all.Count()}
	}
	p := &processors{own: all}
	for cpu := len(all) * strconv.IntSize; cpu >= 0 && p.vms.Count() < n; cpu-- {
		if all.IsSet(cpu) {
			p.vms.Set(cpu)
			p.own.Clear(cpu)
		}
	}
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return nil, &ProcessorsError{Wanted: n, Available: all.Count(), Cause: err}
	}
	for _, thread := range threads {
		if id, err := strconv.Atoi(thread.Name()); err == nil {
			_ = unix.SchedSetaffinity(id, &p.own) // fails only if the thread has ended
		}
	}
	return p, nil
}

// start starts a process on the processors of the VMs.
func (p *processors) start(start func() error) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.SchedSetaffinity(0, &p.vms); err != nil {
		return &ProcessorsError{Wanted: p.vms.Count(), Cause: err}
	}
	defer func() { _ = unix.SchedSetaffinity(0, &p.own) }() // these were its processors before
	return start()
}
