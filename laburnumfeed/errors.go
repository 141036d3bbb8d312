package laburnumfeed

import (
	"fmt"
	"time"
)

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

// PollLateError is a poll that a control VM has not answered in time; it goes on.
type PollLateError struct{ After time.Duration }

func (e *PollLateError) Error() string { return fmt.Sprintf("no answer to a poll after %s", e.After) }
