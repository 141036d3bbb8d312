package laburnumsimulation

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumslotqueue"
)

// attempt is one try of a caller, at one gateway, as laburnumgateway makes it.
type attempt struct {
	request    *request
	gateway    *gateway
	arrived    time.Time
	brokenAt   time.Time
	sends      int
	tries      int
	taken      int
	mayHaveRun bool
	started    bool
	over       bool
	avoid      []laburnumlever.BackendID
	ticket     *laburnumbalance.Ticket
	run        *run
	written    int // tokens that the caller has
	lastAt     time.Time
	pause      time.Duration
	firstAt    time.Time
	waited     time.Duration
	waitFrom   time.Time
	backoff    laburnumretry.Backoff // of requests for an adapter
}

func (a *attempt) sim() *simulation { return a.gateway.sim }

func (a *attempt) times() laburnumslotqueue.Caller {
	c := a.request.class
	return laburnumslotqueue.Caller{
		Arrived: a.arrived, Deadline: a.request.deadline, Stream: true, Target: time.Duration(c.Target),
		PauseTarget: time.Duration(c.PauseTarget), BrokenAt: a.brokenAt,
	}
}

func (a *attempt) query() laburnumbalance.Query {
	q := a.request
	return laburnumbalance.Query{
		Service: service, Model: a.sim().models[q.model].name, Adapter: q.adapter, Prompt: q.prompt, Target: time.Duration(q.class.Target),
		ReadTime: a.gateway.readTimes.Of(a.sim().models[q.model].name), Queue: a.queues(), Avoid: a.avoid,
	}
}

// urgency is what engines go by: the same for all, but by a policy that has them preempt.
func (a *attempt) urgency() int {
	if a.sim().policy.urgency {
		return a.request.class.Priority
	}
	return 0
}

func (a *attempt) queues() bool {
	return a.request.class.Priority == 0 && a.taken >= laburnumbalance.UrgentReservations
}

// place looks for a slot, and waits for one if it must.
func (a *attempt) place() {
	if a.over {
		return
	}
	sim, g := a.sim(), a.gateway
	now := sim.now()
	if a.waitFrom.IsZero() {
		a.waitFrom = now
	}
	until := sim.policy.waitPolicy.QueueDeadline(a.times())
	waiting := &laburnumslotqueue.Request{
		Query: a.query(), Priority: a.request.class.Priority, Arrived: a.arrived, OnTimeUntil: sim.policy.waitPolicy.OnTimeUntil(a.times()),
	}
	if sim.policy.exactLoads {
		g.learnExactly(a.request.model)
	}
	ticket, verdict := g.table.Pick(waiting.Query, now)
	switch verdict {
	case laburnumbalance.Found:
		a.send(ticket)
		return
	case laburnumbalance.AdapterAbsent:
		a.needAdapter(until)
		return
	default:
	}
	admitted := false
	waiting.Admit = func(ticket *laburnumbalance.Ticket) {
		admitted = true
		sim.after(0, func() { a.send(ticket) })
	}
	if !now.Before(until) || !g.queue.Push(waiting) {
		a.refuse(verdict)
		return
	}
	sim.after(until.Sub(now), func() {
		if admitted {
			return
		}
		g.queue.Remove(waiting)
		if !a.over {
			a.refuse(verdict)
		}
	})
}

func (a *attempt) refuse(verdict laburnumbalance.Verdict) {
	if a.started {
		a.fail("broken")
		return
	}
	if verdict == laburnumbalance.Full {
		a.turnAway(verdict, "full")
		return
	}
	a.turnAway(verdict, "no-engine")
}

// needAdapter asks for the adapter, and looks again once it is there.
func (a *attempt) needAdapter(until time.Time) {
	sim, g := a.sim(), a.gateway
	name := sim.models[a.request.model].name
	need := laburnumlever.AdapterNeed{Service: service, Model: name, Adapter: a.request.adapter, Except: g.table.Unavailable(a.query(), sim.now())}
	sim.control.need(g.zone, need, func(ids []laburnumlever.BackendID) {
		for _, id := range ids {
			g.table.ModelLoaded(id, name, a.request.adapter, sim.now())
		}
		g.serveQueue()
		if a.over {
			return
		}
		if !sim.now().Before(until) {
			a.turnAway(laburnumbalance.AdapterAbsent, "no-adapter")
			return
		}
		sim.after(a.backoff.Next(), a.place)
	})
}

// send sends the request to the engine of a ticket.
func (a *attempt) send(ticket *laburnumbalance.Ticket) {
	sim, g := a.sim(), a.gateway
	now := sim.now()
	if a.over {
		g.table.End(ticket, laburnumbalance.AttemptResult{}, now)
		return
	}
	a.waited += now.Sub(a.waitFrom)
	a.waitFrom = time.Time{}
	a.ticket = ticket
	a.tries++
	g.uses.RequestStarted(sim.models[a.request.model].name, a.request.adapter)
	e := sim.byID[ticket.Backend.Backend]
	link := sim.link(g.zone, e.zone)
	asks := ticket.MayBeFull() && !a.queues() && !sim.policy.sendsUnsure
	sim.after(link, func() {
		switch {
		case !e.up && e.hangs:
			sim.after(dialTimeout, func() { a.unreachable() })
		case !e.up:
			sim.after(link, func() { a.unreachable() })
		case asks:
			a.reserve(e, link)
		default:
			a.arrive(e, 0, link)
		}
	})
}

// reserve asks the engine for a slot first.
func (a *attempt) reserve(e *engine, link time.Duration) {
	id := e.reserve(a.request)
	a.sim().after(link, func() {
		if id == 0 {
			a.slotTaken()
			return
		}
		a.sim().after(link, func() { a.arrive(e, id, link) })
	})
}

