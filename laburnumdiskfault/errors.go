package laburnumdiskfault

import "fmt"

// UnavailableError reports that this machine does not allow a process to be supervised. Step is
// the step that failed.
type UnavailableError struct {
	Step  string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("inject disk faults: %s: %v", e.Step, e.Cause)
}
func (e *UnavailableError) Unwrap() error { return e.Cause }
