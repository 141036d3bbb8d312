package laburnumdisk

import "fmt"

// DamagedError is a data folder whose content is not what was synced to it.
type DamagedError struct {
	File   string
	Offset int64
	Detail string
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("data folder damaged: %s at byte %d: %s", e.File, e.Offset, e.Detail)
}

// IOError is a file operation that failed.
type IOError struct {
	Operation string
	File      string
	Cause     error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s %s: %v", e.Operation, e.File, e.Cause) }

// Unwrap returns the cause.
func (e *IOError) Unwrap() error { return e.Cause }

// FailedError is a write after one that has failed.
type FailedError struct{ Cause error }

func (e *FailedError) Error() string {
	return fmt.Sprintf("the data folder takes no more writes: %v", e.Cause)
}

// Unwrap returns the first failure.
func (e *FailedError) Unwrap() error { return e.Cause }
