package laburnumroles

import "fmt"

// ListenError is an address that can't be listened on.
type ListenError struct {
	Name, Address string
	Cause         error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen on %s address %s: %v", e.Name, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// StartError is a part that did not start.
type StartError struct {
	Part  string
	Cause error
}

func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }
