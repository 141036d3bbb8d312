package laburnumsimulation

import (
	"fmt"
	"strings"

	"laburnumlever"
)

// ScenarioInvalidError lists all faults of a scenario file.
type ScenarioInvalidError struct{ Faults []laburnumlever.Fault }

func (e *ScenarioInvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// UnknownPolicyError means that no policy has the name; Known lists those that exist.
type UnknownPolicyError struct {
	Name  string
	Known []string
}

func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("unknown policy %q: want one of %s", e.Name, strings.Join(e.Known, ", "))
}
