package laburnumdirector

import (
	"fmt"

	"laburnumlever"
)

// NotDirectorError reports a call to a control VM that does not hold the placement lease.
type NotDirectorError struct{ VM laburnumlever.VMID }

func (e *NotDirectorError) Error() string {
	return fmt.Sprintf("control VM %s does not hold the placement lease", e.VM)
}

// NoAdapterSlotError reports an adapter that no engine has a slot for.
type NoAdapterSlotError struct {
	Model   laburnumlever.ModelName
	Adapter laburnumlever.AdapterName
	Detail  string
}

func (e *NoAdapterSlotError) Error() string {
	return fmt.Sprintf("no engine can load adapter %s/%s: %s", e.Model, e.Adapter, e.Detail)
}

// ClosedError reports a call to a closed director.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "director is closed" }
