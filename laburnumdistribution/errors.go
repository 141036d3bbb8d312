package laburnumdistribution

import "fmt"

// BodyError reports a catalogue from another VM that can't be decoded; the name of the type is the
// kind of the error on the wire if it has no Cause, else the name of the innermost cause's type is.
type BodyError struct {
	Revision uint64
	Cause    error
}

func (e *BodyError) Error() string {
	return fmt.Sprintf("decode catalogue revision %d from another VM: %v", e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// NoCatalogueError is the answer to a pull from a VM that has no catalogue yet.
type NoCatalogueError struct{}

func (e *NoCatalogueError) Error() string { return "this VM has no catalogue yet" }

// TooLargeError reports a catalogue whose unpacked size exceeds Limit, in bytes.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("unpacked size exceeds the limit of %d bytes", e.Limit)
}
