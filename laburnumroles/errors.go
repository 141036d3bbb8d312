package laburnumroles

import (
	"fmt"
	"time"

	"laburnumlever"
)

// NotLeaderError is a question for the log's leader that another VM got.
type NotLeaderError struct {
	// Leader is the leader that the VM knows of; empty for none.
	Leader laburnumlever.VMID
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this VM does not lead the log; the leader it knows of is %q", e.Leader)
}

// StaleConfirmationError is a control VM's last confirmation that its route table is the newest, of an age at which another
// control VM may have a newer one.
type StaleConfirmationError struct{ Age time.Duration }

func (e *StaleConfirmationError) Error() string {
	return fmt.Sprintf("this VM's last confirmation of the route table is %s old", e.Age)
}

// AnswerLengthError is an answer of another VM with another number of entries than it was asked for.
type AnswerLengthError struct {
	Address   string
	Want, Got int
}

func (e *AnswerLengthError) Error() string {
	return fmt.Sprintf("the answer of %s has %d entries for %d asks", e.Address, e.Got, e.Want)
}
