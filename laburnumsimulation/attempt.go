package laburnumsimulation

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumslotqueue"
)

// attempt is one try of a request at one gateway. It follows the steps of laburnumgateway.
type attempt struct {
	request             *request
	gateway             *gateway
	arrived             time.Time
	disconnectedAt      time.Time
	sent                int
	tries               int
	refusedReservations int
	mayHaveRun          bool
	started             bool
	finished            bool
	avoid               []laburnumlever.BackendID
	ticket              *laburnumbalance.Ticket
	run                 *run
	written             int // tokens that the caller has received
	lastAt              time.Time
	pause               time.Duration
	firstAt             time.Time
	waited              time.Duration
	waitingSince        time.Time
	backoff             laburnumretry.Backoff // between requests for an adapter
	sentAt              time.Time
	permit              laburnumbalance.Permit
	slotRequested       bool
	lease               *lease
	probes              bool
	// software is the version that brought the first event.
	software laburnumlever.SoftwareVersion
}

func (a *attempt) sim() *simulation { return a.gateway.sim }

func (a *attempt) caller() laburnumslotqueue.Caller {
	c := a.request.class
	return laburnumslotqueue.Caller{
		Arrived: a.arrived, Deadline: a.request.deadline, Stream: true, Target: time.Duration(c.Target),
		PauseTarget: time.Duration(c.PauseTarget), BrokenAt: a.disconnectedAt,
	}
}

func (a *attempt) query() laburnumbalance.Query {
	q := a.request
	return laburnumbalance.Query{
		Service: service, Model: a.sim().models[q.model].name, Adapter: q.adapter, Prompt: q.prompt, Target: time.Duration(q.class.Target),
		ReadTime: a.gateway.readTimes.Of(a.sim().models[q.model].name), Queue: a.queuesAtEngine(), Avoid: a.avoid,
		Permit: a.permit, Software: a.boundTo(),
	}
}

// urgency is the priority that engines see: 0 for all requests unless the policy has engines
// preempt.
func (a *attempt) urgency() int {
	if a.sim().policy.preempts {
		return a.request.class.Priority
	}
	return 0
}

// queuesAtEngine reports whether the request may queue at an engine: an urgent one may once enough
// engines have refused it a reservation.
func (a *attempt) queuesAtEngine() bool {
	return a.request.class.Priority == 0 && a.refusedReservations >= laburnumbalance.UrgentReservations
}

// findSlot sends the request if a slot is free, and otherwise queues it at the gateway until it
// gets a slot or its time in the queue is over.
func (a *attempt) findSlot() {
	if a.finished {
		return
	}
	sim, g := a.sim(), a.gateway
	now := sim.now()
	if g.refusesCrashing(a.request) {
		a.refuseCrashing()
		return
	}
	if a.waitingSince.IsZero() {
		a.waitingSince = now
	}
	if a.forward() {
		return
	}
	until := sim.policy.waitPolicy.QueueDeadline(a.caller())
	waiting := &laburnumslotqueue.Request{
		Query: a.query(), Priority: a.request.class.Priority, Arrived: a.arrived, OnTimeUntil: sim.policy.waitPolicy.OnTimeUntil(a.caller()),
	}
	ticket, verdict := a.pick(waiting.Query)
	switch {
	case verdict == laburnumbalance.Found:
		a.send(ticket)
		return
	case verdict == laburnumbalance.Limited && !a.slotRequested:
		a.requestSlot(waiting.Query, until)
		return
	case verdict == laburnumbalance.AdapterAbsent:
		a.requestAdapter(until)
		return
	case a.refusedForRest(waiting.Query, verdict, until):
		return
	default:
	}
	if a.permit.Until.After(until) {
		until = a.permit.Until
	}
	a.enqueue(waiting, verdict, until)
}

// pick reserves a slot, if one is free. It returns Limited if the request should request a slot at a
// limited engine.
func (a *attempt) pick(query laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	if a.sim().policy.exactLoads {
		a.gateway.observeExactLoads(a.request.model)
	}
	if a.probesLimit(query) {
		return nil, laburnumbalance.Limited
	}
	ticket, verdict := a.gateway.table.Pick(query, a.sim().now())
	if verdict != laburnumbalance.Found && a.needsSlot(query) {
		verdict = laburnumbalance.Limited
	}
	return ticket, verdict
}

// enqueue queues the request until the given time.
func (a *attempt) enqueue(waiting *laburnumslotqueue.Request, verdict laburnumbalance.Verdict, until time.Time) {
	sim, g := a.sim(), a.gateway
	now := sim.now()
	waiting.Admit = func(ticket *laburnumbalance.Ticket) {
		delete(g.queued, waiting)
		sim.after(0, func() { a.send(ticket) })
	}
	if verdict == laburnumbalance.Limited || !now.Before(until) || !g.queue.Push(waiting) {
		a.giveUp(verdict)
		return
	}
	g.queued[waiting] = a
	sim.after(until.Sub(now), func() {
		if g.queued[waiting] == nil {
			return
		}
		g.leaveQueue(waiting)
		if !a.finished {
			a.giveUp(verdict)
		}
	})
}

// giveUp ends an attempt that got no slot: as failed if part of the answer was delivered, else as
// refused.
func (a *attempt) giveUp(verdict laburnumbalance.Verdict) {
	if a.started {
		a.fail("broken")
		return
	}
	switch verdict {
	case laburnumbalance.Full:
		a.refuse(verdict, "full")
	case laburnumbalance.Limited:
		a.refuse(verdict, "limited")
	default:
		a.refuse(verdict, "no-engine")
	}
}

// requestAdapter asks the director to load the adapter and searches for a slot again after the
// reply.
func (a *attempt) requestAdapter(until time.Time) {
	sim, g := a.sim(), a.gateway
	name := sim.models[a.request.model].name
	adapterRequest := laburnumlever.AdapterRequest{Service: service, Model: name, Adapter: a.request.adapter, Except: g.table.Unavailable(a.query(), sim.now())}
	sim.control.ensureAdapter(g.zone, adapterRequest, func(ids []laburnumlever.BackendID) {
		for _, id := range ids {
			g.table.ModelLoaded(id, name, a.request.adapter, sim.now())
		}
		g.serveQueue()
		if a.finished {
			return
		}
		if !sim.now().Before(until) {
			a.refuse(laburnumbalance.AdapterAbsent, "no-adapter")
			return
		}
		sim.after(a.backoff.Next(), a.findSlot)
	})
}

// send sends the request to the engine that the ticket is for, after a reservation if the engine
// may be full.
func (a *attempt) send(ticket *laburnumbalance.Ticket) {
	sim, g := a.sim(), a.gateway
	now := sim.now()
	if a.finished {
		g.table.End(ticket, laburnumbalance.AttemptResult{}, now)
		return
	}
	if g.refusesCrashing(a.request) {
		g.table.End(ticket, laburnumbalance.AttemptResult{}, now)
		a.refuseCrashing()
		return
	}
	a.waited += now.Sub(a.waitingSince)
	a.waitingSince = time.Time{}
	a.ticket = ticket
	a.sentAt = now
	a.tries++
	g.uses.RequestStarted(sim.models[a.request.model].name, a.request.adapter)
	e := sim.byID[ticket.Backend.Backend]
	link, linked := g.linkTo(e)
	reserves := ticket.MayBeFull() && !ticket.Limited() && !a.queuesAtEngine() && !sim.policy.skipsReservations
	sim.after(link, func() {
		switch {
		case !linked:
			a.waitForConnection(g.links.hang, link, func() { a.onLinkLost(e) })
		case !e.up:
			a.waitForConnection(e.hangs, link, a.onUnreachable)
		case reserves:
			a.reserve(e, link)
		default:
			a.deliver(e, 0, link)
		}
	})
}

