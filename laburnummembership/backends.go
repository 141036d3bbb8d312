package laburnummembership

import (
	"reflect"
	"time"

	"laburnumlever"
)

// announce handles an announcement that a backend server sent to this VM. It returns a
// *StaleNewsError for an incarnation older than the known one.
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

// report handles a load report that a backend server sent to this VM. It returns a
// *NotFoundError for an incarnation not yet announced and a *StaleNewsError for an older
// incarnation or a repeated sequence number.
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
		return nil // gossip has already delivered a newer report
	}
	given.Loaded = sortedCopies(given.Loaded)
	if r.state.Publisher != c.self.ID || given.Sequence <= r.inventorySequence {
		// Only the publisher's inventory counts, together with its sequence number: deltas from
		// the publisher could not be applied to a newer inventory.
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

// queueLoad queues a load row for gossip: to this zone if the backend server belongs to it, and
// less often to all zones. The intervals grow with the number of backend servers, because their
// rows share a fixed number of bytes in each message.
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

// leaveBackend handles a backend server's notice that it is leaving. Its errors are those of
// report.
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

// becomePublisher makes this VM the publisher of a backend server that is in contact with it,
// if the backend server has no live publisher or is published as suspected or down.
func (c *core) becomePublisher(r *backendRecord, now time.Time) {
	if c.hasLivePublisher(r) && r.state.Health == healthReachable {
		return
	}
	next := r.state
	next.StateVersion++
	next.Publisher = c.self.ID
	next.Health = healthReachable
	c.backends.change(r, next, now)
	c.publishStatus(r.state.Backend)
	c.publishInventory(r, now)
}

// hasLivePublisher counts a suspected publisher as gone. If it is alive after all, two VMs
// publish for a moment, which costs only bytes.
func (c *core) hasLivePublisher(r *backendRecord) bool {
	if r.state.Publisher == c.self.ID {
		return true
	}
	publisher, ok := c.vms.records[r.state.Publisher]
	return ok && publisher.vm.State == laburnumlever.VMAlive
}

// mergeBackend merges a backend server's state received from another VM.
func (c *core) mergeBackend(n backendState, now time.Time, relay relayScope) {
	if !c.backends.merge(n, now) {
		return
	}
	c.factsChanged = true
	r := c.backends.records[n.Backend]
	if r.state.Publisher == c.self.ID && r.contactAt.IsZero() {
		// Other VMs hold this VM as the publisher, perhaps since before a restart: allow
		// the backend server as much time as after a contact.
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

// checkBackendHealth marks backend servers that this VM publishes as suspected and then as down
// once they lose contact, and takes over publishing those in contact that have no live
// publisher.
func (c *core) checkBackendHealth(now time.Time) {
	for _, r := range selected(c.backends.direct, func(r *backendRecord) bool { return c.needsHealthCheck(r, now) }) {
		silence := now.Sub(r.contactAt)
		switch {
		case r.state.Publisher != c.self.ID:
			c.becomePublisher(r, now)
		case silence >= backendTimeout+backendSuspicion:
			c.lowerHealth(r, healthDown, now)
		default:
			c.lowerHealth(r, healthSuspected, now)
		}
	}
}

// repeatLoads sends the last load row of a backend server that has stopped reporting once more.
// Each row is sent only a few times because a newer one normally follows; without the repeat,
// VMs that missed the very last row would keep an older load indefinitely.
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

// isDown tells whether this VM counts the backend server as down: its published health is down,
// or its publisher is gone and no other VM has taken over within orphanTimeout.
func (c *core) isDown(r *backendRecord, now time.Time) bool {
	if r.state.Health == healthDown {
		return true
	}
	if r.state.Publisher == c.self.ID || c.vms.lives(r.state.Publisher) {
		return false
	}
	since := r.updatedAt
	if publisher, ok := c.vms.records[r.state.Publisher]; ok && publisher.changedAt.After(since) {
		since = publisher.changedAt // gives another VM time to take over
	}
	return now.Sub(since) > orphanTimeout
}

// backendList returns the known backend servers in order of their id.
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
