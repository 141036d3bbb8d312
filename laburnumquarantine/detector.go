package laburnumquarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// suspectCrashes is the number of crashes from which a request is listed as suspect.
	suspectCrashes = 2
	// holdCrashes is the number of crashes from which a request is held. From one more on it is
	// quarantined: it was sent again after the hold and crashed another server.
	holdCrashes = 3
	// Where servers crash for other reasons, an innocent request is on several of them by chance.
	// One more crash is needed for each unrelatedPerCrash others within unrelatedTime, up to
	// maxHoldCrashes: more than an innocent request is sent to.
	unrelatedPerCrash = 4
	unrelatedTime     = 30 * time.Second
	maxHoldCrashes    = 5

	// maxSuspects bounds the requests that evidence is kept of. Those with the fewest crashes are
	// dropped first, the oldest of them first.
	maxSuspects = 16384
	// maxEntries bounds the entries listed for gateways.
	maxEntries = 1024
	// refreshShare is the share of the refusal time after which an entry is listed again while its
	// request is still seen, so that gateways which do not see it themselves keep the entry.
	refreshShare = 0.25
)

// Detector collects the reports of gateways and decides which requests are refused.
type Detector struct {
	crashes map[Crash]*crash
	// unexplained are the crashes that no request on holdCrashes servers was on; it is set by each
	// evaluation.
	unexplained []*crash
	suspects    map[laburnumlever.RequestDigest]*suspect
	listed      map[laburnumlever.RequestDigest]listing
}

// crash is a crash of a backend server.
type crash struct {
	id   Crash
	seen time.Time
	// requests is the number of suspects that were on the server.
	requests int
	// explained is set if one of them was on holdCrashes servers.
	explained bool
}

// suspect is a request that was on a crashed server.
type suspect struct {
	digest laburnumlever.RequestDigest
	// crashes are the latest ones, at most maxHoldCrashes+1.
	crashes []*crash
	// elsewhere is the state that another control VM or an earlier start of this one has told
	// gateways.
	elsewhere State
	seen      time.Time
	// ends is the number of its copies that were on crashed servers.
	ends int
	// state is set by each evaluation.
	state State
}

// listing is an entry as last returned by Changes.
type listing struct {
	entry Entry
	at    time.Time
}

// NewDetector returns a detector without evidence.
func NewDetector() *Detector {
	return &Detector{
		crashes: map[Crash]*crash{}, suspects: map[laburnumlever.RequestDigest]*suspect{},
		listed: map[laburnumlever.RequestDigest]listing{},
	}
}

// Size returns the number of requests and of crashes that evidence is kept of.
func (d *Detector) Size() (requests, crashes int) { return len(d.suspects), len(d.crashes) }

// Add adds a gateway's report. Changes tells what follows from it.
func (d *Detector) Add(r Report, now time.Time) {
	for _, s := range r.Sightings {
		d.addSighting(s, now)
	}
	for _, digest := range r.Refused {
		if s := d.suspects[digest]; s != nil {
			s.seen = now
		}
	}
	for _, e := range r.Listed {
		if e.Part != nil {
			continue
		}
		s := d.suspect(e.Digest)
		s.elsewhere, s.seen = max(s.elsewhere, e.State), now
	}
	for _, digest := range r.Completed {
		d.drop(digest)
	}
	d.bound()
}

func (d *Detector) addSighting(sighting Sighting, now time.Time) {
	c := d.crashes[sighting.Crash]
	if c == nil {
		c = &crash{id: sighting.Crash, seen: now}
		d.crashes[sighting.Crash] = c
	}
	s := d.suspect(sighting.Digest)
	s.seen = now
	s.ends++
	if slices.Contains(s.crashes, c) {
		return
	}
	if len(s.crashes) > maxHoldCrashes {
		d.release(s.crashes[0])
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, c)
	c.requests++
	if len(s.crashes) >= holdCrashes {
		for _, c := range s.crashes {
			c.explained = true
		}
	}
}

func (d *Detector) suspect(digest laburnumlever.RequestDigest) *suspect {
	s := d.suspects[digest]
	if s == nil {
		s = &suspect{digest: digest}
		d.suspects[digest] = s
	}
	return s
}

// drop forgets a request, and the crashes that no other request was on.
func (d *Detector) drop(digest laburnumlever.RequestDigest) {
	s := d.suspects[digest]
	if s == nil {
		return
	}
	delete(d.suspects, digest)
	for _, c := range s.crashes {
		d.release(c)
	}
}

// release drops a reference to a crash, and the crash with the last one.
func (d *Detector) release(c *crash) {
	if c.requests--; c.requests == 0 {
		delete(d.crashes, c.id)
	}
}

