package laburnumorder

import (
	"context"
	"slices"
	"time"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

// engine is the owner's state for one engine of its zone.
type engine struct {
	announcement laburnumlever.Announcement
	gone         bool // down or not announced
	// orderable means that the ledger has the inventory of this incarnation, read under
	// the current lease, so that orders may be sent.
	orderable   bool
	incarnation uint64
	count       uint64 // claims and orders numbered under the current lease
	activeRead  uint64 // number of the read in progress, 0 for none
	readCount   uint64
	nextRead    time.Time
	order       *trackedOrder // the order in progress, nil for none
	pauseUntil  time.Time
	// intents are proposed to the log and not yet resolved.
	intents map[laburnumlever.OrderID]laburnumlever.OrderIntent
	// loading maps each loading copy to when it was ordered or first seen.
	loading map[string]time.Time
	// updates maps copies to the size and adapters of the last load order.
	updates map[string]laburnumlever.ModelCopy
}

func (o *Owner) engine(backend laburnumlever.BackendID) *engine {
	e, ok := o.engines[backend]
	if !ok {
		e = &engine{
			intents: make(map[laburnumlever.OrderID]laburnumlever.OrderIntent),
			loading: make(map[string]time.Time),
			updates: make(map[string]laburnumlever.ModelCopy),
			gone:    true,
		}
		o.engines[backend] = e
	}
	return e
}

// resetClaim makes the owner claim the engine again, because the lease is new.
func (e *engine) resetClaim() {
	e.orderable = false
	e.count = 0
	e.nextRead = time.Time{}
}

// sortedEngines lists the engines in a fixed order, so that runs are reproducible.
func (o *Owner) sortedEngines() []laburnumlever.BackendID {
	ids := make([]laburnumlever.BackendID, 0, len(o.engines))
	for id := range o.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// updateEngines updates the engines of the zone from the view.
func (o *Owner) updateEngines(view *laburnumlever.View, now time.Time) {
	for _, e := range o.engines {
		e.gone = true
	}
	for _, b := range view.Backends {
		if b.Announcement.Zone != o.self.Zone || b.Announcement.Kind != laburnumlever.Engine {
			continue
		}
		e := o.engine(b.Announcement.Backend)
		e.gone = b.Down
		e.announcement = b.Announcement
		if e.orderable && b.Announcement.Incarnation > e.incarnation {
			// It restarted: its memory is empty and its fencing number is lost.
			e.orderable = false
			e.nextRead = time.Time{}
		}
		if e.orderable && o.reportDiffers(e, b.Report) {
			e.readNoLaterThan(now.Add(busyReadPeriod))
		}
	}
}

// reportDiffers reports whether a load report differs from the ledger. The report may be
// older than the ledger, so a difference only triggers a read of the inventory.
func (o *Owner) reportDiffers(e *engine, r laburnumlever.LoadReport) bool {
	if len(e.announcement.Accelerators) != len(o.ledger.Accelerators(e.announcement.Backend)) {
		return true
	}
	if r.Incarnation != e.incarnation {
		return false
	}
	known := o.ledger.Loaded(e.announcement.Backend)
	return !slices.EqualFunc(known, r.Loaded, func(a, b laburnumlever.ModelCopy) bool {
		return a.Ready == b.Ready && a.Draining == b.Draining && a.PartMiB == b.PartMiB &&
			len(a.Adapters) == len(b.Adapters) && copyKey(a) == copyKey(b)
	})
}

func (e *engine) readNoLaterThan(at time.Time) {
	if e.nextRead.After(at) {
		e.nextRead = at
	}
}

// startDueReads claims the engines whose inventory read is due. A read and an order never
// run concurrently on one engine: the read could miss the order's copy.
func (o *Owner) startDueReads(now time.Time) {
	for _, id := range o.sortedEngines() {
		e := o.engines[id]
		if e.gone || e.activeRead != 0 || now.Before(e.nextRead) || e.order != nil && !e.order.is(stateUnknown) {
			continue
		}
		o.startRead(e, now)
	}
}

func (o *Owner) startRead(e *engine, now time.Time) {
	e.readCount++
	e.activeRead = e.readCount
	e.nextRead = now.Add(readRetryDelay)
	e.count++
	if e.count >= maxCount {
		// No numbers are left under this lease; the next grant has a new lease number.
		o.releaseLease()
		return
	}
	read, number, to := e.activeRead, FencingNumber(o.lease.fence, e.count), e.announcement
	o.call(func(ctx context.Context) {
		began := o.timers.Now()
		inventory, err := o.client.Claim(ctx, to, number)
		o.loop.Post(o, readAnswered{backend: to.Backend, read: read, began: began, number: number, inventory: inventory, err: err})
	})
}

func (o *Owner) onRead(ev readAnswered) {
	e := o.engine(ev.backend)
	if e.activeRead != ev.read {
		return
	}
	e.activeRead = 0
	if LeaseNumber(ev.number) != o.lease.fence {
		return
	}
	now := o.timers.Now()
	if err := o.checkRead(e, ev); err != nil {
		_ = level.Debug(o.logger).Log("event", laburnumlever.EventInventoryNotRead, "backend", ev.backend, "err", err)
		return
	}
	o.ledger.ApplyInventory(ev.backend, ev.inventory, ev.began)
	e.incarnation = ev.inventory.Incarnation
	e.orderable = e.announcement.ChecksFencing || !ev.began.Before(o.earlierOrdersUntil)
	o.settleOrders(e, ev)
	o.trackLoads(e, now)
	e.nextRead = now.Add(o.readPeriod(e))
	if !e.orderable {
		e.readNoLaterThan(o.earlierOrdersUntil)
	}
}

func (o *Owner) checkRead(e *engine, ev readAnswered) error {
	switch {
	case ev.err != nil:
		return ev.err
	case ev.inventory.Backend != ev.backend:
		return &WrongEngineError{Want: ev.backend, Got: ev.inventory.Backend}
	case ev.inventory.Incarnation < e.announcement.Incarnation:
		return &laburnumlever.StaleNewsError{Backend: ev.backend, Known: e.announcement.Incarnation, Given: ev.inventory.Incarnation}
	case !e.announcement.ChecksFencing:
		return nil
	}
	return o.checkFence(e, ev)
}

func (o *Owner) checkFence(e *engine, ev readAnswered) error {
	if ev.inventory.Fence < ev.number {
		// It announces that it checks fencing numbers but did not adopt this one, so an
		// old order could still take effect. It gets no orders.
		e.orderable = false
		return &FenceIgnoredError{Backend: ev.backend, Claimed: ev.number, Kept: ev.inventory.Fence}
	}
	if ev.inventory.Fence > ev.number {
		// Another owner has claimed it, so this owner's lease has expired.
		e.orderable = false
		o.lease.next = time.Time{}
		return &laburnumlever.StaleNewsError{Backend: ev.backend, Known: ev.inventory.Fence, Given: ev.number}
	}
	return nil
}

func (o *Owner) readPeriod(e *engine) time.Duration {
	if len(e.loading) > 0 || len(e.intents) > 0 || e.order != nil || len(o.ledger.PendingOrders(e.announcement.Backend)) > 0 {
		return busyReadPeriod
	}
	return idleReadPeriod
}

// trackLoads updates which copies are loading from the weight store.
func (o *Owner) trackLoads(e *engine, now time.Time) {
	seen := make(map[string]bool)
	for _, c := range o.ledger.Loaded(e.announcement.Backend) {
		key := copyKey(c)
		seen[key] = true
		if _, known := e.loading[key]; !c.Ready && !c.Draining && !known {
			e.loading[key] = now
		}
		if c.Draining || c.Ready && e.hasOrderedForm(key, c) {
			delete(e.loading, key)
		}
	}
	e.pruneLoads(seen, now)
}

// pruneLoads removes the loads of copies that are gone or that exceed maxLoadTime.
func (e *engine) pruneLoads(seen map[string]bool, now time.Time) {
	for key, since := range e.loading {
		if !seen[key] || now.Sub(since) > maxLoadTime {
			delete(e.loading, key)
		}
	}
	for key := range e.updates {
		if _, loading := e.loading[key]; !loading {
			delete(e.updates, key)
		}
	}
}

// hasOrderedForm reports whether a copy has the size and adapters of its last load order.
// A ready copy may still be changing in place.
func (e *engine) hasOrderedForm(key string, c laburnumlever.ModelCopy) bool {
	want, ok := e.updates[key]
	return !ok || c.PartMiB == want.PartMiB && slices.Equal(c.Adapters, want.Adapters)
}

// activeLoads counts the zone's loads against its share of the weight store. Loads of an
// absent engine count too: it may only be unreachable from this VM.
func (o *Owner) activeLoads(now time.Time) int {
	n := 0
	for _, e := range o.engines {
		for _, since := range e.loading {
			if now.Sub(since) <= maxLoadTime {
				n++
			}
		}
	}
	return n
}
