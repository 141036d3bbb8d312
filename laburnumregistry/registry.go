package laburnumregistry

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

const (
	// silentPeriods is how many consecutive heartbeats are missed before a backend server counts as
	// silent: one may be lost and one late.
	silentPeriods = 3
	// pruneAfter is how long the record of a silent backend server, or a tombstone, is kept: far
	// longer than a heartbeat can be late.
	pruneAfter = 2 * time.Minute
)

// Record is the endpoint state of one backend server.
type Record struct {
	Heartbeat laburnumlever.Heartbeat `json:"heartbeat"`
	// Gone marks a tombstone: it has ended, or will within moments.
	Gone bool `json:"gone,omitempty"`
	// Silent is set when its heartbeats have stopped.
	Silent bool `json:"silent,omitempty"`
}

// TakesWork reports whether new requests may be sent to the backend server. A silent one may be cut
// off from the control VMs only.
func (r Record) TakesWork() bool { return !r.Gone && !r.Heartbeat.Leaving }

type entry struct {
	record  Record
	heardAt time.Time
	// relayedSequence is the sequence of the last heartbeat that was relayed without its content.
	relayedSequence uint64
}

// Table holds the records by identity. It is not safe for concurrent use.
type Table struct {
	period  time.Duration
	entries map[laburnumlever.BackendID]*entry
}

// New returns an empty table for backend servers with the given heartbeat period.
func New(period time.Duration) *Table {
	return &Table{period: period, entries: map[laburnumlever.BackendID]*entry{}}
}

// Take records a heartbeat and reports whether the record changed for others.
func (t *Table) Take(h laburnumlever.Heartbeat, now time.Time) bool {
	e := t.entries[h.Backend]
	if e == nil || h.Born > e.record.Heartbeat.Born {
		// A restart under the same identity is a new backend server: the tombstone of the last
		// start doesn't apply.
		t.entries[h.Backend] = &entry{record: Record{Heartbeat: h}, heardAt: now}
		return true
	}
	if !h.NewerThan(e.record.Heartbeat) || e.record.Gone {
		return false
	}
	e.heardAt = now
	before := e.record
	h.Leaving = h.Leaving || before.Heartbeat.Leaving
	e.record = Record{Heartbeat: h}
	return before.Silent || !equalExceptSequence(before.Heartbeat, h)
}

// Alive records a heartbeat that another VM received and that changed nothing there, and reports
// whether the record changed for others. One that is unknown here, or known by an older
// heartbeat, is left as it is: its content comes from the VM that received it.
func (t *Table) Alive(id laburnumlever.BackendID, born, sequence uint64, now time.Time) bool {
	e := t.entries[id]
	if e == nil || e.record.Gone || e.record.Heartbeat.Born != born || sequence <= max(e.relayedSequence, e.record.Heartbeat.Sequence) {
		return false
	}
	e.heardAt, e.relayedSequence = now, sequence
	changed := e.record.Silent
	e.record.Silent = false
	return changed
}

// Merge takes a record from another VM and reports whether it changed.
func (t *Table) Merge(r Record, now time.Time) bool {
	id := r.Heartbeat.Backend
	e := t.entries[id]
	if r.Gone {
		return t.mergeTombstone(r, now)
	}
	if e != nil && sameHeartbeat(r.Heartbeat, e.record.Heartbeat) && r.Silent != e.record.Silent {
		e.record.Silent = r.Silent
		return true
	}
	changed := t.Take(r.Heartbeat, now)
	if e = t.entries[id]; changed && e.record.Silent != r.Silent {
		e.record.Silent = r.Silent
	}
	return changed
}

// mergeTombstone takes a tombstone; one of an earlier start than the known one is outdated.
func (t *Table) mergeTombstone(r Record, now time.Time) bool {
	id := r.Heartbeat.Backend
	e := t.entries[id]
	if e == nil || r.Heartbeat.Born > e.record.Heartbeat.Born {
		t.entries[id] = &entry{record: r, heardAt: now}
		return true
	}
	return r.Heartbeat.Born == e.record.Heartbeat.Born && t.Remove(id, now)
}

// sameHeartbeat reports whether two heartbeats under one identity are the same.
func sameHeartbeat(a, b laburnumlever.Heartbeat) bool {
	return a.Born == b.Born && a.Sequence == b.Sequence
}

// Adopt takes a record from another control VM and reports whether it changed. Silence is detected
// by each control VM from what it receives itself: if they took it from each other, a dead
// backend server would be marked silent and alive in turns for ever.
func (t *Table) Adopt(r Record, now time.Time) bool {
	e := t.entries[r.Heartbeat.Backend]
	if e != nil && !r.Gone && !r.Heartbeat.NewerThan(e.record.Heartbeat) {
		return false
	}
	return t.Merge(r, now)
}

// equalExceptSequence compares two heartbeats without their sequence.
func equalExceptSequence(a, b laburnumlever.Heartbeat) bool {
	a.Sequence, b.Sequence = 0, 0
	return reflect.DeepEqual(a, b)
}

// Remove leaves a tombstone for a backend server, known or not.
func (t *Table) Remove(id laburnumlever.BackendID, now time.Time) bool {
	e := t.entries[id]
	if e == nil {
		e = &entry{record: Record{Heartbeat: laburnumlever.Heartbeat{Backend: id}}}
		t.entries[id] = e
	}
	if e.record.Gone {
		return false
	}
	e.heardAt = now
	e.record.Gone = true
	return true
}

// Expire marks backend servers whose heartbeats have stopped as silent and returns them.
func (t *Table) Expire(now time.Time) []laburnumlever.BackendID {
	var changed []laburnumlever.BackendID
	for id, e := range t.entries {
		if !e.record.Silent && !e.record.Gone && now.Sub(e.heardAt) > silentPeriods*t.period {
			e.record.Silent = true
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	return changed
}

// Forget drops tombstones and records of silent backend servers after pruneAfter and returns them.
// Each start of a backend server has its own identity, so the table would grow with every
// release. It is for a VM that receives the heartbeats itself.
func (t *Table) Forget(now time.Time) []laburnumlever.BackendID {
	return t.prune(now, func(r Record) bool { return r.Gone || r.Silent })
}

// ForgetGone is Forget for a VM that gets records from others: it gets none while nothing changes,
// so only tombstones are dropped.
func (t *Table) ForgetGone(now time.Time) {
	t.prune(now, func(r Record) bool { return r.Gone })
}

func (t *Table) prune(now time.Time, droppable func(Record) bool) []laburnumlever.BackendID {
	var pruned []laburnumlever.BackendID
	for id, e := range t.entries {
		if droppable(e.record) && now.Sub(e.heardAt) > pruneAfter {
			delete(t.entries, id)
			pruned = append(pruned, id)
		}
	}
	slices.Sort(pruned)
	return pruned
}

// Record returns the record of a backend server.
func (t *Table) Record(id laburnumlever.BackendID) (Record, bool) {
	e := t.entries[id]
	if e == nil {
		return Record{}, false
	}
	return e.record, true
}

// Records returns all records, ordered by identity.
func (t *Table) Records() []Record {
	out := make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.record)
	}
	slices.SortFunc(out, func(a, b Record) int {
		return strings.Compare(string(a.Heartbeat.Backend), string(b.Heartbeat.Backend))
	})
	return out
}
