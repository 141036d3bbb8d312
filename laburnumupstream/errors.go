package laburnumupstream

import "fmt"

// DialError is a connection that could not be made: nothing was sent.
type DialError struct {
	Address string
	Cause   error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// LostError is a request that was sent, in part at least, and has no whole answer.
type LostError struct {
	Address string
	Cause   error
}

func (e *LostError) Error() string { return fmt.Sprintf("no answer of %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// FullError is a backend server to which this VM has as many connections as it may.
type FullError struct {
	Address string
	Limit   int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("all %d connections to %s are in use", e.Limit, e.Address)
}
