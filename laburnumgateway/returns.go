package laburnumgateway

import (
	"time"

	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumreturn"
	"laburnumlever/laburnumslotqueue"
)

const (
	// atOnceShare is the part of the told duration of a load that is taken as certain.
	atOnceShare = 0.75
	// loadLook is how often a request whose load should have ended looks for the model. One that needs an adapter, too, isn't served
	// from the queue.
	loadLook = 100 * time.Millisecond
)

// returns is what a gateway knows of when callers can be served. The fleet's mu guards it.
type returns struct {
	loads  laburnumreturn.Loads
	drains laburnumreturn.Drains
	told   laburnumreturn.Returns
}

func needOf(q *request) laburnumreturn.Need {
	return laburnumreturn.Need{Service: q.service.Name, Model: q.caller.Model}
}

// knowsReturns reports whether refused callers of a request's service are told when they can be served. The caller must hold mu.
func (f *Fleet) knowsReturns(q *request) bool {
	return f.sharedMachines.KnownReturns && f.sharesMachines(q.service.Name)
}

// noteLoads records the loads that an overlay tells of. The caller must hold mu.
func (f *Fleet) noteLoads(o laburnumregistry.Overlay, now time.Time) {
	if r, ok := f.registry.Record(o.Backend); ok && f.sharedMachines.KnownReturns {
		f.returns.loads.Apply(r.Heartbeat, o, now)
	}
}

// noteReturn gives a request that its caller repeats, as it was told to, the place in the queue that it had. The caller must hold mu.
func (f *Fleet) noteReturn(q *request, now time.Time) {
	if f.returns.told.Len() == 0 {
		return
	}
	if asked, ok := f.returns.told.Returned(q.digest(), q.accountName(), now); ok {
		q.asked = asked
	}
}

// noteQueued counts a request that waits for a slot of full servers. The caller must hold mu.
func (f *Fleet) noteQueued(q *request, queued *laburnumslotqueue.Request, verdict laburnumbalance.Verdict, now time.Time) {
	if verdict != laburnumbalance.Full || !f.knowsReturns(q) {
		return
	}
	q.drainCounted = true
	f.returns.drains.Queued(needOf(q), now)
	admit := queued.Admit
	queued.Admit = func(ticket *laburnumbalance.Ticket) {
		f.noteLeft(q)
		admit(ticket)
	}
}

// noteLeft counts a request that no longer waits for a slot. The caller must hold mu.
func (f *Fleet) noteLeft(q *request) {
	if q.drainCounted {
		q.drainCounted, q.drained = false, true
		f.returns.drains.Left(needOf(q), f.timers.Now())
	}
}

// noteGranted records that a request which has waited is sent to a backend server. A slot that the server refuses to reserve isn't one.
func (f *Fleet) noteGranted(q *request) {
	if !q.drained {
		return
	}
	q.drained = false
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returns.drains.Granted(needOf(q), f.timers.Now())
}

// noteHeld records for how long an attempt held its slot. The caller must hold mu.
func (f *Fleet) noteHeld(q *request, result laburnumbalance.AttemptResult) {
	if !f.knowsReturns(q) || q.sent == 0 || result.Failed || result.Full || result.ReservationRefused || result.NoConnection {
		return
	}
	now := f.timers.Now()
	f.returns.drains.Held(needOf(q), now.Sub(q.sentAt), now)
}

// refusesAtOnce reports whether a request that would have to wait for a slot until the given time would do so in vain, almost surely.
// The caller must hold mu.
func (f *Fleet) refusesAtOnce(q *request, queued *laburnumslotqueue.Request, verdict laburnumbalance.Verdict, until, now time.Time) bool {
	if !f.knowsReturns(q) || !now.Before(until) || !q.brokenAt.IsZero() || q.permit != (laburnumbalance.Permit{}) {
		return false
	}
	load, loads := f.returns.loads.Expected(needOf(q), now)
	ready := now.Add(time.Duration(atOnceShare * float64(load.In)))
	switch verdict {
	case laburnumbalance.Full:
		q.refusedAtOnce = f.drainsAfter(until, queued, needOf(q), now) && (!loads || ready.After(until))
	case laburnumbalance.ModelAbsent:
		q.refusedAtOnce = loads && ready.After(waitPolicy.LoadDeadline(q.queueTimes())) && !f.balance.Lists(queued.Query)
	default:
	}
	return q.refusedAtOnce
}

