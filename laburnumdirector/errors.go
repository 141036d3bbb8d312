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

// NoAdapterPlaceError reports an adapter that no engine has a slot for; the name of the type is the
// kind of the error on the wire.
type NoAdapterPlaceError struct {
	Model   laburnumlever.ModelName
	Adapter laburnumlever.AdapterName
	Detail  string
}

func (e *NoAdapterPlaceError) Error() string {
	return fmt.Sprintf("no engine can load adapter %s/%s: %s", e.Model, e.Adapter, e.Detail)
}

// ClosedError reports a call to a closed director.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "director is closed" }
