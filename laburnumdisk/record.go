package laburnumdisk

import (
	"encoding/json"

	"laburnumlever/laburnumlog"
)

// record is the payload of a frame: one or more writes combined.
type record struct {
	Hard laburnumlog.HardState `json:"hard"`
	// Reset, if not 0, discards all entries of earlier frames; the log continues after
	// this index.
	Reset   uint64              `json:"reset,omitempty"`
	Entries []laburnumlog.Entry `json:"entries,omitempty"`
}

// replay is the state of the log after the frames read so far.
type replay struct {
	number  uint64 // sequence number of the last frame, 0 before the first
	hard    laburnumlog.HardState
	entries []laburnumlog.Entry
}

// applyFrame applies one frame to the log.
func (r *replay) applyFrame(file string, offset int64, number uint64, payload []byte) error {
	if r.number != 0 && number != r.number+1 {
		return &DamagedError{File: file, Offset: offset, Detail: "the frame before this one is missing"}
	}
	var rec record
	if err := json.Unmarshal(payload, &rec); err != nil {
		return &DamagedError{File: file, Offset: offset, Detail: err.Error()}
	}
	r.number = number
	r.hard = rec.Hard
	if rec.Reset > 0 {
		r.entries = nil
	}
	for _, e := range rec.Entries {
		if !r.appendEntry(e) {
			return &DamagedError{File: file, Offset: offset, Detail: "the log has a gap before an entry of this frame"}
		}
	}
	return nil
}

// appendEntry appends an entry, discarding those from its index on. It returns false if the entry
// would leave a gap.
func (r *replay) appendEntry(e laburnumlog.Entry) bool {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return true
	}
	first := r.entries[0].Index
	next := first + uint64(len(r.entries))
	if e.Index > next {
		return false
	}
	if e.Index < first {
		r.entries = nil
	} else {
		r.entries = r.entries[:e.Index-first]
	}
	r.entries = append(r.entries, e)
	return true
}

// entriesAfter returns the entries that follow the snapshot, or false if there is a gap. If the
// terms differ at the snapshot's index, the log predates a snapshot sent by the leader, and
// no entries follow.
func (r *replay) entriesAfter(s laburnumlog.Snapshot) ([]laburnumlog.Entry, bool) {
	if len(r.entries) == 0 {
		return nil, true
	}
	first := r.entries[0].Index
	last := first + uint64(len(r.entries)) - 1
	switch {
	case first > s.Index+1:
		return nil, false
	case last <= s.Index:
		return nil, true
	case first <= s.Index && r.entries[s.Index-first].Term != s.Term:
		return nil, true
	default:
		return r.entries[s.Index+1-first:], true
	}
}
