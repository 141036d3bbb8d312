package laburnumproxy

import (
	"fmt"
	"time"

	"laburnumlever"
)

// sealedError reports a write to a connection that was sealed when its attempt failed.
type sealedError struct{}

func (e *sealedError) Error() string {
	return "connection sealed: the attempt ended before it was sent"
}

// CrossedAnswerError reports a response that echoes the ID of another attempt: Want is the
// ID of the attempt that waited, Got the one in the response.
type CrossedAnswerError struct{ Want, Got string }

func (e *CrossedAnswerError) Error() string {
	return fmt.Sprintf("response is for attempt %q, want %q", e.Got, e.Want)
}

// BrokenStreamError reports a response that ended before it was complete, or a stream that
// ended without its end marker, after Tokens tokens.
type BrokenStreamError struct {
	Backend laburnumlever.BackendID
	Tokens  int
	Cause   error
}

func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("response of backend server %q is incomplete after %d tokens: %v", e.Backend, e.Tokens, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// ReplayDiffersError reports a replayed stream that does not start with the tokens that the
// caller already has.
type ReplayDiffersError struct{ Backend laburnumlever.BackendID }

func (e *ReplayDiffersError) Error() string {
	return fmt.Sprintf("replay by backend server %q differs from the tokens already forwarded", e.Backend)
}

// NotAnEventError reports bytes in a stream that are no event of it. Line is the beginning of the line, or of the event's data; Cause
// is why that could not be decoded, if it has the form of data.
type NotAnEventError struct {
	Line  string
	Cause error
}

func (e *NotAnEventError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("data of a stream event %q can't be decoded: %v", e.Line, e.Cause)
	}
	return fmt.Sprintf("stream holds %q, which is no event", e.Line)
}

// Unwrap returns the cause.
func (e *NotAnEventError) Unwrap() error { return e.Cause }

// EventTooLongError reports a stream event longer than Limit bytes.
type EventTooLongError struct{ Limit int }

func (e *EventTooLongError) Error() string {
	return fmt.Sprintf("stream event is longer than %d bytes", e.Limit)
}

// CallerGoneError reports that the caller closed its connection before the response was complete.
type CallerGoneError struct{ Cause error }

func (e *CallerGoneError) Error() string {
	return fmt.Sprintf("the caller disconnected: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// DrainTimeoutError reports a drain whose context ended with InFlight requests in flight.
type DrainTimeoutError struct {
	InFlight int
	Cause    error
}

func (e *DrainTimeoutError) Error() string {
	return fmt.Sprintf("drain ended with %d requests in flight: %v", e.InFlight, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainTimeoutError) Unwrap() error { return e.Cause }

// stalledError aborts a request without progress for Idle, or one that took Age in total.
type stalledError struct{ Idle, Age time.Duration }

func (e *stalledError) Error() string {
	return fmt.Sprintf("no progress for %v, %v in total", e.Idle, e.Age)
}

// stoppedError aborts requests in flight when the proxy is closed.
type stoppedError struct{}

func (e *stoppedError) Error() string { return "this VM is shutting down" }

// statusError reports a response status that is not forwarded.
type statusError struct{ Status int }

func (e *statusError) Error() string {
	return fmt.Sprintf("the backend server answered with status %d", e.Status)
}

// noStatusError reports an answer with a status that no final answer has.
type noStatusError struct{ Status int }

func (e *noStatusError) Error() string {
	return fmt.Sprintf("the backend server answered with %03d in the place of a status, want 200 to 599", e.Status)
}

// unframedBodyError reports a response body that only the end of the connection delimits.
type unframedBodyError struct{}

func (e *unframedBodyError) Error() string {
	return "response has neither a Content-Length nor chunked encoding"
}

// notJSONError reports an engine's response that is not JSON.
type notJSONError struct{}

func (e *notJSONError) Error() string { return "response is not complete JSON" }

// emptyStreamError reports a stream whose end marker comes before any other data.
type emptyStreamError struct{}

func (e *emptyStreamError) Error() string { return "stream ends before its first event" }

// engineError reports an error event in an engine's stream.
type engineError struct{ Text string }

func (e *engineError) Error() string { return "the engine ended its stream with an error: " + e.Text }
