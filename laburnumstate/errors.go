package laburnumstate

import "fmt"

// ImageError is a snapshot of the state that can't be written or read.
type ImageError struct{ Cause error }

func (e *ImageError) Error() string { return fmt.Sprintf("state image: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ImageError) Unwrap() error { return e.Cause }
