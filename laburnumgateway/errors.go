package laburnumgateway

import "fmt"

// CrossedAnswerError is an answer with the id of another request.
type CrossedAnswerError struct{ Want, Got string }

func (e *CrossedAnswerError) Error() string {
	return fmt.Sprintf("the answer is to request %q, not %q", e.Got, e.Want)
}

// AnswerStatusError is an error status of a backend server.
type AnswerStatusError struct{ Status int }

func (e *AnswerStatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// BrokenAnswerError is an incomplete answer.
type BrokenAnswerError struct{ Cause error }

func (e *BrokenAnswerError) Error() string { return fmt.Sprintf("the answer broke off: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenAnswerError) Unwrap() error { return e.Cause }

// EventGapError is a stream whose event ids are not consecutive.
type EventGapError struct{ Last, Got string }

func (e *EventGapError) Error() string {
	return fmt.Sprintf("the stream goes on with event %q after %q", e.Got, e.Last)
}

// CallerGoneError is a caller that closed its connection.
type CallerGoneError struct{ Cause error }

func (e *CallerGoneError) Error() string { return fmt.Sprintf("the caller is gone: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }
