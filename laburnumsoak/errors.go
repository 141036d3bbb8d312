package laburnumsoak

import (
	"fmt"
	"time"
)

// StartError says that a process could not be started or did not become ready.
type StartError struct {
	Process string
	Cause   error
}

func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Process, e.Cause) }
func (e *StartError) Unwrap() error { return e.Cause }

// NotReadyError says that something did not happen in time before any fault came.
type NotReadyError struct {
	What string
	Time time.Duration
}

func (e *NotReadyError) Error() string { return fmt.Sprintf("%s: not within %s", e.What, e.Time) }
