package laburnumpeer

import (
	"fmt"
	"time"
)

// FrameTooLargeError is returned for a message larger than the maximum frame size, in bytes.
type FrameTooLargeError struct{ Size, Limit int }

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes", e.Size, e.Limit)
}

// BackoffError is returned instead of connecting during the backoff after a failed attempt.
type BackoffError struct {
	// Wait is the time until the next attempt.
	Wait time.Duration
	// Cause is the error of the last attempt.
	Cause error
}

func (e *BackoffError) Error() string {
	return fmt.Sprintf("backing off for %v after a failed connection attempt: %v", e.Wait, e.Cause)
}

// Unwrap returns the cause.
func (e *BackoffError) Unwrap() error { return e.Cause }

// SilentError is the cause of closing a connection whose other side did not answer a ping.
type SilentError struct{ Silence time.Duration }

func (e *SilentError) Error() string { return fmt.Sprintf("nothing received for %v", e.Silence) }

// ClosedError is returned after the peers or the connection have been closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "closed" }

// TLSFilesError is returned if the TLS files can't be read or don't fit together.
type TLSFilesError struct{ Cause error }

func (e *TLSFilesError) Error() string { return fmt.Sprintf("load TLS files: %v", e.Cause) }

// Unwrap returns the cause.
func (e *TLSFilesError) Unwrap() error { return e.Cause }

// NoAuthorityError is returned for an authorities file that contains no certificate.
type NoAuthorityError struct{ File string }

func (e *NoAuthorityError) Error() string {
	return fmt.Sprintf("authorities file %s contains no PEM certificate", e.File)
}

// UnknownMethodError is returned for a call to a method without a handler.
type UnknownMethodError struct{ Method string }

func (e *UnknownMethodError) Error() string { return fmt.Sprintf("unknown method %q", e.Method) }

// OverloadedError is returned for a call to a VM that already handles the maximum number of calls.
type OverloadedError struct{ Limit int }

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("all %d handler slots are in use", e.Limit)
}
