package laburnumfeed

import "fmt"

// MessageError is a message between VMs that can't be decoded.
type MessageError struct {
	Method string
	Cause  error
}

func (e *MessageError) Error() string { return fmt.Sprintf("message %s: %v", e.Method, e.Cause) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }
