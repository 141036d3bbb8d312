package laburnumgateway

import "laburnumlever"

// eventNumbering is whether the events of a stream have numbers.
type eventNumbering int

const (
	// numberingOpen means that the first event decides.
	numberingOpen eventNumbering = iota
	numbered
	unnumbered
)

// eventSequence decides which events go on with the stream that a caller gets, whichever backend servers they come from.
type eventSequence struct {
	numbering eventNumbering
	// last is the number of the last event that the caller has, or that before the first one.
	last int64
	// begun is set once the caller has an event.
	begun bool
}

// newEventSequence returns the sequence of a request's answer. The error is a *laburnumlever.InvalidValueError.
func newEventSequence(dialect laburnumlever.Dialect, kind laburnumlever.RequestKind, lastID string) (eventSequence, error) {
	beforeFirst, err := dialect.LastEvent("")
	if err != nil || kind != laburnumlever.KindStream {
		return eventSequence{last: beforeFirst}, err
	}
	last, err := dialect.LastEvent(lastID)
	return eventSequence{numbering: numbered, last: last, begun: last != beforeFirst}, err
}

// take takes an event if it is the next one. Errors: *EventNumberingError, *EventGapError.
func (s *eventSequence) take(event laburnumlever.StreamEvent) error {
	numbering := unnumbered
	if event.HasNumber {
		numbering = numbered
	}
	if s.numbering != numberingOpen && s.numbering != numbering {
		return &EventNumberingError{HasNumber: event.HasNumber}
	}
	if event.HasNumber && event.Number != s.last+1 {
		return &EventGapError{Due: s.last + 1, Got: event.Number}
	}
	s.numbering, s.last, s.begun = numbering, event.Number, true
	return nil
}

// end decides whether the stream may end here. An error is a *NoEventsError.
func (s *eventSequence) end() error {
	if !s.begun {
		return &NoEventsError{}
	}
	return nil
}

// resumesAfter returns the number of the event after which another backend server goes on, and whether there is one.
func (s *eventSequence) resumesAfter() (int64, bool) {
	return s.last, s.begun && s.numbering == numbered
}
