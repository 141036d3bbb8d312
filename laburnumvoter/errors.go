package laburnumvoter

import "fmt"

// BadEntryError is a committed entry that can't be read; the replica stops.
type BadEntryError struct {
	Index uint64
	Cause error
}

func (e *BadEntryError) Error() string { return fmt.Sprintf("entry %d: %v", e.Index, e.Cause) }

// Unwrap returns the cause.
func (e *BadEntryError) Unwrap() error { return e.Cause }
