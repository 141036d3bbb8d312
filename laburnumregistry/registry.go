package laburnumregistry

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

const (
	// silentPeriods is the number of heartbeat periods without a heartbeat after which a backend
	// server counts as silent: one heartbeat may be lost and one late.
	silentPeriods = 3
	// pruneAfter is how long a tombstone or the record of a silent backend server is kept: far
	// longer than a heartbeat can be delayed.
	pruneAfter = 2 * time.Minute
)

// Record is the endpoint state of one backend server.
type Record struct {
	Heartbeat laburnumlever.Heartbeat `json:"heartbeat"`
	// Gone marks a tombstone: the backend server has stopped or is about to.
	Gone bool `json:"gone,omitempty"`
	// Silent is set while heartbeats are missing.
	Silent bool `json:"silent,omitempty"`
	// EarlierSoftware is the software version of an earlier incarnation with the identity; empty if it is the same.
	EarlierSoftware laburnumlever.SoftwareVersion `json:"earlier-software,omitempty"`
}

// AcceptsRequests reports whether new requests may be sent to the backend server. A silent one is
// included: it may be partitioned from the control VMs only.
func (r Record) AcceptsRequests() bool { return !r.Gone && !r.Heartbeat.Leaving }

// Check returns a *laburnumlever.InvalidValueError for a record that names no backend server to use: another writer may have
// written it.
func (r Record) Check() error {
	h := r.Heartbeat
	if h.Backend == "" || !r.Gone && (h.Service == "" || h.Address == "") || h.Slots < 0 {
		return &laburnumlever.InvalidValueError{Name: "record", Value: string(h.Backend), Want: "an identity, a service, an address and a slot count"}
	}
	return nil
}

type entry struct {
	record  Record
	heardAt time.Time
	// relayedSequence is the sequence of the last heartbeat that another VM relayed without content.
	relayedSequence uint64
}

// Table contains the records by identity. It is not safe for concurrent use.
type Table struct {
	period  time.Duration
	entries map[laburnumlever.BackendID]*entry
	// software counts the records of each service by software version.
	software map[laburnumlever.ServiceName]map[laburnumlever.SoftwareVersion]int
}

// New returns an empty table for backend servers that send a heartbeat every period.
func New(period time.Duration) *Table {
	return &Table{
		period: period, entries: map[laburnumlever.BackendID]*entry{},
		software: map[laburnumlever.ServiceName]map[laburnumlever.SoftwareVersion]int{},
	}
}

// ApplyHeartbeat applies a heartbeat and reports whether the record changed in more than the sequence
// or was silent before, so that other VMs must get it.
func (t *Table) ApplyHeartbeat(h laburnumlever.Heartbeat, now time.Time) bool {
	e := t.entries[h.Backend]
	if e == nil || h.Incarnation > e.record.Heartbeat.Incarnation {
		// A restart under the same identity is a new backend server: a tombstone of an earlier
		// incarnation does not apply to it.
		t.start(Record{Heartbeat: h}, now)
		return true
	}
	if e.record.Heartbeat.Service != "" && h.Service != e.record.Heartbeat.Service {
		return false // a start of a server runs one service: this is another writer's
	}
	if !h.NewerThan(e.record.Heartbeat) || e.record.Gone {
		return t.mergeLeaving(Record{Heartbeat: h})
	}
	e.heardAt = now
	before := e.record
	h.Leaving = h.Leaving || before.Heartbeat.Leaving
	if h.Software == "" { // VMs of earlier builds drop it
		h.Software = before.Heartbeat.Software
	}
	r := Record{Heartbeat: h, EarlierSoftware: before.EarlierSoftware}
	if h.Software != before.Heartbeat.Software {
		r.EarlierSoftware = before.Heartbeat.Software
	}
	t.change(e, r)
	return before.Silent || !equalExceptSequence(before.Heartbeat, h)
}

