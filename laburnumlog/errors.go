package laburnumlog

import "fmt"

// ContradictionError is a leader's entry that differs from one already committed
// here. No loss of messages explains it: a disk went back, or there is a bug.
type ContradictionError struct {
	Index           uint64
	Held, Committed uint64 // terms
}

func (e *ContradictionError) Error() string {
	return fmt.Sprintf("entry %d is committed with term %d, but the leader sends term %d", e.Index, e.Committed, e.Held)
}