func (a *attempt) slotTaken() {
	sim := a.sim()
	a.taken++
	a.tries--
	a.release(laburnumbalance.AttemptResult{ReservationRefused: true})
	sim.after(a.gateway.table.RetryTime()+laburnumbalance.RetrySlack, a.gateway.serveQueue)
	a.place()
}

// arrive is the request's arrival at the engine.
func (a *attempt) arrive(e *engine, reservation int, link time.Duration) {
	if a.over {
		return
	}
	if !e.up {
		a.unreachable()
		return
	}
	a.sends++
	r := &run{attempt: a, engine: e.id, urgency: a.urgency(), tokens: a.request.answerTokens, done: a.written}
	a.run = r
	if outcome := e.take(r, reservation); outcome != taken {
		r.gone = true
		a.sim().after(link, func() { a.refused(r, outcome) })
	}
}

// release frees the slot and learns from the attempt.
func (a *attempt) release(result laburnumbalance.AttemptResult) {
	g, now := a.gateway, a.sim().now()
	g.uses.RequestEnded(a.sim().models[a.request.model].name, a.request.adapter, now)
	g.table.End(a.ticket, result, now)
	a.ticket = nil
	g.serveQueue()
}

func (a *attempt) unreachable() {
	if a.ticket == nil {
		return
	}
	a.release(laburnumbalance.AttemptResult{Failed: true, Unreachable: true})
	a.again(laburnumretry.StageNotSent, "unreachable")
}

// refused is an engine's word that it did not run the request.
func (a *attempt) refused(r *run, why refusal) {
	if a.over || a.run != r {
		return
	}
	a.release(laburnumbalance.AttemptResult{Full: why == full, Absent: why == absent})
	a.again(laburnumretry.StageNotRun, "refused")
}

// broken is a connection that ended in the middle.
func (a *attempt) broken(r *run) {
	if a.over || a.run != r {
		return
	}
	a.keep(r)
	a.release(laburnumbalance.AttemptResult{Failed: true})
	a.mayHaveRun = true
	if a.started {
		a.brokenAt = a.lastAt
	}
	a.again(laburnumretry.StageUnknown, "broken")
}

// keep notes what of a broken answer the caller has: whole events.
func (a *attempt) keep(r *run) {
	size := a.sim().scenario.Engines.EventTokens
	a.written = r.done / size * size
	a.pause = max(a.pause, r.pause)
	a.lastAt = a.sim().now()
}

// again makes another try if one is allowed.
func (a *attempt) again(stage laburnumretry.Stage, why string) {
	c := a.request.class
	a.avoid = append(a.avoid, a.lastBackend())
	next := laburnumretry.Attempt{
		Stage: stage, MayHaveRun: a.mayHaveRun, Started: a.started, Idempotent: c.Resumable, Resumable: c.Resumable,
		Sent: a.sends, Tries: a.tries, MaxSent: max(1, c.Attempts),
	}
	_, paid, ok := next.Next()
	now := a.sim().now()
	if ok && paid {
		ok = a.gateway.window.AllowRetry(now, len(a.sim().gateways))
	}
	switch {
	case ok:
		a.place()
	case a.started || stage == laburnumretry.StageUnknown:
		a.fail(why)
	default:
		a.turnAway(laburnumbalance.Full, why)
	}
}

func (a *attempt) lastBackend() laburnumlever.BackendID {
	if a.run == nil {
		return ""
	}
	return a.run.engine
}

// began is the first event of an answer.
func (a *attempt) began(r *run, running, waiting int) {
	if a.over || a.run != r || a.ticket == nil {
		return
	}
	g, now := a.gateway, a.sim().now()
	took, tokens := g.table.AnswerStarted(a.ticket, now)
	g.readTimes.Add(a.ticket.Model(), took, tokens)
	g.table.Observe(a.ticket.Backend.Backend, laburnumbalance.AttemptResult{HasLoad: true, Running: running, Waiting: waiting}, now)
	if a.started {
		a.pause = max(a.pause, now.Sub(a.lastAt))
	} else {
		a.started, a.firstAt = true, now.Add(a.sim().callerLink())
	}
	g.serveQueue()
}

// answered is the whole answer.
func (a *attempt) answered(r *run) {
	if a.over || a.run != r {
		return
	}
	a.over = true
	a.pause = max(a.pause, r.pause)
	a.release(laburnumbalance.AttemptResult{})
	a.gateway.ended(a.request, true)
	a.request.served(a)
}

// turnAway refuses a request that has not run.
func (a *attempt) turnAway(verdict laburnumbalance.Verdict, why string) {
	a.over = true
	a.gateway.ended(a.request, false)
	after := a.times().RetryAfter(a.sim().policy.waitPolicy.MinRetryAfter(verdict), a.gateway.random.Float64(), a.sim().now())
	a.request.turnedAway(a, after, why)
}

// fail ends a request that may have run.
func (a *attempt) fail(why string) {
	a.over = true
	a.gateway.ended(a.request, false)
	a.request.failed(a, why)
}

// leave is the caller's end of the request.
func (a *attempt) leave() {
	if a.over {
		return
	}
	a.over = true
	if a.ticket != nil {
		e := a.sim().byID[a.ticket.Backend.Backend]
		if a.run != nil {
			e.drop(a.run)
		}
		a.release(laburnumbalance.AttemptResult{Failed: e.hangs})
	}
	a.gateway.ended(a.request, false)
	a.request.failed(a, "left")
}
