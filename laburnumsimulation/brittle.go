package laburnumsimulation

import (
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumconcurrency"
)

const (
	// rejectionWindow is the time in which a brittle engine bears the rejections that it names, fallTime how long it is down.
	rejectionWindow = time.Second
	fallTime        = 3 * time.Second
)

// brittleness is that of an engine which falls over if it rejects too much.
type brittleness struct {
	rejections float64
	// from is when gateways must know it.
	from time.Time
	// rejectedAt are the rejections of the last rejectionWindow.
	rejectedAt []time.Time
}

// lease is a place on a brittle engine.
type lease struct {
	engine laburnumlever.BackendID
	id     laburnumconcurrency.LeaseID
}

// beBrittle makes the engine brittle for a time.
func (e *engine) beBrittle(rejections float64, span time.Duration) {
	b := &brittleness{rejections: rejections, from: e.sim.now().Add(contactTime)}
	e.brittle = b
	e.sim.after(span, func() {
		if e.brittle == b {
			e.brittle = nil
		}
	})
}

// reject records a rejection and reports whether the engine falls over by it.
func (e *engine) reject() bool {
	b, now := e.brittle, e.sim.now()
	if b == nil || now.Before(b.from) {
		return false
	}
	b.rejectedAt = slices.DeleteFunc(b.rejectedAt, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	b.rejectedAt = append(b.rejectedAt, now)
	if float64(len(b.rejectedAt)) <= b.rejections {
		return false
	}
	b.rejectedAt = nil
	e.sim.outcome.Falls++
	e.crash(false)
	e.sim.after(fallTime, e.restart)
	return true
}

// namedBrittle returns what the engine's answers tell of its brittleness.
func (e *engine) namedBrittle() laburnumconcurrency.Limit {
	l := laburnumconcurrency.Limit{Backend: e.id, Service: service, Incarnation: e.incarnation, Slots: e.sim.scenario.Engines.Slots, Ended: e.brittle == nil}
	if e.brittle != nil {
		l.Rejections = e.brittle.rejections
	}
	return l
}

// observeBrittle records what an answer tells of an engine's brittleness.
func (g *gateway) observeBrittle(l laburnumconcurrency.Limit, sentAt time.Time) {
	if g.sim.policy.ignoresBrittle || !g.brittle.Observe(laburnumconcurrency.Observation{Limit: l, SentAt: sentAt}, g.sim.now()) {
		return
	}
	g.brittleChanged(l)
	g.sim.after(g.sim.link(g.zone, ""), func() { g.sim.control.learnBrittle(l) })
}

// applyBrittle applies what the control VMs have published.
func (g *gateway) applyBrittle(limits []laburnumconcurrency.Limit) {
	for _, l := range limits {
		if g.brittle.Apply(l, g.sim.now()) {
			g.brittleChanged(l)
		}
	}
}

// presumeBrittle takes an engine that has started for brittle if others are.
func (g *gateway) presumeBrittle(h laburnumlever.Heartbeat) {
	l := laburnumconcurrency.Limit{Backend: h.Backend, Service: service, Incarnation: h.Incarnation, Slots: h.Slots}
	if g.brittle.Len() > 0 && g.brittle.Presume(l, g.sim.now()) {
		g.brittleChanged(l)
	}
}

// brittleChanged puts a change into effect; queued requests that need a lease leave the queue.
func (g *gateway) brittleChanged(l laburnumconcurrency.Limit) {
	g.table.SetLimited(l.Backend, !l.Ended)
	for _, r := range g.queue.Requests() {
		if a := g.queued[r]; a.needsSlot(r.Query) {
			g.leaveQueue(r)
			a.findSlot()
		}
	}
}

// learnBrittle records an engine's brittleness and publishes it if it is news.
func (c *control) learnBrittle(l laburnumconcurrency.Limit) {
	if c.leases.Learn(l, c.sim.now()) {
		c.brittle = append(c.brittle, l)
		c.publisher.Trigger()
	}
}

// requestLease requests a lease of a brittle engine, and calls done with whether there is one.
func (a *attempt) requestLease(id laburnumlever.BackendID, limit laburnumconcurrency.Limit, wait time.Duration, done func(granted bool)) {
	sim, g := a.sim(), a.gateway
	link := sim.link(g.zone, "")
	answered := func(lease *lease, retryIn time.Duration) {
		sim.after(link, func() { a.leaseAnswered(id, lease, wait, retryIn, done) })
	}
	sim.after(link, func() {
		now := sim.now()
		sim.control.learnBrittle(limit)
		q := laburnumconcurrency.Request{
			Gateway: g.id, Limit: limit, Wait: laburnumlever.Duration(wait), Hold: laburnumlever.Duration(a.request.deadline.Sub(now)),
		}
		answer, waiter := sim.control.leases.Acquire(q, laburnumconcurrency.FullShare, now)
		switch {
		case waiter != nil:
			sim.awaitLease(waiter, now.Add(wait), func(granted laburnumconcurrency.LeaseID, ok bool) {
				if !ok {
					answered(nil, wait)
					return
				}
				answered(&lease{engine: id, id: granted}, 0)
			})
		case answer.Granted:
			answered(&lease{engine: id, id: answer.Lease}, 0)
		default:
			answered(nil, time.Duration(answer.RetryIn))
		}
	})
}

// leasePollPeriod is the time between two looks at a request that waits for a lease.
const leasePollPeriod = time.Millisecond

// awaitLease calls done once the waiter has got a lease, or its time is over.
func (sim *simulation) awaitLease(w *laburnumconcurrency.Waiter, until time.Time, done func(laburnumconcurrency.LeaseID, bool)) {
	select {
	case id := <-w.Granted:
		done(id, true)
	default:
		if !sim.now().Before(until) {
			sim.control.leases.Abandon(w, sim.now())
			done(0, false)
			return
		}
		sim.after(leasePollPeriod, func() { sim.awaitLease(w, until, done) })
	}
}

// leaseAnswered uses a granted lease; that of an attempt which has ended is returned.
func (a *attempt) leaseAnswered(id laburnumlever.BackendID, got *lease, wait, retryIn time.Duration, done func(granted bool)) {
	now := a.sim().now()
	switch {
	case got == nil && wait > 0:
		a.gateway.brittle.Refused(id, retryIn, now)
	case got != nil:
		a.lease = got
		if a.finished {
			a.returnLease()
			return
		}
		a.permit = laburnumbalance.Permit{Backend: id, From: now, Until: now.Add(laburnumconcurrency.Grace), Leased: true}
	}
	done(got != nil)
}

// returnLease returns the lease that the attempt holds, if any.
func (a *attempt) returnLease() {
	if a.lease == nil {
		return
	}
	l, sim := *a.lease, a.sim()
	a.lease = nil
	sim.after(sim.link(a.gateway.zone, ""), func() {
		sim.control.leases.Release(laburnumconcurrency.Release{Backend: l.engine, Lease: l.id}, sim.now())
	})
}
