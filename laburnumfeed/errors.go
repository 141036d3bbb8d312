package laburnumfeed

import "fmt"

// MessageError is returned for a message between VMs that can't be encoded or decoded.
type MessageError struct {
	Method string
	Cause  error
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("invalid message for method %s: %v", e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }
