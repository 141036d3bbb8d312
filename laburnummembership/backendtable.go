package laburnummembership

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// backendRecord is what this VM knows about one backend server.
type backendRecord struct {
	state  backendState
	report laburnumlever.LoadReport
	// reportedAt is when the report arrived here.
	reportedAt time.Time
	// inventorySequence is the report sequence number of the inventory last published or
	// received.
	inventorySequence uint64
	// delta is that inventory as a delta, for gossip. Base 0 means that there is no delta.
	delta inventoryUpdate
	// baseline is the inventory against which the publisher computes deltas.
	baseline inventoryBaseline
	// contactAt is when the backend server last contacted this VM directly, and directSequence
	// the sequence number of its last direct report.
	contactAt      time.Time
	directSequence uint64
	// updatedAt is when anything about it last changed here, load included; changedAt is when
	// its state last changed.
	updatedAt time.Time
	changedAt time.Time
	// nearQueuedAt and farQueuedAt are when its load was last queued for this zone and for the
	// others.
	nearQueuedAt, farQueuedAt time.Time
}

// backendTable holds the known backend servers.
type backendTable struct {
	records map[laburnumlever.BackendID]*backendRecord
	byKey   map[uint64]*backendRecord
	digest  *digest
	// direct holds those that have contacted this VM; only these are checked at each tick.
	direct map[laburnumlever.BackendID]*backendRecord
	// zones counts the backend servers of each availability zone.
	zones map[laburnumlever.ZoneName]int
}

func newBackendTable(d *digest) *backendTable {
	return &backendTable{
		records: map[laburnumlever.BackendID]*backendRecord{},
		byKey:   map[uint64]*backendRecord{},
		digest:  d,
		direct:  map[laburnumlever.BackendID]*backendRecord{},
		zones:   map[laburnumlever.ZoneName]int{},
	}
}

// supersedes tells whether a is newer than b. Leaving is not compared: once set, it stays set
// for the incarnation.
func (a backendState) supersedes(b backendState) bool {
	switch {
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.StateVersion != b.StateVersion:
		return a.StateVersion > b.StateVersion
	case a.Health != b.Health:
		return a.Health > b.Health
	default:
		return a.Publisher < b.Publisher
	}
}

// merge merges a state received from another VM and tells whether it changed anything.
func (t *backendTable) merge(n backendState, now time.Time) bool {
	r, ok := t.records[n.Backend]
	if !ok || n.Incarnation > r.state.Incarnation {
		return t.startIncarnation(n, now)
	}
	if n.Incarnation < r.state.Incarnation {
		return false
	}
	next := r.state
	if n.supersedes(r.state) {
		next = n
	}
	next.Leaving = n.Leaving || r.state.Leaving
	if n.Announcement == nil || !n.supersedes(r.state) {
		next.Announcement = r.state.Announcement
	}
	if next == r.state {
		return false
	}
	t.change(r, next, now)
	return true
}

// startIncarnation creates the record of a new incarnation and drops the reports of the
// previous one: a restarted engine holds none of its copies. It returns false for a state
// without an announcement and for an unknown backend server that is leaving or down.
func (t *backendTable) startIncarnation(n backendState, now time.Time) bool {
	old, known := t.records[n.Backend]
	if n.Announcement == nil || (!known && (n.Leaving || n.Health == healthDown)) {
		return false
	}
	if known {
		t.remove(old)
	}
	r := &backendRecord{state: n, updatedAt: now, changedAt: now}
	r.report = laburnumlever.LoadReport{Backend: n.Backend, Incarnation: n.Incarnation}
	t.records[n.Backend] = r
	t.byKey[loadKey(n.Backend, n.Incarnation)] = r
	t.zones[r.zone()]++
	t.toggle(r)
	return true
}

func (t *backendTable) change(r *backendRecord, next backendState, now time.Time) {
	t.toggle(r)
	r.state = next
	r.updatedAt = now
	r.changedAt = now
	t.toggle(r)
}

// mergeLoad merges one load row and tells whether it was newer than the known one.
func (t *backendTable) mergeLoad(r *backendRecord, row loadRow, now time.Time) bool {
	if row.sequence <= r.report.Sequence {
		return false
	}
	r.report.Sequence = row.sequence
	r.report.InFlight = int(row.inFlight)
	r.report.Queued = int(row.queued)
	r.reportedAt = now
	r.updatedAt = now
	return true
}

func (t *backendTable) remove(r *backendRecord) {
	t.toggle(r)
	t.zones[r.zone()]--
	delete(t.records, r.state.Backend)
	delete(t.direct, r.state.Backend)
	delete(t.byKey, loadKey(r.state.Backend, r.state.Incarnation))
}

// toggle adds the backend server's state to the digest or removes it. Suspicion is left out, as
// it lasts less than a second.
func (t *backendTable) toggle(r *backendRecord) {
	key := backendKey(r.state.Backend)
	status := uint64(0)
	if r.state.Leaving {
		status |= 1
	}
	if r.state.Health == healthDown {
		status |= 2
	}
	t.digest.toggle(key, hashFields(key, r.state.Incarnation, r.state.StateVersion, status, r.inventorySequence))
}

func (t *backendTable) sorted() []*backendRecord {
	return selected(t.records, func(*backendRecord) bool { return true })
}

// recordContact notes that the backend server contacted this VM directly.
func (t *backendTable) recordContact(r *backendRecord, now time.Time) {
	r.contactAt = now
	t.direct[r.state.Backend] = r
}

// selected returns the records that keep accepts, sorted by id so that runs with the same seed
// are reproducible.
func selected(records map[laburnumlever.BackendID]*backendRecord, keep func(*backendRecord) bool) []*backendRecord {
	var out []*backendRecord
	for _, r := range records {
		if keep(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *backendRecord) int {
		return strings.Compare(string(a.state.Backend), string(b.state.Backend))
	})
	return out
}

func (r *backendRecord) zone() laburnumlever.ZoneName { return r.state.Announcement.Zone }

func backendKey(id laburnumlever.BackendID) string { return "b" + string(id) }

func announcementKey(id laburnumlever.BackendID) string { return "a" + string(id) }

func inventoryKey(id laburnumlever.BackendID) string { return "i" + string(id) }
