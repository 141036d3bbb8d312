package laburnummembership

import (
	"reflect"
	"time"

	"laburnumlever"
)

// announce takes what a backend server says of itself directly.
func (c *core) announce(a laburnumlever.Announcement, now time.Time) error {
	r, ok := c.backends.records[a.Backend]
	if ok && a.Incarnation < r.state.Incarnation {
		return &laburnumlever.StaleNewsError{Backend: a.Backend, Known: r.state.Incarnation, Given: a.Incarnation}
	}
	if !ok || a.Incarnation > r.state.Incarnation {
		n := backendState{Backend: a.Backend, Incarnation: a.Incarnation, StateVersion: 1, Publisher: c.self.ID, Announcement: &a}
		c.backends.startIncarnation(n, now)
		c.backends.recordContact(c.backends.records[a.Backend], now)
		c.publishAnnouncement(a.Backend)
		return nil
	}
	c.backends.recordContact(r, now)
	c.becomePublisher(r, now)
	if r.state.Publisher == c.self.ID && !reflect.DeepEqual(*r.state.Announcement, a) {
		next := r.state
		next.StateVersion++
		next.Announcement = &a
		c.backends.change(r, next, now)
		c.publishAnnouncement(a.Backend)
	}
	return nil
}

func (c *core) publishAnnouncement(id laburnumlever.BackendID) {
	c.bulkQueue.push(announcementKey(id))
	c.factsChanged = true
}

