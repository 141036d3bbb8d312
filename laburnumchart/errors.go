package laburnumchart

import "fmt"

// NoTransitionError is an event that the state does not take.
type NoTransitionError struct{ Chart, State, Event string }

func (e *NoTransitionError) Error() string {
	return fmt.Sprintf("chart %s: %s does not take %s", e.Chart, e.State, e.Event)
}

// UnknownChartError is a chart that does not ship with the program.
type UnknownChartError struct {
	Name  string
	Cause error
}

func (e *UnknownChartError) Error() string { return fmt.Sprintf("no chart %s: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *UnknownChartError) Unwrap() error { return e.Cause }

// BadChartError is a chart file that can't be interpreted.
type BadChartError struct {
	Name, Problem string
	Cause         error
}

func (e *BadChartError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("chart %s: %s", e.Name, e.Problem)
	}
	return fmt.Sprintf("chart %s: %s: %v", e.Name, e.Problem, e.Cause)
}

// Unwrap returns the cause.
func (e *BadChartError) Unwrap() error { return e.Cause }
