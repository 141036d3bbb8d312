package laburnumintake

import "fmt"

// FullError is a head or body for which there is no room.
type FullError struct {
	// Held and Limit are the bytes that all heads and bodies hold, and may hold.
	Held, Limit int64
	// Evicted is set if it had room, which another took since it had stalled.
	Evicted bool
}

func (e *FullError) Error() string {
	if e.Evicted {
		return fmt.Sprintf("it stalled while others needed its room, of %d bytes for all callers", e.Limit)
	}
	return fmt.Sprintf("requests that arrive hold %d of %d bytes, and none of them has stalled", e.Held, e.Limit)
}

// BodyTooLongError is a body of more bytes than its source allows.
type BodyTooLongError struct{ Limit int64 }

func (e *BodyTooLongError) Error() string {
	return fmt.Sprintf("the body is longer than %d bytes", e.Limit)
}

// ClosedError is a listener that was closed while a connection waited for its place.
type ClosedError struct{ Address string }

func (e *ClosedError) Error() string { return "listener at " + e.Address + " is closed" }