// drainsAfter reports whether a request gets a slot only after a time, almost surely. The first of a queue always waits: a slot that comes
// free while nobody waits is lost. The caller must hold mu.
func (f *Fleet) drainsAfter(until time.Time, queued *laburnumslotqueue.Request, need laburnumreturn.Need, now time.Time) bool {
	ahead := f.queue.Ahead(queued, now)
	_, surely, known := f.returns.drains.Wait(need, ahead, now)
	return known && ahead > 0 && now.Add(surely).After(until)
}

// awaitsLoad returns until when a request waits that has waited until a time, and whether it looks for a slot again: its model's load
// ends while it may still be served, or has ended.
func (f *Fleet) awaitsLoad(q *request, verdict laburnumbalance.Verdict, until time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, limit := f.timers.Now(), waitPolicy.LoadDeadline(q.queueTimes())
	if !f.knowsReturns(q) || !now.Before(limit) {
		return until, false
	}
	waited := !now.Before(until)
	switch {
	case verdict == laburnumbalance.ModelAbsent && waited:
		return f.untilLoaded(q, until, limit, now)
	case verdict == laburnumbalance.AdapterAbsent && q.loadAwaited:
		return limit, false
	case verdict == laburnumbalance.Full && q.loadAwaited && waited && until.Before(limit):
		return limit, true
	default:
		return until, false
	}
}

// untilLoaded is awaitsLoad for a request whose model is on no engine. The caller must hold mu.
func (f *Fleet) untilLoaded(q *request, until, limit, now time.Time) (time.Time, bool) {
	load, ok := f.returns.loads.Expected(needOf(q), now)
	if !ok || now.Add(load.In).After(limit) {
		return until, false
	}
	q.loadAwaited = true
	end := now.Add(load.In + loadLook)
	if end.After(limit) {
		end = limit
	}
	return end, true
}

// expectSlot sets what is expected for a request that is refused with a verdict.
func (f *Fleet) expectSlot(q *request, verdict laburnumbalance.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.knowsReturns(q) {
		return
	}
	now, need := f.timers.Now(), needOf(q)
	pending := f.returns.told.Pending(need, now)
	switch verdict {
	case laburnumbalance.ModelAbsent:
		if load, ok := f.returns.loads.Expected(need, now); ok {
			q.expected = laburnumreturn.OfLoad(load, f.holdOf(q), pending, f.gateways)
		}
	case laburnumbalance.Full:
		queued := &laburnumslotqueue.Request{Query: f.query(q), Priority: q.rank, Arrived: q.arrived, Asked: q.asked}
		if wait, _, ok := f.returns.drains.Wait(need, f.queue.Ahead(queued, now)+pending, now); ok {
			q.expected = laburnumreturn.OfDrain(wait, waitPolicy.MinRetryAfter(verdict))
		}
	default:
	}
}

// holdOf returns for how long requests like q hold a slot; as long as answers may take to begin if that is not known. The caller must
// hold mu.
func (f *Fleet) holdOf(q *request) time.Duration {
	if hold := f.returns.drains.Hold(needOf(q)); hold > 0 {
		return hold
	}
	return time.Duration(q.route.Target)
}

// tellReturn remembers the caller of a refused request that is told when it can be served.
func (g *Gateway) tellReturn(q *request) {
	if q.expected.Kind == laburnumreturn.Default || q.retryIn <= 0 {
		return
	}
	counters := g.counters.returnsAfterWait
	if q.refusedAtOnce {
		counters = g.counters.returnsAtOnce
	}
	counters[q.expected.Kind].Inc(1)
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now, asked := f.timers.Now(), q.arrived
	if !q.asked.IsZero() {
		asked = q.asked
	}
	caller := laburnumreturn.Caller{Digest: q.digest(), Account: q.accountName(), Need: needOf(q), Asked: asked}
	f.returns.told.Told(caller, now.Add(q.retryIn), now)
}