// bound drops suspects above maxSuspects, a tenth of them at a time.
func (d *Detector) bound() {
	if len(d.suspects) <= maxSuspects {
		return
	}
	list := make([]*suspect, 0, len(d.suspects))
	for _, s := range d.suspects {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.elsewhere, b.elsewhere), cmp.Compare(len(a.crashes), len(b.crashes)), a.seen.Compare(b.seen))
	})
	const share = 10
	for _, s := range list[:len(list)-maxSuspects+maxSuspects/share] {
		d.drop(s.digest)
	}
}

// Changes returns the entries that changed since the last call, sorted by digest, with Cleared for
// those that are no longer listed. It drops evidence older than Retention.
func (d *Detector) Changes(now time.Time) []Entry {
	for digest, s := range d.suspects {
		if now.Sub(s.seen) > Retention {
			d.drop(digest)
		}
	}
	entries := d.entries(now)
	var changed []Entry
	for digest, e := range entries {
		old, ok := d.listed[digest]
		if !ok || old.entry.State != e.State || old.entry.Alone != e.Alone || d.mustRefresh(old) {
			d.listed[digest] = listing{entry: e, at: now}
			changed = append(changed, e)
		}
	}
	for digest := range d.listed {
		if _, ok := entries[digest]; !ok {
			delete(d.listed, digest)
			changed = append(changed, Entry{Digest: digest, State: Cleared})
		}
	}
	slices.SortFunc(changed, func(a, b Entry) int { return bytes.Compare(a.Digest[:], b.Digest[:]) })
	return changed
}

// mustRefresh reports whether a refused request was seen long enough after its entry was listed.
func (d *Detector) mustRefresh(l listing) bool {
	after := time.Duration(refreshShare * float64(l.entry.State.RefusalTime()))
	return after > 0 && d.suspects[l.entry.Digest].seen.Sub(l.at) >= after
}

// entries returns the states that follow from the evidence, at most maxEntries, the most severe ones
// first.
func (d *Detector) entries(now time.Time) map[laburnumlever.RequestDigest]Entry {
	d.unexplained = d.unexplained[:0]
	for _, c := range d.crashes {
		if !c.explained {
			d.unexplained = append(d.unexplained, c)
		}
	}
	var list []*suspect
	for _, s := range d.suspects {
		if s.state = d.state(s, now); s.state != Cleared {
			list = append(list, s)
		}
	}
	if len(list) > maxEntries {
		slices.SortFunc(list, func(a, b *suspect) int {
			return cmp.Or(cmp.Compare(b.state, a.state), b.seen.Compare(a.seen))
		})
		list = list[:maxEntries]
	}
	entries := make(map[laburnumlever.RequestDigest]Entry, len(list))
	for _, s := range list {
		entries[s.digest] = Entry{Digest: s.digest, State: s.state, Crashes: len(s.crashes), Alone: s.state == Suspect && s.ends >= holdCrashes}
	}
	return entries
}

func (d *Detector) state(s *suspect, now time.Time) State {
	state := max(d.ownState(s), s.elsewhere)
	if state == Held && now.Sub(s.seen) >= HoldTime {
		return Suspect
	}
	return state
}

// ownState returns the state that follows from the crashes.
func (d *Detector) ownState(s *suspect) State {
	switch {
	case len(s.crashes) < suspectCrashes && s.ends >= holdCrashes:
		return Suspect
	case len(s.crashes) < suspectCrashes:
		return Cleared
	case len(s.crashes) < holdCrashes:
		return Suspect
	}
	limit := holdCrashes + d.unrelated(s)/unrelatedPerCrash
	switch {
	case len(s.crashes) < limit:
		return Suspect
	case len(s.crashes) == limit:
		return Held
	default:
		return Quarantined
	}
}

// unrelated returns the number of unexplained crashes from unrelatedTime before the request's first
// crash to unrelatedTime after its last, up to the number that makes no more difference. The request's
// own ones are explained by itself.
func (d *Detector) unrelated(s *suspect) int {
	first, last := s.crashes[0].seen.Add(-unrelatedTime), s.crashes[len(s.crashes)-1].seen.Add(unrelatedTime)
	const most = (maxHoldCrashes - holdCrashes) * unrelatedPerCrash
	n := 0
	for _, c := range d.unexplained {
		if n == most {
			break
		}
		if c.seen.After(first) && c.seen.Before(last) {
			n++
		}
	}
	return n
}

// Backends returns the crashed servers that a request was on, in the order of the crashes.
func (d *Detector) Backends(digest laburnumlever.RequestDigest) []laburnumlever.BackendID {
	s := d.suspects[digest]
	if s == nil {
		return nil
	}
	var ids []laburnumlever.BackendID
	for _, c := range s.crashes {
		ids = append(ids, c.id.Backend)
	}
	return ids
}
