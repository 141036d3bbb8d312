package laburnumtunnel

import (
	"fmt"
	"syscall"
)

// NoHelperError reports that no other VM could be asked to connect to a server. Cause is nil if none is known.
type NoHelperError struct{ Cause error }

func (e *NoHelperError) Error() string {
	if e.Cause == nil {
		return "no VM is known that could connect to backend servers for this one"
	}
	return fmt.Sprintf("no VM connects to backend servers for this one: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoHelperError) Unwrap() error { return e.Cause }

// ServerUnreachableError reports that a server accepted no connection from the helper either.
type ServerUnreachableError struct {
	Address, Helper string
	// Refused is set if it refused the connection, as the address of a process that has ended does.
	Refused bool
}

func (e *ServerUnreachableError) Error() string {
	if e.Refused {
		return fmt.Sprintf("%s refuses connections from %s as well", e.Address, e.Helper)
	}
	return fmt.Sprintf("%s cannot be reached from %s either", e.Address, e.Helper)
}

// Unwrap returns syscall.ECONNREFUSED if the server refused the connection.
func (e *ServerUnreachableError) Unwrap() error {
	if e.Refused {
		return syscall.ECONNREFUSED
	}
	return nil
}

// HelperError is a helper's answer that it can't help.
type HelperError struct {
	Helper string
	Status int
}

func (e *HelperError) Error() string {
	return fmt.Sprintf("the helper at %s answered with status %d", e.Helper, e.Status)
}
