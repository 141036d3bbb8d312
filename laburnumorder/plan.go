package laburnumorder

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"
)

// plan runs one planning round over the whole fleet and starts this zone's moves, as far
// as engines are idle, the ledger has memory and the zone's share of the weight store
// allows.
func (o *Owner) plan(view *laburnumlever.View, now time.Time) {
	if view.Catalogue.Revision == 0 {
		// No catalogue has been received yet; planning now would unload all models.
		return
	}
	snapshot := o.snapshot(view, now)
	plan := o.planner.Plan(snapshot)
	quota := laburnumplacement.LoadQuotaOf(view.Catalogue.Deployment, o.self.Zone)
	if o.resetLimiter {
		o.limiter = laburnumplacement.NewLoadLimiter(now, quota)
		o.resetLimiter = false
	}
	for _, m := range plan.Moves {
		if m.Zone != o.self.Zone {
			continue
		}
		if m.Kind == laburnumlever.Load && !o.limiter.Ready(now, quota, o.activeLoads(now)) {
			continue
		}
		if o.startMove(m, now) && m.Kind == laburnumlever.Load {
			o.limiter = o.limiter.AfterLoad(now, quota)
		}
	}
	o.publish(snapshot, plan, now)
}

func (o *Owner) snapshot(view *laburnumlever.View, now time.Time) laburnumplacement.Snapshot {
	s := laburnumplacement.Snapshot{
		Catalogue: view.Catalogue,
		Demand:    o.estimator.Demand(),
		OwnZone:   o.self.Zone,
		Engines:   make([]laburnumplacement.Engine, 0, len(view.Backends)),
	}
	old := make(map[laburnumlever.BackendID]bool)
	for _, b := range view.Backends {
		if b.Announcement.Kind != laburnumlever.Engine {
			continue
		}
		e := laburnumplacement.EngineOf(b)
		if now.Sub(b.ReportedAt) > maxReportAge && e.Zone != o.self.Zone {
			old[e.ID] = true
		}
		if own, ok := o.engines[e.ID]; ok && e.Zone == o.self.Zone {
			o.applyLedger(&e, own, b, now)
		}
		s.Engines = append(s.Engines, e)
	}
	o.readiness.markStable(s.Engines, old, now)
	s.RecentlyChanged = o.versions.recentlyChanged(view.Catalogue.Models, now)
	s.Overdue = o.progress.overdue(s, now)
	return s
}

// applyLedger replaces the engine's reported copies by those in the ledger.
func (o *Owner) applyLedger(e *laburnumplacement.Engine, own *engine, b laburnumlever.Backend, now time.Time) {
	e.AcceptsOrders = b.AcceptsRequests() && own.orderable && o.leasePermits(own, now)
	if !own.orderable {
		return
	}
	e.Accelerators = o.ledger.Accelerators(e.ID)
	e.Copies = nil
	for _, l := range o.ledger.Loaded(e.ID) {
		e.Copies = append(e.Copies, laburnumplacement.Copy{ModelCopy: l, Unloading: own.isUnloading(l), StaysReserved: o.ledger.HasOrderFor(e.ID, l)})
	}
	if coming, ok := own.pendingLoad(); ok && !containsCopy(e.Copies, coming) {
		e.Copies = append(e.Copies, laburnumplacement.Copy{ModelCopy: coming})
	}
	for i, c := range e.Copies {
		if want, ok := own.updates[copyKey(c.ModelCopy)]; ok {
			// The planner gets the ordered size and adapters. Otherwise it would repeat
			// the order, and the engine would restart the load each time. What the ledger
			// counts beyond that is reserved.
			e.Copies[i].Adapters = want.Adapters
			e.Copies[i].PartMiB = want.PartMiB
		}
	}
	e.Reserved = o.reserved(e)
}

// reserved returns the memory that the ledger commits on each accelerator beyond the
// copies, in MiB.
func (o *Owner) reserved(e *laburnumplacement.Engine) []int {
	list := make([]int, len(e.Accelerators))
	for i, a := range e.Accelerators {
		list[i] = o.ledger.Committed(e.ID, a.ID)
		for _, c := range e.Copies {
			for _, id := range c.Accelerators {
				if id == a.ID {
					list[i] -= c.PartMiB
				}
			}
		}
		list[i] = max(0, list[i])
	}
	return list
}

func (e *engine) isUnloading(l laburnumlever.ModelCopy) bool {
	return e.order != nil && e.order.order.Kind == laburnumlever.Unload && copyKey(e.order.order.Copy) == copyKey(l)
}

// pendingLoad returns the copy of the load order in progress. An order whose outcome is
// unknown does not count: the model is repaired elsewhere.
func (e *engine) pendingLoad() (laburnumlever.ModelCopy, bool) {
	if e.order == nil || e.order.order.Kind != laburnumlever.Load || e.order.is(stateUnknown) {
		return laburnumlever.ModelCopy{}, false
	}
	c := e.order.order.Copy
	c.Ready = false
	return c, true
}

func containsCopy(copies []laburnumplacement.Copy, l laburnumlever.ModelCopy) bool {
	for _, c := range copies {
		if copyKey(c.ModelCopy) == copyKey(l) {
			return true
		}
	}
	return false
}
