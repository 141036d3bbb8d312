package laburnummembership

import (
	"reflect"
	"time"

	"laburnumlever"
)

// announce takes what a backend server says of itself directly.
func (c *core) announce(a laburnumlever.Announcement, now time.Time) error {
	r, ok := c.backends.records[a.Backend]
	if ok && a.Incarnation < r.news.Incarnation {
		return &laburnumlever.StaleNewsError{Backend: a.Backend, Known: r.news.Incarnation, Given: a.Incarnation}
	}
	if !ok || a.Incarnation > r.news.Incarnation {
		n := backendNews{Backend: a.Backend, Incarnation: a.Incarnation, Beat: 1, Speaker: c.self.ID, Announcement: &a}
		c.backends.begin(n, now)
		c.backends.hear(c.backends.records[a.Backend], now)
		c.publishFull(a.Backend)
		return nil
	}
	c.backends.hear(r, now)
	c.speakFor(r, now)
	if r.news.Speaker == c.self.ID && !reflect.DeepEqual(*r.news.Announcement, a) {
		next := r.news
		next.Beat++
		next.Announcement = &a
		c.backends.change(r, next, now)
		c.publishFull(a.Backend)
	}
	return nil
}

func (c *core) publishFull(id laburnumlever.BackendID) {
	c.bulk.push(announcementKey(id))
	c.factsChanged = true
}

// report takes a load report that a backend server sent directly.
func (c *core) report(given laburnumlever.LoadReport, now time.Time) error {
	r, ok := c.backends.records[given.Backend]
	switch {
	case !ok || given.Incarnation > r.news.Incarnation:
		return &laburnumlever.NotFoundError{Kind: "announced backend server", Name: string(given.Backend)}
	case given.Incarnation < r.news.Incarnation:
		return &laburnumlever.StaleNewsError{Backend: given.Backend, Known: r.news.Incarnation, Given: given.Incarnation}
	case given.Sequence <= r.directSequence:
		return &laburnumlever.StaleNewsError{Backend: given.Backend, Known: r.directSequence, Given: given.Sequence}
	}
	c.backends.hear(r, now)
	r.directSequence = given.Sequence
	c.speakFor(r, now)
	if given.Sequence < r.report.Sequence {
		return nil // gossip was faster
	}
	given.Loaded = inOrder(given.Loaded)
	if r.news.Speaker != c.self.ID || given.Sequence <= r.inventorySequence {
		// The inventory comes from the VM that speaks for it, with the sequence that
		// belongs to it: changes could not be applied to a newer state.
		given.Loaded, given.Fence = r.report.Loaded, r.report.Fence
	}
	changed := given.Fence != r.report.Fence || !reflect.DeepEqual(given.Loaded, r.report.Loaded)
	r.report = given
	r.reportedAt = now
	r.newsAt = now
	c.loadsChanged = true
	if changed {
		c.factsChanged = true
	}
	if r.news.Speaker == c.self.ID {
		c.publishReport(r, changed, now)
	}
	return nil
}

func (c *core) publishReport(r *backendRecord, inventoryChanged bool, now time.Time) {
	if inventoryChanged {
		c.publishInventory(r, now)
	}
	c.queueLoad(r, now)
}

// queueLoad passes a load on: to the own zone if it is from there, and to all
// zones less often. The intervals grow with the number of backend servers, since all
// their rows share the same bytes.
func (c *core) queueLoad(r *backendRecord, now time.Time) {
	id := string(r.news.Backend)
	all := len(c.backends.records)
	near := 0
	if r.zone() == c.self.Zone {
		near = c.backends.zones[r.zone()]
	}
	if near > 0 && now.Sub(r.nearAt) >= loadEvery(near, nearLoadStep) {
		r.nearAt = now
		c.nearLoads.push(id)
	}
	if now.Sub(r.farAt) >= loadEvery(all, farLoadStep) {
		r.farAt = now
		c.farLoads.push(id)
		if near == 0 {
			c.nearLoads.push(id)
		}
	}
}

func loadEvery(backends int, step time.Duration) time.Duration {
	return max(loadInterval, time.Duration(backends)*step)
}

// leaveBackend takes a backend server's word that it leaves.
func (c *core) leaveBackend(id laburnumlever.BackendID, incarnation uint64, now time.Time) error {
	r, ok := c.backends.records[id]
	switch {
	case !ok || incarnation > r.news.Incarnation:
		return &laburnumlever.NotFoundError{Kind: "announced backend server", Name: string(id)}
	case incarnation < r.news.Incarnation:
		return &laburnumlever.StaleNewsError{Backend: id, Known: r.news.Incarnation, Given: incarnation}
	case r.news.Leaving:
		return nil
	}
	c.backends.hear(r, now)
	next := r.news
	next.Leaving = true
	c.backends.change(r, next, now)
	c.publishStatus(id)
	return nil
}

