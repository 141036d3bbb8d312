package laburnumnode

import "fmt"

// ShutdownError is a shutdown whose limit passed with requests still in flight.
type ShutdownError struct {
	InFlight int
	Cause    error
}

func (e *ShutdownError) Error() string {
	return fmt.Sprintf("shutdown with %d requests still in flight: %v", e.InFlight, e.Cause)
}

// Unwrap returns the cause.
func (e *ShutdownError) Unwrap() error { return e.Cause }
