package laburnumorder

import (
	"fmt"
	"time"

	"laburnumlever"
)

// LeaseExpiredError means that an order was not sent because the zone's lease may have
// expired. ExpiredFor is the time since the end of the lease, less its margin.
type LeaseExpiredError struct {
	Zone       laburnumlever.ZoneName
	ExpiredFor time.Duration
}

func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("the lease of zone %q expired %s ago", e.Zone, e.ExpiredFor)
}

// EngineAnswerError is a failed call to an engine. Status is the HTTP status, 0 when there
// was no response.
type EngineAnswerError struct {
	Backend laburnumlever.BackendID
	Status  int
	Cause   error
}

func (e *EngineAnswerError) Error() string {
	return fmt.Sprintf("call to engine %q failed: HTTP status %d: %v", e.Backend, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *EngineAnswerError) Unwrap() error { return e.Cause }

// WrongEngineError is an answer from another engine than the one that was called, for
// example because its address was reassigned.
type WrongEngineError struct{ Want, Got laburnumlever.BackendID }

func (e *WrongEngineError) Error() string {
	return fmt.Sprintf("claim of engine %q was answered by engine %q", e.Want, e.Got)
}

// FenceIgnoredError means that an engine announces that it checks fencing numbers but did
// not adopt the number of a claim.
type FenceIgnoredError struct {
	Backend       laburnumlever.BackendID
	Claimed, Kept uint64
}

func (e *FenceIgnoredError) Error() string {
	return fmt.Sprintf("engine %q was claimed with fencing number %d but returned the lower number %d", e.Backend, e.Claimed, e.Kept)
}
