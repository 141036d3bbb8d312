package laburnummembership

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// backendRecord is one backend server.
type backendRecord struct {
	news   backendNews
	report laburnumlever.LoadReport
	// reportedAt is when the report was learnt.
	reportedAt time.Time
	// inventorySequence is that of the last inventory made news.
	inventorySequence uint64
	// delta is that news as a change, for passing on; without a Base there is none.
	delta inventoryNews
	// basis is what the VM that speaks for it makes changes against.
	basis inventoryBasis
	// heardAt is when it was last heard directly, directSequence its report then.
	heardAt        time.Time
	directSequence uint64
	// newsAt is when anything new was learnt of it.
	newsAt    time.Time
	changedAt time.Time
	// nearAt and farAt are when its load was last queued for the own zone and
	// for others.
	nearAt, farAt time.Time
}

// backendTable holds the backend servers.
type backendTable struct {
	records map[laburnumlever.BackendID]*backendRecord
	byKey   map[uint64]*backendRecord
	digest  *digest
	// direct are those ever heard directly; only these are judged at each tick.
	direct map[laburnumlever.BackendID]*backendRecord
	// zones counts them by availability zone.
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

// supersedes tells whether a changes what b says. Leaving is not compared here:
// it is sticky within an incarnation.
func (a backendNews) supersedes(b backendNews) bool {
	switch {
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.Beat != b.Beat:
		return a.Beat > b.Beat
	case a.Health != b.Health:
		return a.Health > b.Health
	default:
		return a.Speaker < b.Speaker
	}
}

// merge takes in news and tells whether it changed anything.
func (t *backendTable) merge(n backendNews, now time.Time) bool {
	r, ok := t.records[n.Backend]
	if !ok || n.Incarnation > r.news.Incarnation {
		return t.begin(n, now)
	}
	if n.Incarnation < r.news.Incarnation {
		return false
	}
	next := r.news
	if n.supersedes(r.news) {
		next = n
	}
	next.Leaving = n.Leaving || r.news.Leaving
	if n.Announcement == nil || !n.supersedes(r.news) {
		next.Announcement = r.news.Announcement
	}
	if next == r.news {
		return false
	}
	t.change(r, next, now)
	return true
}

// begin starts the record of an incarnation. What an earlier one reported is
// dropped: the restarted engine holds nothing of it.
func (t *backendTable) begin(n backendNews, now time.Time) bool {
	old, known := t.records[n.Backend]
	if n.Announcement == nil || (!known && (n.Leaving || n.Health == healthDown)) {
		return false
	}
	if known {
		t.remove(old)
	}
	r := &backendRecord{news: n, newsAt: now, changedAt: now}
	r.report = laburnumlever.LoadReport{Backend: n.Backend, Incarnation: n.Incarnation}
	t.records[n.Backend] = r
	t.byKey[loadKey(n.Backend, n.Incarnation)] = r
	t.zones[r.zone()]++
	t.toggle(r)
	return true
}

func (t *backendTable) change(r *backendRecord, next backendNews, now time.Time) {
	t.toggle(r)
	r.news = next
	r.newsAt = now
	r.changedAt = now
	t.toggle(r)
}

// mergeLoad takes in one load row; a late one changes nothing.
func (t *backendTable) mergeLoad(r *backendRecord, row loadRow, now time.Time) bool {
	if row.sequence <= r.report.Sequence {
		return false
	}
	r.report.Sequence = row.sequence
	r.report.InFlight = int(row.inFlight)
	r.report.Queued = int(row.queued)
	r.reportedAt = now
	r.newsAt = now
	return true
}

func (t *backendTable) remove(r *backendRecord) {
	t.toggle(r)
	t.zones[r.zone()]--
	delete(t.records, r.news.Backend)
	delete(t.direct, r.news.Backend)
	delete(t.byKey, loadKey(r.news.Backend, r.news.Incarnation))
}

// toggle leaves a doubt out of the digest: it passes within a second.
func (t *backendTable) toggle(r *backendRecord) {
	key := backendKey(r.news.Backend)
	status := uint64(0)
	if r.news.Leaving {
		status |= 1
	}
	if r.news.Health == healthDown {
		status |= 2
	}
	t.digest.toggle(key, hashFields(key, r.news.Incarnation, r.news.Beat, status, r.inventorySequence))
}

func (t *backendTable) sorted() []*backendRecord {
	return selected(t.records, func(*backendRecord) bool { return true })
}

// hear notes that a backend server was heard directly.
func (t *backendTable) hear(r *backendRecord, now time.Time) {
	r.heardAt = now
	t.direct[r.news.Backend] = r
}

// selected lists some of the records by id, so that the same seed gives the same
// run.
func selected(records map[laburnumlever.BackendID]*backendRecord, keep func(*backendRecord) bool) []*backendRecord {
	var out []*backendRecord
	for _, r := range records {
		if keep(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *backendRecord) int {
		return strings.Compare(string(a.news.Backend), string(b.news.Backend))
	})
	return out
}

func (r *backendRecord) zone() laburnumlever.ZoneName { return r.news.Announcement.Zone }

func backendKey(id laburnumlever.BackendID) string { return "b" + string(id) }

func announcementKey(id laburnumlever.BackendID) string { return "a" + string(id) }

func inventoryKey(id laburnumlever.BackendID) string { return "i" + string(id) }
