package laburnumpeer

import (
	"fmt"
	"time"
)

// FrameTooLargeError is a message longer than the bound on frames.
type FrameTooLargeError struct{ Size, Limit int }

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is larger than %d", e.Size, e.Limit)
}

// BackoffError says that no connection was tried since the last try failed
// shortly before.
type BackoffError struct {
	// Wait is the time until the next try.
	Wait time.Duration
	// Cause is the error of the last try.
	Cause error
}

func (e *BackoffError) Error() string {
	return fmt.Sprintf("next try in %v, the last failed: %v", e.Wait, e.Cause)
}

// Unwrap returns the cause.
func (e *BackoffError) Unwrap() error { return e.Cause }

// SilentError says that a connection was closed since the other side did not
// answer a ping.
type SilentError struct{ Silence time.Duration }

func (e *SilentError) Error() string { return fmt.Sprintf("nothing received for %v", e.Silence) }

// ClosedError says that the peers or the connection have been closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "closed" }

// TLSFilesError says that the TLS files could not be read.
type TLSFilesError struct{ Cause error }

func (e *TLSFilesError) Error() string { return fmt.Sprintf("TLS files: %v", e.Cause) }

// Unwrap returns the cause.
func (e *TLSFilesError) Unwrap() error { return e.Cause }

// NoAuthorityError is a file of authorities without any certificate.
type NoAuthorityError struct{ File string }

func (e *NoAuthorityError) Error() string { return fmt.Sprintf("no certificate in %s", e.File) }

// UnknownMethodError is a call to a method without a handler.
type UnknownMethodError struct{ Method string }

func (e *UnknownMethodError) Error() string { return fmt.Sprintf("no method %q", e.Method) }

// OverloadedError says that a VM already works on as many calls as it may.
type OverloadedError struct{ Limit int }

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("already working on %d calls", e.Limit)
}
