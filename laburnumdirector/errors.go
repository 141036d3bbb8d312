package laburnumdirector

import (
	"fmt"

	"laburnumlever"
)

// NotDirectorError is a question to a control VM that gives no orders now.
type NotDirectorError struct{ VM laburnumlever.VMID }

func (e *NotDirectorError) Error() string { return fmt.Sprintf("%s gives no orders", e.VM) }

// NoAdapterPlaceError is an adapter for which no engine has a place.
type NoAdapterPlaceError struct {
	Model   laburnumlever.ModelName
	Adapter laburnumlever.AdapterName
	Detail  string
}

func (e *NoAdapterPlaceError) Error() string {
	return fmt.Sprintf("no engine takes the adapter %s/%s: %s", e.Model, e.Adapter, e.Detail)
}

// ClosedError is a question to a director that has ended.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "the director has ended" }
