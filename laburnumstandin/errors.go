package laburnumstandin

import "fmt"

// WeightStoreError is a load of weights that the weight store did not serve.
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

// RegistryError is news that an entry VM did not take.
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

// LinkCutError ends a connection through a link that is cut.
type LinkCutError struct{ Target string }

func (e *LinkCutError) Error() string { return "the link to " + e.Target + " is cut" }
