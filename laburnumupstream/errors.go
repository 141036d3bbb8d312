package laburnumupstream

import (
	"fmt"
	"time"
)

// DialError reports that no connection to Address could be made, through another VM if Tunnelled is set. Nothing was
// sent.
type DialError struct {
	Address   string
	Tunnelled bool
	Cause     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// DialTimeoutError reports that Address did not accept a connection within After. It is a net.Error.
type DialTimeoutError struct {
	Address string
	After   time.Duration
}

func (e *DialTimeoutError) Error() string {
	return fmt.Sprintf("%s accepted no connection within %v: i/o timeout", e.Address, e.After)
}

// Timeout returns true.
func (e *DialTimeoutError) Timeout() bool { return true }

// Temporary returns true.
func (e *DialTimeoutError) Temporary() bool { return true }

// LostError reports that at least part of a request may have been sent to Address and that no
// complete response head arrived. It is unknown whether the backend server ran the request.
type LostError struct {
	Address string
	Cause   error
}

func (e *LostError) Error() string { return fmt.Sprintf("no answer from %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// ConnectionLimitError reports that this VM has Limit connections open to Address, the most that
// it may have. Nothing was sent.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections to %s are in use", e.Limit, e.Address)
}

// NoAnswerError reports bytes that are no answer, and can't become one however many more come. Whether the backend server ran the
// request is unknown.
type NoAnswerError struct{ Cause error }

func (e *NoAnswerError) Error() string { return fmt.Sprintf("not an HTTP/1 answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// StatusLineError reports the beginning of a first line that is no status line of HTTP/1.
type StatusLineError struct{ Got string }

func (e *StatusLineError) Error() string {
	return fmt.Sprintf("the first line begins with %q, want a status line such as HTTP/1.1 200", e.Got)
}

// StatusError reports an answer with a status that no answer to a request has: below 100, above 599, or 101.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("the status is %03d, want 100 or 102 to 599", e.Status)
}

// OldCodingError reports an HTTP/1.0 head with a Transfer-Encoding, which HTTP/1.0 doesn't have.
type OldCodingError struct{}

func (e *OldCodingError) Error() string { return "an HTTP/1.0 answer has a Transfer-Encoding" }

// HeadTooLongError reports a head longer than Limit bytes.
type HeadTooLongError struct{ Limit int }

func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("the head is longer than %d bytes", e.Limit)
}

// InformationalError reports more than Limit informational answers before an answer.
type InformationalError struct{ Limit int }

func (e *InformationalError) Error() string {
	return fmt.Sprintf("more than %d informational answers came before the answer", e.Limit)
}
