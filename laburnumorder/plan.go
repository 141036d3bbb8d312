package laburnumorder

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"
)

// plan runs one round of the planner over the whole fleet and begins this zone's
// moves, as far as the engines are free, the ledger has room and the zone's part
// of the weight store allows.
func (o *Owner) plan(view *laburnumlever.View, now time.Time) {
	if view.Catalogue.Revision == 0 {
		// Not yet told what the operators want: to unload all would be wrong.
		return
	}
	snapshot := o.snapshot(view, now)
	plan := o.planner.Plan(snapshot)
	quota := laburnumplacement.LoadQuotaOf(view.Catalogue.Deployment, o.self.Zone)
	if o.limiterIsNew {
		o.limiter = laburnumplacement.NewLoadLimiter(now, quota)
		o.limiterIsNew = false
	}
	for _, m := range plan.Moves {
		if m.Zone != o.self.Zone {
			continue
		}
		if m.Kind == laburnumlever.Load && !o.limiter.Ready(now, quota, o.loadsUnderWay(now)) {
			continue
		}
		if o.begin(m, now) && m.Kind == laburnumlever.Load {
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
		if now.Sub(b.ReportedAt) > reportAge && e.Zone != o.self.Zone {
			old[e.ID] = true
		}
		if own, ok := o.engines[e.ID]; ok && e.Zone == o.self.Zone {
			o.ownEngine(&e, own, b, now)
		}
		s.Engines = append(s.Engines, e)
	}
	o.ready.mark(s.Engines, old, now)
	s.RecentlyChanged = o.versions.recentlyChanged(view.Catalogue.Models, now)
	s.Overdue = o.progress.overdue(s, now)
	return s
}

// ownEngine replaces what the engine last reported by what the ledger counts.
func (o *Owner) ownEngine(e *laburnumplacement.Engine, own *engine, b laburnumlever.Backend, now time.Time) {
	e.AcceptsOrders = b.TakesWork() && own.known && o.mayOrder(own, now)
	if !own.known {
		return
	}
	e.Accelerators = o.ledger.Accelerators(e.ID)
	e.Copies = nil
	for _, l := range o.ledger.Loaded(e.ID) {
		e.Copies = append(e.Copies, laburnumplacement.Copy{Loaded: l, Unloading: own.unloads(l), StaysReserved: o.ledger.CountsCopy(e.ID, l)})
	}
	if coming, ok := own.coming(); ok && !holds(e.Copies, coming) {
		e.Copies = append(e.Copies, laburnumplacement.Copy{Loaded: coming})
	}
	for i, c := range e.Copies {
		if want, ok := own.updates[keyOf(c.Loaded)]; ok {
			// The planner sees the form that was ordered, or it would order it again
			// and the engine would begin the load anew each time. What the ledger
			// counts beyond that is reserved.
			e.Copies[i].Adapters = want.Adapters
			e.Copies[i].PartMiB = want.PartMiB
		}
	}
	e.Reserved = o.reserved(e)
}

// reserved is what the ledger counts on each accelerator beside the copies.
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

func (e *engine) unloads(l laburnumlever.Loaded) bool {
	return e.order != nil && e.order.order.Kind == laburnumlever.Unload && keyOf(e.order.order.Copy) == keyOf(l)
}

// coming is the copy of a load order that is under way. One whose outcome is
// unknown is not counted on: the model is repaired elsewhere.
func (e *engine) coming() (laburnumlever.Loaded, bool) {
	if e.order == nil || e.order.order.Kind != laburnumlever.Load || e.order.is(stateUnknown) {
		return laburnumlever.Loaded{}, false
	}
	c := e.order.order.Copy
	c.Ready = false
	return c, true
}

func holds(copies []laburnumplacement.Copy, l laburnumlever.Loaded) bool {
	for _, c := range copies {
		if keyOf(c.Loaded) == keyOf(l) {
			return true
		}
	}
	return false
}
