package laburnumgateway

import (
	"fmt"
	"time"

	"laburnumlever"
)

// CrossedAnswerError is an answer with request id Got instead of Want, which is empty for a call of this VM's own.
type CrossedAnswerError struct{ Want, Got string }

func (e *CrossedAnswerError) Error() string {
	if e.Want == "" {
		return fmt.Sprintf("the answer to a call of this VM belongs to request %q", e.Got)
	}
	return fmt.Sprintf("the answer belongs to request %q, not %q", e.Got, e.Want)
}

// AnswerStatusError is an HTTP status of a backend server which means that the attempt failed.
type AnswerStatusError struct {
	Status int
	// Rest is the time for which the server wants nothing; 0 for none.
	Rest time.Duration
}

func (e *AnswerStatusError) Error() string {
	if e.Rest > 0 {
		return fmt.Sprintf("backend server answered with status %d and wants nothing for %s", e.Status, e.Rest)
	}
	return fmt.Sprintf("backend server answered with status %d", e.Status)
}

// ForeignBodyError is a success whose body is not that of a backend server: it has no stamp, or an encoding that nobody asked for.
type ForeignBodyError struct {
	Stamped  bool
	Encoding string
}

func (e *ForeignBodyError) Error() string {
	if !e.Stamped {
		return "the answer has no stamp of a backend server"
	}
	return fmt.Sprintf("the answer's body is encoded (%q), which was not asked for", e.Encoding)
}

// NoStreamError is a success of a streaming route that is no event stream.
type NoStreamError struct {
	Status      int
	ContentType string // empty if the head names none
}

func (e *NoStreamError) Error() string {
	return fmt.Sprintf("the answer is no event stream, which its route calls for: status %d, content type %q", e.Status, e.ContentType)
}

// BrokenAnswerError is an answer that ended before it was complete.
type BrokenAnswerError struct{ Cause error }

func (e *BrokenAnswerError) Error() string {
	return fmt.Sprintf("the answer is incomplete: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenAnswerError) Unwrap() error { return e.Cause }

// AttemptEndedError is an attempt that this VM ended by closing its connection.
type AttemptEndedError struct {
	By    attemptEnd
	Cause error
}

func (e *AttemptEndedError) Error() string {
	return fmt.Sprintf("ended by this VM (%s): %v", e.By, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptEndedError) Unwrap() error { return e.Cause }

// EventGapError is a stream in which event Got came where event Due was due.
type EventGapError struct{ Due, Got int64 }

func (e *EventGapError) Error() string {
	return fmt.Sprintf("event %d of the stream came where event %d was due", e.Got, e.Due)
}

// EventNumberingError is an event with a number in a stream of events without, or the other way round.
type EventNumberingError struct{ HasNumber bool }

func (e *EventNumberingError) Error() string {
	if e.HasNumber {
		return "an event with a number came in a stream of events without"
	}
	return "an event without a number came in a stream of numbered events"
}

// NoEventsError is a stream that ended as complete without an event.
type NoEventsError struct{}

func (e *NoEventsError) Error() string { return "the stream ended as complete without an event" }

// EventCutError is a stream that ended as complete in the middle of an event.
type EventCutError struct{}

func (e *EventCutError) Error() string {
	return "the stream ended as complete in the middle of an event"
}

// BytesAfterEndError is an answer that ended as complete, with more bytes behind it.
type BytesAfterEndError struct{}

func (e *BytesAfterEndError) Error() string { return "more bytes came after the end of the answer" }

// BlankEventsError is a stream in which Count blocks in a row carried nothing.
type BlankEventsError struct{ Count int }

func (e *BlankEventsError) Error() string {
	return fmt.Sprintf("%d blocks of the stream in a row carried no event", e.Count)
}

// EventTooLongError is an event of a stream of which more than Limit bytes came without its end, and for which no more are held.
type EventTooLongError struct{ Limit int }

func (e *EventTooLongError) Error() string {
	return fmt.Sprintf("an event is longer than %d bytes, and no more of it can be held", e.Limit)
}

// AnswerTooLongError is an answer of more than Limit bytes to a call of this VM's own.
type AnswerTooLongError struct{ Limit int }

func (e *AnswerTooLongError) Error() string {
	return fmt.Sprintf("the answer is longer than %d bytes", e.Limit)
}

// CallerGoneError reports that the caller closed its connection before the answer was complete.
type CallerGoneError struct{ Cause error }

func (e *CallerGoneError) Error() string { return fmt.Sprintf("the caller disconnected: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// SlowCallerError is a caller whose connection this VM ended, since the caller had taken nothing for the time of Silence, or that left,
// while Held bytes of its answer were held.
type SlowCallerError struct {
	Outcome heldOutcome
	Held    int
	Silence time.Duration
}

func (e *SlowCallerError) Error() string {
	return fmt.Sprintf("the caller took nothing for %s, %d bytes of its answer were held (%s)", e.Silence, e.Held, e.Outcome)
}

// PanicError is a panic of the gateway's own code at a request.
type PanicError struct{ Value any }

func (e *PanicError) Error() string { return fmt.Sprintf("the gateway panicked: %v", e.Value) }

// VMStoppedError ends the requests in flight when the VM's time to shut down is over.
type VMStoppedError struct{}

func (e *VMStoppedError) Error() string { return "this VM stops and its time to shut down is over" }

// ServerChangedError is a backend server that another incarnation has replaced since it was picked.
type ServerChangedError struct{ Backend laburnumlever.BackendID }

func (e *ServerChangedError) Error() string {
	return fmt.Sprintf("backend server %q has restarted, leaves or is gone", e.Backend)
}

// CrowdedServerError says that an engine has too few free slots for a request of its rank.
type CrowdedServerError struct{ Backend laburnumlever.BackendID }

// Error implements error.
func (e *CrowdedServerError) Error() string {
	return fmt.Sprintf("engine %q leaves its free slots to more urgent requests", e.Backend)
}

// ServerRestsError is a backend server that has asked for rest since it was picked.
type ServerRestsError struct{ Backend laburnumlever.BackendID }

func (e *ServerRestsError) Error() string {
	return fmt.Sprintf("backend server %q has asked for rest", e.Backend)
}
