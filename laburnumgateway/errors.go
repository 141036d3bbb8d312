package laburnumgateway

import "fmt"

// CrossedAnswerError is an answer that belongs to another request.
type CrossedAnswerError struct{ Want, Got string }

func (e *CrossedAnswerError) Error() string {
	return fmt.Sprintf("the answer is to request %q, not %q", e.Got, e.Want)
}

// AnswerStatusError is an answer that says only that the request failed.
type AnswerStatusError struct{ Status int }

func (e *AnswerStatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// BrokenAnswerError is an answer that ended before it was whole.
type BrokenAnswerError struct{ Cause error }

func (e *BrokenAnswerError) Error() string { return fmt.Sprintf("the answer broke off: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenAnswerError) Unwrap() error { return e.Cause }

// EventGapError is a stream that does not go on with the event after the last one.
type EventGapError struct{ Last, Got string }

func (e *EventGapError) Error() string {
	return fmt.Sprintf("the stream goes on with event %q after %q", e.Got, e.Last)
}

// CallerGoneError is a caller whose connection has ended.
type CallerGoneError struct{ Cause error }

func (e *CallerGoneError) Error() string { return fmt.Sprintf("the caller is gone: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// NoPlaceError is a request for which no backend server can be had.
type NoPlaceError struct{ Detail string }

func (e *NoPlaceError) Error() string { return e.Detail }
