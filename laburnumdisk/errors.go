package laburnumdisk

import "fmt"

// DamagedError is a data folder whose content differs from what was synced to it. Offset is in bytes.
type DamagedError struct {
	File   string
	Offset int64
	Detail string
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("data folder damaged: %s at byte %d: %s", e.File, e.Offset, e.Detail)
}

// IOError is a failed file operation.
type IOError struct {
	Operation string
	File      string
	Cause     error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s %s: %v", e.Operation, e.File, e.Cause) }

// Unwrap returns the cause.
func (e *IOError) Unwrap() error { return e.Cause }

// FailedError is a write that was rejected because an earlier one had failed.
type FailedError struct{ Cause error }

func (e *FailedError) Error() string {
	return fmt.Sprintf("write rejected, since an earlier write to the data folder failed: %v", e.Cause)
}

// Unwrap returns the first failure.
func (e *FailedError) Unwrap() error { return e.Cause }
