package laburnumgateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumroom"

	"github.com/go-kit/log/level"
)

// givesByUrgency reports whether the slots of a service are given by urgency over all gateways. The caller must hold mu.
func (f *Fleet) givesByUrgency(service laburnumlever.ServiceName) bool {
	return f.sharedMachines.ByUrgency && f.sharesMachines(service)
}

// applyRoom puts the levels that a control VM told in force. The caller must hold mu.
func (f *Fleet) applyRoom(levels []laburnumroom.Level, now time.Time) {
	if !f.sharedMachines.ByUrgency {
		return
	}
	for _, l := range levels {
		changed := f.room.Apply(l, now)
		f.timers.After(l.HoldsFor(), func(now time.Time) { f.expireRoom(now) })
		if changed {
			f.setRoom(l, "director")
		}
	}
}

// expireRoom ends the levels that were not renewed: from then on the queue's own order holds.
func (f *Fleet) expireRoom(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.room.Expire(now) {
		f.setRoom(laburnumroom.Level{Service: l.Service, Fence: l.Fence, Sequence: l.Sequence}, "not-renewed")
	}
	f.serveQueue()
}

// setRoom applies a level to the balancer and the queue. The caller must hold mu.
func (f *Fleet) setRoom(l laburnumroom.Level, from string) {
	f.balance.SetHeadroom(l.Service, l.ByRank())
	f.queue.SetSurging(l.Service, l.Surging)
	_ = level.Info(f.logger).Log("event", laburnumlever.EventRoomChanged, "service", l.Service, "headroom", l.ByRank(), "surging", l.Surging,
		"fence", l.Fence, "sequence", l.Sequence, "from", from)
}

// headroomRank returns the rank whose headroom applies to a request; 0 for none. A stream that goes on gets any slot, as its caller
// has a part of the answer; one that can't wait for the next decision would be refused rather than put off. The caller must hold mu.
func (f *Fleet) headroomRank(q *request) int {
	canWait := waitPolicy.OnTimeUntil(q.queueTimes()).Sub(q.arrived) >= laburnumroom.LeastWait
	if q.freePass || !canWait || !q.brokenAt.IsZero() || !f.givesByUrgency(q.service.Name) {
		return 0
	}
	return q.rank
}

// countAsked counts a request when it asks for a slot for the first time, and decides how it takes part. The caller must hold mu.
func (f *Fleet) countAsked(q *request, cost float64) {
	if q.arrivalCounted {
		return
	}
	if !f.givesByUrgency(q.service.Name) {
		q.slotCounted = true
		return
	}
	q.freePass = rand.Float64() < laburnumroom.FreePass
	q.byUrgency = f.index.Load().Differs(q.service.Name)
	f.roomMeter.Asked(q.service.Name, q.rank, q.accountName(), cost)
	f.balance.Asked(laburnumbalance.Query{Service: q.service.Name, Model: q.caller.Model}, q.rank, f.timers.Now())
}

// countSlot counts a request that has a slot; it is late only if it waited for one, not for a model or an adapter. One that queues at an engine counts with the first event of its answer: when the engine
// admits it is not told.
func (g *Gateway) countSlot(q *request, now time.Time) {
	if !q.queuesAtEngine() {
		waited := q.foundFull || q.refusedReservations > 0
		g.countOutcome(q, !waited || !now.After(waitPolicy.OnTimeUntil(q.queueTimes())))
	}
}

// countFirstEvent counts a request that had no slot when it was sent.
func (g *Gateway) countFirstEvent(q *request) {
	target := time.Duration(q.route.Target)
	g.countOutcome(q, target <= 0 || g.timers.Now().Sub(q.arrived) <= target)
}

func (g *Gateway) countOutcome(q *request, inTime bool) {
	if q.slotCounted {
		return
	}
	q.slotCounted = true
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roomMeter.Served(q.service.Name, q.rank, inTime)
}

// countNoSlot counts a request that is refused since no slot is free.
func (g *Gateway) countNoSlot(q *request, verdict laburnumbalance.Verdict) {
	if verdict != laburnumbalance.Full || q.slotCounted {
		return
	}
	q.slotCounted = true
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roomMeter.Refused(q.service.Name, q.rank)
}

// leavesRoom reports whether a request gives up a slot that an engine has reserved for it: the load that the engine tells with it
// leaves too few slots for more urgent requests. The reservation lapses.
func (g *Gateway) leavesRoom(q *request, ticket *laburnumbalance.Ticket, resp *http.Response, result *laburnumbalance.AttemptResult) bool {
	f := g.fleet
	if q.rank == 0 || !f.sharedMachines.ByUrgency {
		return false
	}
	headers := g.dialect.Answer(resp.StatusCode, resp.Header)
	if !headers.HasLoad {
		return false
	}
	f.mu.Lock()
	crowded := f.balance.Crowded(ticket, headers.Running+headers.Waiting, f.timers.Now())
	f.mu.Unlock()
	if crowded {
		result.HasLoad, result.Running, result.Waiting = true, headers.Running, headers.Waiting
		g.counters.countPutOff(q.rank)
	}
	return crowded
}
