package laburnumregistry

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

const (
	// silentPeriods is how many heartbeats in a row are missed before a backend
	// server counts as silent: one may be lost and one late.
	silentPeriods = 3
	// forgetAfter is how long a silent or gone backend server stays known, far
	// above the time by which a heartbeat can be late.
	forgetAfter = 2 * time.Minute
)

// Record is what is known of one backend server.
type Record struct {
	Heartbeat laburnumlever.Heartbeat `json:"heartbeat"`
	// Gone tells that it has ended or will within moments.
	Gone bool `json:"gone,omitempty"`
	// Silent tells that its heartbeats have stopped.
	Silent bool `json:"silent,omitempty"`
}

// TakesWork tells whether new work may be sent to the backend server. A silent one
// may: its path to the control VMs may be cut and that to the gateways not.
func (r Record) TakesWork() bool { return !r.Gone && !r.Heartbeat.Leaving }

type entry struct {
	record Record
	heard  time.Time
	// alive is the sequence of the last heartbeat that was told of without its content.
	alive uint64
}

// Table holds the records by identity. It is not safe for concurrent use.
type Table struct {
	period  time.Duration
	entries map[laburnumlever.BackendID]*entry
}

// New makes an empty table for backend servers with the given heartbeat period.
func New(period time.Duration) *Table {
	return &Table{period: period, entries: map[laburnumlever.BackendID]*entry{}}
}

// Take notes a heartbeat and tells whether the record changed for others.
func (t *Table) Take(h laburnumlever.Heartbeat, now time.Time) bool {
	e := t.entries[h.Backend]
	if e == nil || h.Born > e.record.Heartbeat.Born {
		// One that starts again under its identity is another: that the last start has
		// ended, or left, says nothing of it.
		t.entries[h.Backend] = &entry{record: Record{Heartbeat: h}, heard: now}
		return true
	}
	if !h.NewerThan(e.record.Heartbeat) || e.record.Gone {
		return false
	}
	e.heard = now
	before := e.record
	h.Leaving = h.Leaving || before.Heartbeat.Leaving
	e.record = Record{Heartbeat: h}
	return before.Silent || !sameNews(before.Heartbeat, h)
}

// Alive notes that another VM heard a heartbeat which brought it nothing new, and tells
// whether the record changed for others. One that is not known here, or known by an older
// heartbeat, is left as it is: what it brought comes from the VM that heard it.
func (t *Table) Alive(id laburnumlever.BackendID, born, sequence uint64, now time.Time) bool {
	e := t.entries[id]
	if e == nil || e.record.Gone || e.record.Heartbeat.Born != born || sequence <= max(e.alive, e.record.Heartbeat.Sequence) {
		return false
	}
	e.heard, e.alive = now, sequence
	changed := e.record.Silent
	e.record.Silent = false
	return changed
}

// Merge notes a record that another VM has sent and tells whether it changed.
func (t *Table) Merge(r Record, now time.Time) bool {
	id := r.Heartbeat.Backend
	e := t.entries[id]
	if r.Gone {
		return t.mergeGone(r, now)
	}
	if e != nil && sameWord(r.Heartbeat, e.record.Heartbeat) && r.Silent != e.record.Silent {
		e.record.Silent = r.Silent
		return true
	}
	changed := t.Take(r.Heartbeat, now)
	if e = t.entries[id]; changed && e.record.Silent != r.Silent {
		e.record.Silent = r.Silent
	}
	return changed
}

// mergeGone notes the end of a start of a backend server; that of an earlier start than
// the one known is old.
func (t *Table) mergeGone(r Record, now time.Time) bool {
	id := r.Heartbeat.Backend
	e := t.entries[id]
	if e == nil || r.Heartbeat.Born > e.record.Heartbeat.Born {
		t.entries[id] = &entry{record: r, heard: now}
		return true
	}
	return r.Heartbeat.Born == e.record.Heartbeat.Born && t.Remove(id, now)
}

// sameWord tells whether two heartbeats under one identity are the same.
func sameWord(a, b laburnumlever.Heartbeat) bool {
	return a.Born == b.Born && a.Sequence == b.Sequence
}

// Adopt notes a record that another control VM has sent and tells whether it changed.
// Who is silent here is judged by what is heard here: control VMs that took each other's
// word on the same heartbeat would call a dead backend server silent and heard again in
// turns, for ever, each turn being news for all.
func (t *Table) Adopt(r Record, now time.Time) bool {
	e := t.entries[r.Heartbeat.Backend]
	if e != nil && !r.Gone && !r.Heartbeat.NewerThan(e.record.Heartbeat) {
		return false
	}
	return t.Merge(r, now)
}

// sameNews compares two heartbeats but for their sequence.
func sameNews(a, b laburnumlever.Heartbeat) bool {
	a.Sequence, b.Sequence = 0, 0
	return reflect.DeepEqual(a, b)
}

// Remove notes that a backend server is gone, known or not.
func (t *Table) Remove(id laburnumlever.BackendID, now time.Time) bool {
	e := t.entries[id]
	if e == nil {
		e = &entry{record: Record{Heartbeat: laburnumlever.Heartbeat{Backend: id}}}
		t.entries[id] = e
	}
	if e.record.Gone {
		return false
	}
	e.heard = now
	e.record.Gone = true
	return true
}

// Expire marks those silent whose heartbeats have stopped and returns them.
func (t *Table) Expire(now time.Time) []laburnumlever.BackendID {
	var changed []laburnumlever.BackendID
	for id, e := range t.entries {
		if !e.record.Silent && !e.record.Gone && now.Sub(e.heard) > silentPeriods*t.period {
			e.record.Silent = true
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	return changed
}

// Forget drops those that are gone, or have been silent, for long and returns them. Each
// start of a backend server has an identity of its own, so without it the table grows
// with every release. It is for a VM that hears the heartbeats itself.
func (t *Table) Forget(now time.Time) []laburnumlever.BackendID {
	return t.forget(now, func(r Record) bool { return r.Gone || r.Silent })
}

// ForgetGone is Forget for a VM that is told of backend servers by others. It hears nothing
// while nothing changes, so one that a single control VM called silent may be alive and at
// work; only the word that it is gone is final.
func (t *Table) ForgetGone(now time.Time) {
	t.forget(now, func(r Record) bool { return r.Gone })
}

func (t *Table) forget(now time.Time, over func(Record) bool) []laburnumlever.BackendID {
	var forgotten []laburnumlever.BackendID
	for id, e := range t.entries {
		if over(e.record) && now.Sub(e.heard) > forgetAfter {
			delete(t.entries, id)
			forgotten = append(forgotten, id)
		}
	}
	slices.Sort(forgotten)
	return forgotten
}

// Record returns what is known of a backend server.
func (t *Table) Record(id laburnumlever.BackendID) (Record, bool) {
	e := t.entries[id]
	if e == nil {
		return Record{}, false
	}
	return e.record, true
}

// Records returns all, in the order of their identities.
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