func (c *core) publishStatus(id laburnumlever.BackendID) {
	c.facts.push(backendKey(id))
	c.factsChanged = true
}

// speakFor makes this VM the one that speaks for a backend server it hears, if
// nobody alive does or what is said of it is wrong.
func (c *core) speakFor(r *backendRecord, now time.Time) {
	if c.isSpokenFor(r) && r.news.Health == healthHeard {
		return
	}
	next := r.news
	next.Beat++
	next.Speaker = c.self.ID
	next.Health = healthHeard
	c.backends.change(r, next, now)
	c.publishStatus(r.news.Backend)
	c.publishInventory(r, now)
}

// isSpokenFor counts a suspected speaker as gone: if it is not, two VMs speak for a
// moment, which costs only bytes.
func (c *core) isSpokenFor(r *backendRecord) bool {
	if r.news.Speaker == c.self.ID {
		return true
	}
	speaker, ok := c.vms.records[r.news.Speaker]
	return ok && speaker.vm.State == laburnumlever.VMAlive
}

// mergeBackend takes in another VM's news of a backend server.
func (c *core) mergeBackend(n backendNews, now time.Time, relay relaying) {
	if !c.backends.merge(n, now) {
		return
	}
	c.factsChanged = true
	r := c.backends.records[n.Backend]
	if r.news.Speaker == c.self.ID && r.heardAt.IsZero() {
		// Others believe that this VM hears it, perhaps since before a restart: wait
		// for it as if it had just been heard.
		c.backends.hear(r, now)
	}
	if c.hears(r, now) {
		c.speakFor(r, now)
	}
	if relay == relayNone {
		return
	}
	if n.Announcement != nil && relay == relayAll {
		c.bulk.push(announcementKey(n.Backend))
		return
	}
	c.facts.push(backendKey(n.Backend))
}

func (c *core) hears(r *backendRecord, now time.Time) bool {
	return !r.heardAt.IsZero() && now.Sub(r.heardAt) < backendSilence
}

// judgeBackends doubts and declares down the backend servers that this VM speaks
// for and no longer hears, and takes over those whose speaker is gone.
func (c *core) judgeBackends(now time.Time) {
	for _, r := range selected(c.backends.direct, func(r *backendRecord) bool { return c.needsJudging(r, now) }) {
		silence := now.Sub(r.heardAt)
		switch {
		case r.news.Speaker != c.self.ID:
			c.speakFor(r, now)
		case silence >= backendSilence+backendDoubt:
			c.lowerHealth(r, healthDown, now)
		default:
			c.lowerHealth(r, healthDoubted, now)
		}
	}
}

// repeatLoads sends the last load of a backend server that has stopped reporting
// once more. A row is passed on a few times only, since a newer one follows; after
// the last one of all, the VMs that it missed would show an older load for good.
func (c *core) repeatLoads(now time.Time) {
	quiet := func(r *backendRecord) bool {
		return r.news.Speaker == c.self.ID && r.report.Sequence > 0 &&
			now.Sub(r.reportedAt) >= loadRepeat && now.Sub(r.nearAt) >= loadRepeat
	}
	for _, r := range selected(c.backends.direct, quiet) {
		r.nearAt, r.farAt = now, now
		c.nearLoads.push(string(r.news.Backend))
		c.farLoads.push(string(r.news.Backend))
	}
}

func (c *core) needsJudging(r *backendRecord, now time.Time) bool {
	switch {
	case r.news.Speaker != c.self.ID:
		return c.hears(r, now) && !c.isSpokenFor(r)
	default:
		return !c.hears(r, now) && r.news.Health != healthDown
	}
}

func (c *core) lowerHealth(r *backendRecord, h health, now time.Time) {
	if r.news.Health >= h {
		return
	}
	next := r.news
	next.Health = h
	c.backends.change(r, next, now)
	c.publishStatus(r.news.Backend)
}

// isDown is this VM's own view: declared down, or spoken for by a VM that is gone
// while nobody else has heard it.
func (c *core) isDown(r *backendRecord, now time.Time) bool {
	if r.news.Health == healthDown {
		return true
	}
	if r.news.Speaker == c.self.ID || c.vms.lives(r.news.Speaker) {
		return false
	}
	since := r.newsAt
	if speaker, ok := c.vms.records[r.news.Speaker]; ok && speaker.changedAt.After(since) {
		since = speaker.changedAt // another VM needs time to take over
	}
	return now.Sub(since) > backendOrphan
}

// backendList is what the view shows.
func (c *core) backendList(now time.Time) []laburnumlever.Backend {
	records := c.backends.sorted()
	out := make([]laburnumlever.Backend, len(records))
	for i, r := range records {
		out[i] = laburnumlever.Backend{
			Announcement: *r.news.Announcement,
			Report:       r.report,
			ReportedAt:   r.reportedAt,
			Leaving:      r.news.Leaving,
			Down:         c.isDown(r, now),
		}
	}
	return out
}
