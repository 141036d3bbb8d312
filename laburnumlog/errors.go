package laburnumlog

import "fmt"

// ContradictionError reports an entry from the leader that conflicts with an entry already
// committed on this replica. Lost messages cannot cause it: either a disk was rolled back to
// an older state, or there is a bug.
type ContradictionError struct {
	Index           uint64
	Held, Committed uint64 // terms of the leader's entry and of the committed one
}

func (e *ContradictionError) Error() string {
	return fmt.Sprintf("entry %d is committed with term %d, but the leader sent it with term %d", e.Index, e.Committed, e.Held)
}
