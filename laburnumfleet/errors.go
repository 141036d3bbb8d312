package laburnumfleet

import (
	"fmt"
	"strings"

	"laburnumlever"
)

// SpecInvalidError lists all faults in a fleet file.
type SpecInvalidError struct{ Faults []laburnumlever.Fault }

func (e *SpecInvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return "fleet: " + strings.Join(lines, "\n")
}

// StartError is a fleet that could not be started.
type StartError struct {
	// Part is the VM's name, or the kind of resource that failed.
	Part  string
	Cause error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("cannot start the fleet: %s: %v", e.Part, e.Cause)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// NotLoadedError is a fleet whose models and plain services were not all available in time.
type NotLoadedError struct {
	// Models lists the models without a ready copy and the plain services without a
	// backend server.
	Models []laburnumlever.ModelName
	// Revision is the catalogue revision on the VM that was polled.
	Revision uint64
	Cause    error
}

func (e *NotLoadedError) Error() string {
	return fmt.Sprintf("no ready copy of %v at revision %d: %v", e.Models, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *NotLoadedError) Unwrap() error { return e.Cause }
