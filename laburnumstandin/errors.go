package laburnumstandin

import "fmt"

// WeightStoreError is a failed fetch of weights from the weight store. Status is the
// HTTP status, or 0 if there was no response; Cause is then set.
type WeightStoreError struct {
	Address string
	Status  int
	Cause   error
}

func (e *WeightStoreError) Error() string {
	return fmt.Sprintf("weight store %s: status %d: %v", e.Address, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *WeightStoreError) Unwrap() error { return e.Cause }

// RegistryError is an announcement, load report or leave notice that an entry VM did
// not accept. Status is the HTTP status, or 0 if there was no response; Cause is then set.
type RegistryError struct {
	Address string
	Status  int
	Cause   error
}

func (e *RegistryError) Error() string {
	return fmt.Sprintf("registry %s: status %d: %v", e.Address, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *RegistryError) Unwrap() error { return e.Cause }

// LinkCutError is a connection ended because its link is cut.
type LinkCutError struct{ Target string }

func (e *LinkCutError) Error() string { return "link to " + e.Target + " is cut" }

// ClosedPortError is a port of the loopback interface that could not be taken.
type ClosedPortError struct {
	Step  string
	Cause error
}

func (e *ClosedPortError) Error() string { return fmt.Sprintf("closed port: %s: %v", e.Step, e.Cause) }

// Unwrap returns the cause.
func (e *ClosedPortError) Unwrap() error { return e.Cause }
