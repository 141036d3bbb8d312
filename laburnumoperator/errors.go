package laburnumoperator

import "fmt"

// UnreachableError says that the VM could not be asked: nothing was sent.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("VM at %s cannot be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// BadRequestError is a request that the VM could not read.
type BadRequestError struct{ Detail string }

func (e *BadRequestError) Error() string { return "bad request: " + e.Detail }

// UnexpectedAnswerError is an answer that this client does not know: something
// else listens there, or another version.
type UnexpectedAnswerError struct {
	Address string
	Status  int
	Detail  string
}

func (e *UnexpectedAnswerError) Error() string {
	return fmt.Sprintf("unexpected answer from %s (status %d): %s", e.Address, e.Status, e.Detail)
}
