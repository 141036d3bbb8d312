package laburnumspread

import "fmt"

// BodyError is a catalogue from another VM that cannot be read.
type BodyError struct {
	Revision uint64
	Cause    error
}

func (e *BodyError) Error() string {
	return fmt.Sprintf("catalogue revision %d from another VM: %v", e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// NoCatalogueError answers a pull on a VM that has none.
type NoCatalogueError struct{}

func (e *NoCatalogueError) Error() string { return "no catalogue yet" }

// TooLargeError is a catalogue that unpacks to more than the bound.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string { return fmt.Sprintf("larger than %d bytes", e.Limit) }
