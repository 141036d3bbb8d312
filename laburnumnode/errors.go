package laburnumnode

import "fmt"

// ShutdownError reports that the shutdown limit passed with requests in flight.
type ShutdownError struct {
	InFlight int
	Cause    error
}

func (e *ShutdownError) Error() string {
	return fmt.Sprintf("shutdown with %d requests still in flight: %v", e.InFlight, e.Cause)
}

// Unwrap returns the cause.
func (e *ShutdownError) Unwrap() error { return e.Cause }
