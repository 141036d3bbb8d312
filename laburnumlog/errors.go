package laburnumlog

import "fmt"

// CommittedConflictError reports an entry from the leader that conflicts with an entry already
// committed on this replica. Lost messages cannot cause it: either a disk was rolled back to
// an older state, or there is a bug.
type CommittedConflictError struct {
	Index                     uint64
	LeaderTerm, CommittedTerm uint64 // terms of the leader's entry and of the committed one
}

func (e *CommittedConflictError) Error() string {
	return fmt.Sprintf("entry %d is committed with term %d, but the leader sent it with term %d", e.Index, e.CommittedTerm, e.LeaderTerm)
}
