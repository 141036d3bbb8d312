package laburnumoperator

import "fmt"

// UnreachableError reports that the VM could not be reached and nothing was changed.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("VM at %s cannot be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// BadRequestError reports a request that could not be encoded or decoded.
type BadRequestError struct{ Detail string }

func (e *BadRequestError) Error() string { return "bad request: " + e.Detail }

// UnexpectedAnswerError reports a response that the client cannot decode: the server is
// not a VM of this project, or runs another version.
type UnexpectedAnswerError struct {
	Address string
	Status  int
	Detail  string
}

func (e *UnexpectedAnswerError) Error() string {
	return fmt.Sprintf("unexpected answer from %s (status %d): %s", e.Address, e.Status, e.Detail)
}
