package laburnumdiskfault

import "fmt"

// UnavailableError says that this machine does not let a process be supervised.
type UnavailableError struct {
	Step  string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("disturb a disk: %s: %v", e.Step, e.Cause)
}
func (e *UnavailableError) Unwrap() error { return e.Cause }
