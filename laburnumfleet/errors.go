package laburnumfleet

import (
	"fmt"
	"strings"

	"laburnumlever"
)

// SpecInvalidError lists all that is wrong in a fleet file.
type SpecInvalidError struct{ Faults []laburnumlever.Fault }

func (e *SpecInvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return "fleet: " + strings.Join(lines, "\n")
}

// StartError is a part of the fleet that does not start.
type StartError struct {
	Part  string
	Cause error
}

func (e *StartError) Error() string { return fmt.Sprintf("%s does not start: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// NotLoadedError is a fleet in which models have no ready copy when the time is up.
type NotLoadedError struct {
	Models []laburnumlever.ModelName
	// Revision is the catalogue's on the VM that was asked.
	Revision uint64
	Cause    error
}

func (e *NotLoadedError) Error() string {
	return fmt.Sprintf("no ready copy of %v at revision %d: %v", e.Models, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *NotLoadedError) Unwrap() error { return e.Cause }