// report takes a load report that a backend server sent directly.
func (c *core) report(given laburnumlever.LoadReport, now time.Time) error {
	r, ok := c.backends.records[given.Backend]
	switch {
	case !ok || given.Incarnation > r.state.Incarnation:
		return &laburnumlever.NotFoundError{Kind: "announced backend server", Name: string(given.Backend)}
	case given.Incarnation < r.state.Incarnation:
		return &laburnumlever.StaleNewsError{Backend: given.Backend, Known: r.state.Incarnation, Given: given.Incarnation}
	case given.Sequence <= r.directSequence:
		return &laburnumlever.StaleNewsError{Backend: given.Backend, Known: r.directSequence, Given: given.Sequence}
	}
	c.backends.recordContact(r, now)
	r.directSequence = given.Sequence
	c.becomePublisher(r, now)
	if given.Sequence < r.report.Sequence {
		return nil // gossip was faster
	}
	given.Loaded = sortedCopies(given.Loaded)
	if r.state.Publisher != c.self.ID || given.Sequence <= r.inventorySequence {
		// The inventory comes from the VM that speaks for it, with the sequence that
		// belongs to it: changes could not be applied to a newer state.
		given.Loaded, given.Fence = r.report.Loaded, r.report.Fence
	}
	changed := given.Fence != r.report.Fence || !reflect.DeepEqual(given.Loaded, r.report.Loaded)
	r.report = given
	r.reportedAt = now
	r.updatedAt = now
	c.loadsChanged = true
	if changed {
		c.factsChanged = true
	}
	if r.state.Publisher == c.self.ID {
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
	id := string(r.state.Backend)
	all := len(c.backends.records)
	near := 0
	if r.zone() == c.self.Zone {
		near = c.backends.zones[r.zone()]
	}
	if near > 0 && now.Sub(r.nearQueuedAt) >= loadPeriod(near, nearLoadStep) {
		r.nearQueuedAt = now
		c.nearLoadQueue.push(id)
	}
	if now.Sub(r.farQueuedAt) >= loadPeriod(all, farLoadStep) {
		r.farQueuedAt = now
		c.farLoadQueue.push(id)
		if near == 0 {
			c.nearLoadQueue.push(id)
		}
	}
}

func loadPeriod(backends int, step time.Duration) time.Duration {
	return max(loadInterval, time.Duration(backends)*step)
}

// leaveBackend takes a backend server's word that it leaves.
func (c *core) leaveBackend(id laburnumlever.BackendID, incarnation uint64, now time.Time) error {
	r, ok := c.backends.records[id]
	switch {
	case !ok || incarnation > r.state.Incarnation:
		return &laburnumlever.NotFoundError{Kind: "announced backend server", Name: string(id)}
	case incarnation < r.state.Incarnation:
		return &laburnumlever.StaleNewsError{Backend: id, Known: r.state.Incarnation, Given: incarnation}
	case r.state.Leaving:
		return nil
	}
	c.backends.recordContact(r, now)
	next := r.state
	next.Leaving = true
	c.backends.change(r, next, now)
	c.publishStatus(id)
	return nil
}

func (c *core) publishStatus(id laburnumlever.BackendID) {
	c.factQueue.push(backendKey(id))
	c.factsChanged = true
}

// becomePublisher makes this VM the one that speaks for a backend server it hears, if
// nobody alive does or what is said of it is wrong.
func (c *core) becomePublisher(r *backendRecord, now time.Time) {
	if c.hasLivePublisher(r) && r.state.Health == healthHeard {
		return
	}
	next := r.state
	next.StateVersion++
	next.Publisher = c.self.ID
	next.Health = healthHeard
	c.backends.change(r, next, now)
	c.publishStatus(r.state.Backend)
	c.publishInventory(r, now)
}

// hasLivePublisher counts a suspected speaker as gone: if it is not, two VMs speak for a
// moment, which costs only bytes.
func (c *core) hasLivePublisher(r *backendRecord) bool {
	if r.state.Publisher == c.self.ID {
		return true
	}
	publisher, ok := c.vms.records[r.state.Publisher]
	return ok && publisher.vm.State == laburnumlever.VMAlive
}

// mergeBackend takes in another VM's news of a backend server.
func (c *core) mergeBackend(n backendState, now time.Time, relay relayScope) {
	if !c.backends.merge(n, now) {
		return
	}
	c.factsChanged = true
	r := c.backends.records[n.Backend]
	if r.state.Publisher == c.self.ID && r.contactAt.IsZero() {
		// Others believe that this VM hears it, perhaps since before a restart: wait
		// for it as if it had just been heard.
		c.backends.recordContact(r, now)
	}
	if c.inContact(r, now) {
		c.becomePublisher(r, now)
	}
	if relay == relayNone {
		return
	}
	if n.Announcement != nil && relay == relayAll {
		c.bulkQueue.push(announcementKey(n.Backend))
		return
	}
	c.factQueue.push(backendKey(n.Backend))
}

func (c *core) inContact(r *backendRecord, now time.Time) bool {
	return !r.contactAt.IsZero() && now.Sub(r.contactAt) < backendTimeout
}

// checkBackendHealth doubts and declares down the backend servers that this VM speaks
// for and no longer hears, and takes over those whose speaker is gone.
func (c *core) checkBackendHealth(now time.Time) {
	for _, r := range selected(c.backends.direct, func(r *backendRecord) bool { return c.needsHealthCheck(r, now) }) {
		silence := now.Sub(r.contactAt)
		switch {
		case r.state.Publisher != c.self.ID:
			c.becomePublisher(r, now)
		case silence >= backendTimeout+backendSuspicion:
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
		return r.state.Publisher == c.self.ID && r.report.Sequence > 0 &&
			now.Sub(r.reportedAt) >= loadRepeatDelay && now.Sub(r.nearQueuedAt) >= loadRepeatDelay
	}
	for _, r := range selected(c.backends.direct, quiet) {
		r.nearQueuedAt, r.farQueuedAt = now, now
		c.nearLoadQueue.push(string(r.state.Backend))
		c.farLoadQueue.push(string(r.state.Backend))
	}
}

func (c *core) needsHealthCheck(r *backendRecord, now time.Time) bool {
	switch {
	case r.state.Publisher != c.self.ID:
		return c.inContact(r, now) && !c.hasLivePublisher(r)
	default:
		return !c.inContact(r, now) && r.state.Health != healthDown
	}
}

func (c *core) lowerHealth(r *backendRecord, h health, now time.Time) {
	if r.state.Health >= h {
		return
	}
	next := r.state
	next.Health = h
	c.backends.change(r, next, now)
	c.publishStatus(r.state.Backend)
}

// isDown is this VM's own view: declared down, or spoken for by a VM that is gone
// while nobody else has heard it.
func (c *core) isDown(r *backendRecord, now time.Time) bool {
	if r.state.Health == healthDown {
		return true
	}
	if r.state.Publisher == c.self.ID || c.vms.lives(r.state.Publisher) {
		return false
	}
	since := r.updatedAt
	if publisher, ok := c.vms.records[r.state.Publisher]; ok && publisher.changedAt.After(since) {
		since = publisher.changedAt // another VM needs time to take over
	}
	return now.Sub(since) > orphanTimeout
}

// backendList is what the view shows.
func (c *core) backendList(now time.Time) []laburnumlever.Backend {
	records := c.backends.sorted()
	out := make([]laburnumlever.Backend, len(records))
	for i, r := range records {
		out[i] = laburnumlever.Backend{
			Announcement: *r.state.Announcement,
			Report:       r.report,
			ReportedAt:   r.reportedAt,
			Leaving:      r.state.Leaving,
			Down:         c.isDown(r, now),
		}
	}
	return out
}
