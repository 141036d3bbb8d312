package laburnumvoter

import "fmt"

// BadEntryError is a committed entry that can't be decoded. It stops the replica.
type BadEntryError struct {
	Index uint64
	Cause error
}

func (e *BadEntryError) Error() string {
	return fmt.Sprintf("committed log entry %d can't be decoded: %v", e.Index, e.Cause)
}

// Unwrap returns the cause.
func (e *BadEntryError) Unwrap() error { return e.Cause }