// waitForConnection calls failed when a connection has failed: it hangs, or is refused.
func (a *attempt) waitForConnection(hangs bool, link time.Duration, failed func()) {
	if hangs {
		link = dialTimeout
	}
	a.sim().after(link, failed)
}

// reserve asks the engine for a slot and sends the request only if it gets one.
func (a *attempt) reserve(e *engine, link time.Duration) {
	id := e.reserve(a.request)
	a.sim().after(link, func() {
		if id == 0 {
			a.onReservationRefused()
			return
		}
		a.sim().after(link, func() { a.deliver(e, id, link) })
	})
}

// onReservationRefused searches for a slot again, without counting a try.
func (a *attempt) onReservationRefused() {
	sim := a.sim()
	a.refusedReservations++
	a.tries--
	a.release(laburnumbalance.AttemptResult{ReservationRefused: true})
	sim.after(a.gateway.table.RetryTime()+laburnumbalance.RetrySlack, a.gateway.serveQueue)
	a.acquire()
}

// deliver hands the request to the engine once it has crossed the link.
func (a *attempt) deliver(e *engine, reservation int, link time.Duration) {
	if a.finished {
		return
	}
	if !e.up {
		a.onUnreachable()
		return
	}
	a.sent++
	if a.request.crashing != nil {
		a.request.crashing.sent()
	}
	r := &run{attempt: a, engine: e.id, urgency: a.urgency(), answerTokens: a.request.answerTokens, written: a.written}
	a.run = r
	e.countArrival()
	if length := e.turnsAway(a.gateway.id); length > 0 {
		r.finished = true
		a.sim().after(link, func() { a.onTurnedAway(r, length) })
		return
	}
	if outcome := e.accept(r, reservation); outcome != admitted {
		r.finished = true
		if outcome == engineFull && e.reject() {
			a.sim().after(link, func() { a.onConnectionBroken(r) })
			r.finished = false
			return
		}
		a.sim().after(link, func() { a.onRefused(r, outcome) })
		return
	}
	a.countMixed(e)
}

// release frees the slot and records the result of the attempt in the balancing table.
func (a *attempt) release(result laburnumbalance.AttemptResult) {
	g, now := a.gateway, a.sim().now()
	a.returnLease()
	g.uses.RequestEnded(a.sim().models[a.request.model].name, a.request.adapter, now)
	g.table.End(a.ticket, result, now)
	a.ticket = nil
	g.serveQueue()
}

func (a *attempt) onUnreachable() {
	if a.ticket == nil {
		return
	}
	a.release(laburnumbalance.AttemptResult{Failed: true, Unreachable: true})
	a.retry(laburnumretry.StageNotSent, "unreachable")
}

// onRefused handles a refusal by the engine: the request did not run.
func (a *attempt) onRefused(r *run, why admission) {
	if a.finished || a.run != r {
		return
	}
	a.release(laburnumbalance.AttemptResult{Full: why == engineFull, Absent: why == modelAbsent})
	a.retry(laburnumretry.StageNotRun, "refused")
}

// onConnectionBroken handles a connection that was reset after the engine had accepted the request.
func (a *attempt) onConnectionBroken(r *run) {
	if a.finished || a.run != r {
		return
	}
	a.recordProgress(r)
	a.gateway.reportBroken(a.request, a.sim().byID[r.engine])
	a.release(laburnumbalance.AttemptResult{Failed: true})
	a.mayHaveRun = true
	if a.started {
		a.disconnectedAt = a.lastAt
	}
	a.retry(laburnumretry.StageUnknown, "broken")
}

// recordProgress records how much of a broken answer the caller has received: only whole events
// count.
func (a *attempt) recordProgress(r *run) {
	size := a.sim().scenario.Engines.EventTokens
	a.written = r.written / size * size
	a.pause = max(a.pause, r.pause)
	a.lastAt = a.sim().now()
}

