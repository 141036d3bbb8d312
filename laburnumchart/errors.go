package laburnumchart

import "fmt"

// NoTransitionError is an event for which the state has no transition.
type NoTransitionError struct{ Chart, State, Event string }

func (e *NoTransitionError) Error() string {
	return fmt.Sprintf("chart %s: state %s has no transition for event %s", e.Chart, e.State, e.Event)
}

// UnknownChartError is a name without an embedded chart.
type UnknownChartError struct {
	Name  string
	Cause error
}

func (e *UnknownChartError) Error() string {
	return fmt.Sprintf("unknown chart %s: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownChartError) Unwrap() error { return e.Cause }

// InvalidChartError is an invalid chart file.
type InvalidChartError struct {
	Name, Problem string
	Cause         error
}

func (e *InvalidChartError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("chart %s: %s", e.Name, e.Problem)
	}
	return fmt.Sprintf("chart %s: %s: %v", e.Name, e.Problem, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidChartError) Unwrap() error { return e.Cause }
