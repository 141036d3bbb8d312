package laburnumstate

import "fmt"

// ImageError is a snapshot of the state that can't be encoded or decoded.
type ImageError struct{ Cause error }

func (e *ImageError) Error() string {
	return fmt.Sprintf("can't encode or decode the state snapshot: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ImageError) Unwrap() error { return e.Cause }
