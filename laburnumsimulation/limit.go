package laburnumsimulation

import (
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumslotqueue"
)

const (
	// In each limitWindow an engine gets limitFactor times its limit at most, and limitSlack requests
	// more, from contactTime after it named the limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// maxSlotRequests is the number of limited engines that a slot is requested at.
	maxSlotRequests = 2
)

// engineLimit is the limit that an engine names.
type engineLimit struct {
	perSecond float64
	// from is when gateways must know it.
	from time.Time
	// arrivals are those of the last limitWindow since then.
	arrivals []time.Time
}

// nameLimit has the engine name a limit for a time.
func (e *engine) nameLimit(perSecond float64, span time.Duration) {
	limit := &engineLimit{perSecond: perSecond, from: e.sim.now().Add(contactTime)}
	e.limit = limit
	e.sim.after(span, func() {
		if e.limit == limit {
			e.limit = nil
		}
	})
}

// countArrival records a request that has arrived, and by how many there are too many.
func (e *engine) countArrival() {
	l, now := e.limit, e.sim.now()
	if l == nil || now.Before(l.from) {
		return
	}
	l.arrivals = slices.DeleteFunc(l.arrivals, func(at time.Time) bool { return now.Sub(at) >= limitWindow })
	l.arrivals = append(l.arrivals, now)
	allowed := int(limitFactor*l.perSecond*limitWindow.Seconds()) + limitSlack
	e.sim.outcome.OverLimit = max(e.sim.outcome.OverLimit, len(l.arrivals)-allowed)
}

// namedLimit returns what the engine's answers tell of its limit.
func (e *engine) namedLimit() laburnumlimit.Limit {
	l := laburnumlimit.Limit{Backend: e.id, Incarnation: e.incarnation, Ended: e.limit == nil}
	if e.limit != nil {
		l.PerSecond = e.limit.perSecond
	}
	return l
}

// observeLimit records what an answer tells of an engine's limit.
func (g *gateway) observeLimit(l laburnumlimit.Limit, sentAt time.Time) {
	if g.sim.policy.ignoresLimits || !g.limits.Observe(laburnumlimit.Observation{Limit: l, SentAt: sentAt}, g.sim.now()) {
		return
	}
	g.limitChanged(l)
	g.sim.after(g.sim.link(g.zone, ""), func() { g.sim.control.receiveLimit(laburnumlimit.Report{Limit: l}) })
}

// applyLimits applies the limits that the control VMs have published.
func (g *gateway) applyLimits(limits []laburnumlimit.Limit) {
	for _, l := range limits {
		if g.limits.Apply(l, g.sim.now()) {
			g.limitChanged(l)
		}
	}
}

// limitChanged puts a limit into effect; queued requests that need a slot leave the queue.
func (g *gateway) limitChanged(l laburnumlimit.Limit) {
	g.table.SetLimited(l.Backend, !l.Ended)
	for _, r := range g.queue.Requests() {
		if a := g.queued[r]; a.needsSlot(r.Query) {
			g.leaveQueue(r)
			a.findSlot()
		}
	}
}

func (g *gateway) leaveQueue(r *laburnumslotqueue.Request) {
	g.queue.Remove(r)
	delete(g.queued, r)
}

// receiveLimit records a limit and publishes it if it is news.
func (c *control) receiveLimit(r laburnumlimit.Report) {
	if c.keeper.Report(r, c.sim.now()) {
		c.limits = append(c.limits, r.Limit)
		c.publisher.Trigger()
	}
}

// acquire searches for a slot for a new try.
func (a *attempt) acquire() {
	a.returnLease()
	a.permit, a.slotRequested, a.probes = laburnumbalance.Permit{}, false, false
	a.findSlot()
}

// needsSlot reports whether the request should request a slot at a limited engine.
func (a *attempt) needsSlot(query laburnumbalance.Query) bool {
	return !a.slotRequested && a.gateway.limits.Len()+a.gateway.brittle.Len() > 0 && len(a.gateway.table.LimitedServers(query, a.sim().now())) > 0
}

// probesLimit reports whether the request should request a slot although other engines are free.
func (a *attempt) probesLimit(query laburnumbalance.Query) bool {
	g := a.gateway
	if g.limits.Len() == 0 || a.slotRequested {
		return false
	}
	for _, s := range g.table.LimitedServers(query, a.sim().now()) {
		if g.limits.Probe(s.Backend, len(a.sim().gateways), g.random.Float64(), a.sim().now()) {
			a.probes = true
			return true
		}
	}
	return false
}

// requestSlot requests a slot at the limited engines, one after the other, and searches again.
func (a *attempt) requestSlot(query laburnumbalance.Query, until time.Time) {
	a.slotRequested = true
	wait := max(0, until.Sub(a.sim().now()))
	if a.probes {
		wait = 0
	}
	var servers []laburnumlever.BackendID
	for _, s := range a.gateway.table.LimitedServers(query, a.sim().now()) {
		now := a.sim().now()
		if len(servers) < maxSlotRequests && a.gateway.limits.RetryIn(s.Backend, wait, now) == 0 && a.gateway.brittle.RetryIn(s.Backend, now) == 0 {
			servers = append(servers, s.Backend)
		}
	}
	if len(servers) > 0 {
		if limit, ok := a.gateway.brittleLimit(servers[0]); ok {
			a.requestLease(servers[0], limit, min(wait, laburnumconcurrency.MaxWait), func(bool) { a.findSlot() })
			return
		}
	}
	a.requestSlotAt(servers, wait)
}

// brittleLimit returns the bound of a brittle engine, and whether it is one.
func (g *gateway) brittleLimit(id laburnumlever.BackendID) (laburnumconcurrency.Limit, bool) {
	return g.brittle.Limit(id, g.sim.byID[id].incarnation)
}

func (a *attempt) requestSlotAt(servers []laburnumlever.BackendID, wait time.Duration) {
	sim, g := a.sim(), a.gateway
	if len(servers) == 0 {
		a.findSlot()
		return
	}
	report, limited := g.limits.Report(servers[0], g.zone, sim.now())
	if !limited {
		a.findSlot()
		return
	}
	link := sim.link(g.zone, "")
	sim.after(link, func() {
		sim.control.receiveLimit(report)
		q := laburnumlimit.SlotRequest{Gateway: g.id, Report: report, Wait: laburnumlever.Duration(wait)}
		answer := sim.control.keeper.Reserve(q, laburnumlimit.FullShare, sim.now())
		sim.after(link, func() { a.slotAnswered(servers, wait, answer) })
	})
}

// slotAnswered uses a granted slot, or requests one at the next engine.
func (a *attempt) slotAnswered(servers []laburnumlever.BackendID, wait time.Duration, answer laburnumlimit.SlotAnswer) {
	sim, g := a.sim(), a.gateway
	g.applyLimits([]laburnumlimit.Limit{answer.Limit})
	if !answer.Granted {
		g.limits.Refused(servers[0], wait, time.Duration(answer.In), sim.now())
		a.requestSlotAt(servers[1:], wait)
		return
	}
	from := sim.now().Add(time.Duration(answer.In))
	a.permit = laburnumbalance.Permit{Backend: servers[0], From: from, Until: from.Add(laburnumlimit.Grace)}
	sim.after(time.Duration(answer.In), g.serveQueue)
	a.findSlot()
}
