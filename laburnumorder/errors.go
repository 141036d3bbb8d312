package laburnumorder

import (
	"fmt"
	"time"

	"laburnumlever"
)

// LeaseOverError says that an order was not sent because the zone's lease is no
// longer sure to be held.
type LeaseOverError struct {
	Zone laburnumlever.ZoneName
	Over time.Duration
}

func (e *LeaseOverError) Error() string {
	return fmt.Sprintf("the lease of zone %s has been over for %s", e.Zone, e.Over)
}

// EngineAnswerError is an answer from an engine that can't be used.
type EngineAnswerError struct {
	Backend laburnumlever.BackendID
	Status  int
	Cause   error
}

func (e *EngineAnswerError) Error() string {
	return fmt.Sprintf("engine %s: status %d: %v", e.Backend, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *EngineAnswerError) Unwrap() error { return e.Cause }

// WrongEngineError is an answer by another engine than the one asked, as when an
// address has been given to another.
type WrongEngineError struct{ Want, Got laburnumlever.BackendID }

func (e *WrongEngineError) Error() string {
	return fmt.Sprintf("asked engine %s, but %s answered", e.Want, e.Got)
}

// FenceIgnoredError is an engine that announces that it checks fencing numbers but
// did not take up the one that it was claimed with.
type FenceIgnoredError struct {
	Backend       laburnumlever.BackendID
	Claimed, Kept uint64
}

func (e *FenceIgnoredError) Error() string {
	return fmt.Sprintf("engine %s was claimed with %d and keeps %d", e.Backend, e.Claimed, e.Kept)
}
