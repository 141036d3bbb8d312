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
	// named is the number that the caller named of an answer that can't be resumed. A server may begin behind it all the same.
	named int64
}

// newEventSequence returns the sequence of a request's answer; lastID is the ID of the last event that the caller has. The error is a
// *laburnumlever.InvalidValueError.
func newEventSequence(dialect laburnumlever.Dialect, route laburnumlever.Route, lastID string) (eventSequence, error) {
	beforeFirst, err := dialect.LastEvent("")
	if err != nil {
		return eventSequence{}, err
	}
	last, err := dialect.LastEvent(lastID)
	switch {
	case route.Kind == laburnumlever.KindStream && route.Resumable:
		return eventSequence{numbering: numbered, last: last, begun: last != beforeFirst}, err
	case err != nil:
		last = beforeFirst
	}
	s := eventSequence{last: beforeFirst, named: last}
	if route.Kind == laburnumlever.KindStream {
		s.numbering = numbered
	}
	return s, nil
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
	if event.HasNumber && event.Number != s.last+1 && (s.begun || event.Number != s.named+1) {
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
