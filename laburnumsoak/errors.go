package laburnumsoak

import (
	"fmt"
	"time"
)

// StartError reports that a process could not be started or did not become ready.
type StartError struct {
	Process string
	Cause   error
}

func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Process, e.Cause) }
func (e *StartError) Unwrap() error { return e.Cause }

// NotReadyError reports that a condition, named by What, was not met within Time: the first change
// and requests before any fault, or the readiness of a started process.
type NotReadyError struct {
	What string
	Time time.Duration
}

func (e *NotReadyError) Error() string { return fmt.Sprintf("%s: not met within %s", e.What, e.Time) }

// ProcessorsError reports that VMs can't be given Wanted processors of the Available ones.
type ProcessorsError struct {
	Wanted, Available int
	Cause             error
}

func (e *ProcessorsError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("VMs can't share %d processors: this process has %d and needs one itself", e.Wanted, e.Available)
	}
	return fmt.Sprintf("VMs can't share %d processors: %v", e.Wanted, e.Cause)
}

// Unwrap returns the cause.
func (e *ProcessorsError) Unwrap() error { return e.Cause }