// retry makes another try if the retry rules and the budget allow one, and otherwise ends the
// attempt.
func (a *attempt) retry(stage laburnumretry.Stage, why string) {
	c := a.request.class
	a.avoid = append(a.avoid, a.lastBackend())
	next := laburnumretry.Attempt{
		Stage: stage, MayHaveRun: a.mayHaveRun, Started: a.started, Idempotent: c.Resumable, Resumable: c.Resumable,
		Sent: a.sent, Tries: a.tries, MaxSent: max(1, c.Attempts),
		Suspect: stage == laburnumretry.StageUnknown && a.gateway.quarantineState(a.request) != laburnumquarantine.Cleared,
	}
	_, paid, ok := next.Next()
	now := a.sim().now()
	if ok && paid {
		ok = a.gateway.retryBudget.AllowRetry(now, len(a.sim().gateways))
	}
	switch {
	case ok:
		a.acquire()
	case a.started || stage == laburnumretry.StageUnknown:
		a.fail(why)
	default:
		a.refuse(laburnumbalance.Full, why)
	}
}

func (a *attempt) lastBackend() laburnumlever.BackendID {
	if a.run == nil {
		return ""
	}
	return a.run.engine
}

// onAnswerStarted handles the first event of an answer.
func (a *attempt) onAnswerStarted(r *run, running, waiting int, limit laburnumlimit.Limit, brittle laburnumconcurrency.Limit) {
	if a.finished || a.run != r || a.ticket == nil {
		return
	}
	g, now := a.gateway, a.sim().now()
	took, tokens := g.table.AnswerStarted(a.ticket, now)
	g.readTimes.Add(a.ticket.Model(), took, tokens)
	g.table.Observe(a.ticket.Backend.Backend, laburnumbalance.AttemptResult{HasLoad: true, Running: running, Waiting: waiting}, now)
	g.observeLimit(limit, a.sentAt)
	g.observeBrittle(brittle, a.sentAt)
	g.table.RestOver(a.ticket)
	if a.started {
		a.pause = max(a.pause, now.Sub(a.lastAt))
	} else {
		a.started, a.firstAt = true, now.Add(a.sim().callerLink())
		a.software = a.ticket.Backend.Software
	}
	g.serveQueue()
}

// onAnswered handles the end of a complete answer.
func (a *attempt) onAnswered(r *run) {
	if a.finished || a.run != r {
		return
	}
	a.finished = true
	a.pause = max(a.pause, r.pause)
	a.release(laburnumbalance.AttemptResult{})
	if a.gateway.quarantineState(a.request) != laburnumquarantine.Cleared {
		a.gateway.reportCrashing(laburnumquarantine.Report{Completed: []laburnumlever.RequestDigest{a.request.digest()}}, 0)
	}
	a.gateway.countEnd(a.request, true)
	a.request.onServed(a)
}

// refuseCrashing ends an attempt at a request that crashes engines. Its caller gains nothing from
// coming back.
func (a *attempt) refuseCrashing() {
	a.finished = true
	a.request.finishUnserved(a, "quarantined", true)
}

// refuse ends an attempt that has not run, and sends the caller a Retry-After.
func (a *attempt) refuse(verdict laburnumbalance.Verdict, why string) {
	a.finished = true
	a.gateway.countEnd(a.request, false)
	after := a.caller().RetryAfter(a.sim().policy.waitPolicy.MinRetryAfter(verdict), a.gateway.random.Float64(), a.sim().now())
	a.request.onRefused(a, after, why)
}

// fail ends an attempt that may have run.
func (a *attempt) fail(why string) {
	a.finished = true
	a.gateway.countEnd(a.request, false)
	a.request.onFailed(a, why)
}

// cancel ends the attempt because the caller left or its deadline has passed.
func (a *attempt) cancel() {
	if a.finished {
		return
	}
	a.finished = true
	if a.ticket != nil {
		e := a.sim().byID[a.ticket.Backend.Backend]
		if a.run != nil {
			e.cancel(a.run)
		}
		a.release(laburnumbalance.AttemptResult{Failed: e.hangs})
	}
	a.gateway.countEnd(a.request, false)
	a.request.onFailed(a, "left")
}
