package laburnumroles

import (
	"fmt"

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