// start adds the record of an incarnation, in place of that of an earlier one.
func (t *Table) start(r Record, now time.Time) {
	id := r.Heartbeat.Backend
	e := t.entries[id]
	if e == nil {
		e = &entry{}
	} else if earlier := e.record.Heartbeat.Software; earlier != r.Heartbeat.Software {
		r.EarlierSoftware = earlier
	}
	t.change(e, r)
	t.entries[id] = &entry{record: r, heardAt: now}
}

// change replaces a record and counts its software version.
func (t *Table) change(e *entry, r Record) {
	t.count(e.record, -1)
	e.record = r
	t.count(r, 1)
}

// count adds to the counts of a record's software versions.
func (t *Table) count(r Record, n int) {
	service := r.Heartbeat.Service
	if service == "" {
		return
	}
	if t.software[service] == nil {
		t.software[service] = map[laburnumlever.SoftwareVersion]int{}
	}
	counts := t.software[service]
	counts[r.Heartbeat.Software] += n
	if r.EarlierSoftware != "" {
		counts[r.EarlierSoftware] += n
	}
	maps.DeleteFunc(counts, func(_ laburnumlever.SoftwareVersion, n int) bool { return n == 0 })
}

// MarkLeaving records that an incarnation of a backend server leaves, and reports whether that is new.
func (t *Table) MarkLeaving(id laburnumlever.BackendID, incarnation uint64) (Record, bool) {
	e := t.entries[id]
	if e == nil || e.record.Gone || e.record.Heartbeat.Incarnation != incarnation || e.record.Heartbeat.Leaving {
		return Record{}, false
	}
	e.record.Heartbeat.Leaving = true
	return e.record, true
}

// mergeLeaving applies that a backend server leaves by a record that is not newer, and reports whether that is new: the server may
// have said so in an answer.
func (t *Table) mergeLeaving(r Record) bool {
	if !r.Heartbeat.Leaving {
		return false
	}
	_, changed := t.MarkLeaving(r.Heartbeat.Backend, r.Heartbeat.Incarnation)
	return changed
}

// Software returns the software versions of a service's backend servers, with those whose tombstones are kept; an empty
// one stands for a server whose version is unknown.
func (t *Table) Software(service laburnumlever.ServiceName) []laburnumlever.SoftwareVersion {
	return slices.Sorted(maps.Keys(t.software[service]))
}

// AllSoftware returns the software versions of each service, see Software.
func (t *Table) AllSoftware() map[laburnumlever.ServiceName][]laburnumlever.SoftwareVersion {
	all := make(map[laburnumlever.ServiceName][]laburnumlever.SoftwareVersion, len(t.software))
	for service, versions := range t.software {
		if len(versions) > 0 {
			all[service] = t.Software(service)
		}
	}
	return all
}

// KeepAlive applies the sequence of a heartbeat that another VM received and that changed nothing
// there. It reports whether the record was silent before, so that other VMs must get it. Unknown
// backend servers, tombstones and other incarnations are ignored, and the content of an older
// heartbeat is kept: the VM that received the newer one sends its content.
func (t *Table) KeepAlive(id laburnumlever.BackendID, incarnation, sequence uint64, now time.Time) bool {
	e := t.entries[id]
	if e == nil || e.record.Gone || e.record.Heartbeat.Incarnation != incarnation || sequence <= max(e.relayedSequence, e.record.Heartbeat.Sequence) {
		return false
	}
	e.heardAt, e.relayedSequence = now, sequence
	changed := e.record.Silent
	e.record.Silent = false
	return changed
}

// Merge applies a record from another VM, including its silence, and reports whether the record
// changed.
func (t *Table) Merge(r Record, now time.Time) bool {
	id := r.Heartbeat.Backend
	e := t.entries[id]
	if r.Gone {
		return t.mergeTombstone(r, now)
	}
	if e != nil && sameHeartbeat(r.Heartbeat, e.record.Heartbeat) {
		changed := r.Silent != e.record.Silent
		e.record.Silent = r.Silent
		return t.mergeLeaving(r) || changed
	}
	changed := t.ApplyHeartbeat(r.Heartbeat, now)
	if !changed {
		return false
	}
	merged := t.entries[id].record
	merged.Silent = r.Silent
	if merged.EarlierSoftware == "" {
		merged.EarlierSoftware = r.EarlierSoftware
	}
	t.change(t.entries[id], merged)
	return true
}

