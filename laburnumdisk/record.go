package laburnumdisk

import (
	"encoding/json"

	"laburnumlever/laburnumlog"
)

// record is the payload of a frame: one or more writes taken together.
type record struct {
	Hard laburnumlog.HardState `json:"hard"`
	// Reset drops all entries before it; the log goes on after this index.
	Reset   uint64              `json:"reset,omitempty"`
	Entries []laburnumlog.Entry `json:"entries,omitempty"`
}

// replay is the log as the frames read so far give it.
type replay struct {
	number  uint64 // of the last frame, 0 before the first
	hard    laburnumlog.HardState
	entries []laburnumlog.Entry
}

// applyFrame adds one frame.
func (r *replay) applyFrame(file string, offset int64, number uint64, payload []byte) error {
	if r.number != 0 && number != r.number+1 {
		return &DamagedError{File: file, Offset: offset, Detail: "a frame is missing before this one"}
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
			return &DamagedError{File: file, Offset: offset, Detail: "entries do not follow each other"}
		}
	}
	return nil
}

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

// entriesAfter returns the entries that go on from the snapshot. Entries that contradict
// it are from before a snapshot that the leader sent.
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
