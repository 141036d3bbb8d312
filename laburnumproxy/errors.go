package laburnumproxy

import (
	"fmt"
	"time"

	"laburnumlever"
)

// sealedError is a write on a connection whose attempt has been given up.
type sealedError struct{}

func (e *sealedError) Error() string { return "the attempt was given up before it was sent" }

// CrossedAnswerError is an answer that is not to the attempt that waited for it.
type CrossedAnswerError struct{ Want, Got string }

func (e *CrossedAnswerError) Error() string {
	return fmt.Sprintf("the answer is to attempt %q, not to %q", e.Got, e.Want)
}

// BrokenStreamError is a stream that ended without its end marker.
type BrokenStreamError struct {
	Backend laburnumlever.BackendID
	Tokens  int
	Cause   error
}

func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("the stream of %s ended after %d tokens without its end marker: %v", e.Backend, e.Tokens, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// ReplayDiffersError is a replayed stream that does not start with what the
// caller has already been given.
type ReplayDiffersError struct{ Backend laburnumlever.BackendID }

func (e *ReplayDiffersError) Error() string {
	return fmt.Sprintf("the answer of %s differs from what was already passed on", e.Backend)
}

// EventTooLongError is one event of a stream beyond the bound.
type EventTooLongError struct{ Limit int }

func (e *EventTooLongError) Error() string {
	return fmt.Sprintf("an event of the stream is longer than %d bytes", e.Limit)
}

// CallerGoneError is a caller that takes no more of its answer.
type CallerGoneError struct{ Cause error }

func (e *CallerGoneError) Error() string { return fmt.Sprintf("the caller is gone: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// DrainTimeoutError is a drain that ended with requests still in flight.
type DrainTimeoutError struct {
	InFlight int
	Cause    error
}

func (e *DrainTimeoutError) Error() string {
	return fmt.Sprintf("%d requests were still in flight: %v", e.InFlight, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainTimeoutError) Unwrap() error { return e.Cause }

// stalledError is a request that made no progress, or took too long in all.
type stalledError struct{ Idle, Age time.Duration }

func (e *stalledError) Error() string {
	return fmt.Sprintf("no progress for %v, %v in all", e.Idle, e.Age)
}

// stoppedError is a request cut off because the VM ends at once.
type stoppedError struct{}

func (e *stoppedError) Error() string { return "this VM was stopped" }

// statusError is an answer with a status that can't be passed on.
type statusError struct{ Status int }

func (e *statusError) Error() string { return fmt.Sprintf("the backend server answered %d", e.Status) }

// unmarkedEndError is an answer whose end is only the end of the connection.
type unmarkedEndError struct{}

func (e *unmarkedEndError) Error() string { return "the answer has neither length nor chunks" }

// notJSONError is an answer of an engine that is not JSON.
type notJSONError struct{}

func (e *notJSONError) Error() string { return "the answer is not whole JSON" }

// engineError is an error event within an engine's stream.
type engineError struct{ Text string }

func (e *engineError) Error() string { return "the engine ended its stream with " + e.Text }