// mergeTombstone applies a tombstone, unless it is of an earlier incarnation than the known one.
func (t *Table) mergeTombstone(r Record, now time.Time) bool {
	id := r.Heartbeat.Backend
	e := t.entries[id]
	if e == nil || r.Heartbeat.Incarnation > e.record.Heartbeat.Incarnation {
		t.start(r, now)
		return true
	}
	return r.Heartbeat.Incarnation == e.record.Heartbeat.Incarnation && t.Remove(id, now)
}

// sameHeartbeat reports whether two heartbeats of one identity are the same, by incarnation and
// sequence.
func sameHeartbeat(a, b laburnumlever.Heartbeat) bool {
	return a.Incarnation == b.Incarnation && a.Sequence == b.Sequence
}

// MergeFromControl applies a record from another control VM and reports whether it changed. Each
// control VM detects silence from the heartbeats it receives itself: if control VMs took it from each
// other, the record of a stopped backend server would flap between silent and alive for ever.
func (t *Table) MergeFromControl(r Record, now time.Time) bool {
	e := t.entries[r.Heartbeat.Backend]
	if e != nil && !r.Gone && !r.Heartbeat.NewerThan(e.record.Heartbeat) {
		return t.mergeLeaving(r)
	}
	return t.Merge(r, now)
}

// equalExceptSequence reports whether two heartbeats differ in their sequence at most.
func equalExceptSequence(a, b laburnumlever.Heartbeat) bool {
	a.Sequence, b.Sequence = 0, 0
	return reflect.DeepEqual(a, b)
}

// Remove turns the record of a backend server into a tombstone, creates one if the backend server is
// unknown, and reports whether the record changed.
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

// Forget drops the record of a backend server without a tombstone.
func (t *Table) Forget(id laburnumlever.BackendID) {
	if e := t.entries[id]; e != nil {
		t.count(e.record, -1)
		delete(t.entries, id)
	}
}

// RemoveStart is Remove for one start of a backend server: a newer one stays. Incarnation 0 stands for any.
func (t *Table) RemoveStart(id laburnumlever.BackendID, incarnation uint64, now time.Time) bool {
	if incarnation == 0 {
		return t.Remove(id, now)
	}
	return t.mergeTombstone(Record{Heartbeat: laburnumlever.Heartbeat{Backend: id, Incarnation: incarnation}, Gone: true}, now)
}

// MarkSilent marks backend servers without a heartbeat for three periods as silent and returns the
// newly marked ones, ordered by identity.
func (t *Table) MarkSilent(now time.Time) []laburnumlever.BackendID {
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

// Prune drops tombstones and records of silent backend servers after two minutes and returns their
// identities in order. Each start of a backend server has its own identity, so the table would
// otherwise grow with every release. Prune is for VMs that receive heartbeats themselves.
func (t *Table) Prune(now time.Time) []laburnumlever.BackendID {
	return t.prune(now, func(r Record) bool { return r.Gone || r.Silent })
}

// PruneTombstones is Prune for VMs that get records from other VMs only. They get none while nothing
// changes, so the age of a silent record means nothing and only tombstones are dropped.
func (t *Table) PruneTombstones(now time.Time) {
	t.prune(now, func(r Record) bool { return r.Gone })
}

func (t *Table) prune(now time.Time, droppable func(Record) bool) []laburnumlever.BackendID {
	var pruned []laburnumlever.BackendID
	for id, e := range t.entries {
		if droppable(e.record) && now.Sub(e.heardAt) > pruneAfter {
			t.count(e.record, -1)
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

// HasAddress reports whether a backend server that is not gone has the address.
func (t *Table) HasAddress(address string) bool {
	for _, e := range t.entries {
		if !e.record.Gone && e.record.Heartbeat.Address == address {
			return true
		}
	}
	return false
}

// Records returns all records, including tombstones, ordered by identity.
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
