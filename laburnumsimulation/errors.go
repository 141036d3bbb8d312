package laburnumsimulation

import (
	"fmt"
	"strings"

	"laburnumlever"
)

// ScenarioInvalidError lists all that is wrong with a scenario's file.
type ScenarioInvalidError struct{ Faults []laburnumlever.Fault }

func (e *ScenarioInvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// UnknownPolicyError is the name of no policy.
type UnknownPolicyError struct {
	Name  string
	Known []string
}

func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("policy %q is not one of %s", e.Name, strings.Join(e.Known, ", "))
}
