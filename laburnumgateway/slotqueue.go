package laburnumgateway

import (
	"context"
	"time"

	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumslotqueue"
	"laburnumlever/laburnumtimer"
)

// waitPolicy limits how long requests wait for a slot.
var waitPolicy = laburnumslotqueue.DefaultPolicy()

// awaitSlot reserves a slot for a request. If none is free, it queues the request at most until the
// given time, or the time of its permit. It returns Limited if the request should request a slot at a
// limited backend server, or can't be served without one.
func (f *Fleet) awaitSlot(ctx context.Context, q *request, until time.Time) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	now := f.timers.Now()
	admitted := make(chan *laburnumbalance.Ticket, 1)
	queued := &laburnumslotqueue.Request{
		Priority: q.rank, Arrived: q.arrived, OnTimeUntil: waitPolicy.OnTimeUntil(q.queueTimes()),
		Admit: func(ticket *laburnumbalance.Ticket) { admitted <- ticket },
	}
	if q.account != nil {
		queued.Account, queued.Cost = q.account.Name, float64(max(1, q.caller.PromptTokens+q.caller.MaxAnswerTokens))
	}
	f.mu.Lock()
	f.countAsked(q, queued.Cost)
	queued.Query = f.query(q)
	if !q.arrivalCounted {
		q.arrivalCounted = true
		f.queue.Arrived(queued, now)
		f.noteReturn(q, now)
	}
	queued.Asked = q.asked
	ticket, verdict := f.pick(q, queued.Query, now)
	f.noteFull(q, queued.Query, verdict, now)
	if verdict == laburnumbalance.Resting {
		verdict = f.waitsForRest(queued.Query, until, now)
	}
	if waitsInQueue(verdict) {
		until = f.awaitPermit(q, until, now)
	}
	if f.refusesAtOnce(q, queued, verdict, until, now) {
		f.mu.Unlock()
		return nil, verdict
	}
	if !waitsInQueue(verdict) || !now.Before(until) || !f.queue.Push(queued) {
		f.mu.Unlock()
		return ticket, verdict
	}
	f.noteQueued(q, queued, verdict, now)
	woken := f.queueWoken
	f.mu.Unlock()
	over, cancel := laburnumtimer.AfterChannel(f.timers, until.Sub(now))
	defer cancel()
	if ticket, woke := f.awaitAdmission(ctx, q, queued.Query, admitted, woken, over); ticket != nil {
		return ticket, laburnumbalance.Found
	} else if woke {
		verdict = laburnumbalance.Limited
	}
	return f.leaveQueue(q, queued, admitted, verdict)
}

// pick reserves a slot for a request, if one is free. The caller must hold mu.
func (f *Fleet) pick(q *request, query laburnumbalance.Query, now time.Time) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	if f.probesLimit(q, query, now) {
		return nil, laburnumbalance.Limited
	}
	ticket, verdict := f.take(query, now)
	if verdict != laburnumbalance.Found && f.needsSlot(q, query, now) {
		verdict = laburnumbalance.Limited
	}
	return ticket, verdict
}

// awaitAdmission waits until a queued request is admitted or its time is over. It tells whether the
// request must leave the queue earlier.
func (f *Fleet) awaitAdmission(ctx context.Context, q *request, query laburnumbalance.Query, admitted <-chan *laburnumbalance.Ticket, woken, over <-chan struct{}) (*laburnumbalance.Ticket, bool) {
	for {
		select {
		case ticket := <-admitted:
			return ticket, false
		case <-woken:
			if woken = f.nextWake(q, query); woken == nil {
				return nil, true
			}
		case <-over:
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}

// waitsInQueue tells whether a request that got the verdict waits for a slot.
func waitsInQueue(verdict laburnumbalance.Verdict) bool {
	switch verdict {
	case laburnumbalance.Found, laburnumbalance.AdapterAbsent, laburnumbalance.Limited, laburnumbalance.Resting:
		return false
	default:
		return true
	}
}

// awaitPermit has the queue served when the request's permit becomes valid, and returns until when the
// request waits. The caller must hold mu.
func (f *Fleet) awaitPermit(q *request, until, now time.Time) time.Time {
	if !now.Before(q.permit.From) {
		return until
	}
	f.timers.After(q.permit.From.Sub(now), func(time.Time) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.serveQueue()
	})
	if q.permit.Until.After(until) {
		return q.permit.Until
	}
	return until
}

// wakeQueue has the queued requests check whether they can still be served. The caller must hold mu.
func (f *Fleet) wakeQueue() {
	close(f.queueWoken)
	f.queueWoken = make(chan struct{})
}

// nextWake returns the channel that is closed at the next wakeQueue. It returns nil if the request must
// leave the queue, because it is refused or needs a slot at a limited backend server.
func (f *Fleet) nextWake(q *request, query laburnumbalance.Query) <-chan struct{} {
	f.mu.Lock()
	now := f.timers.Now()
	woken, leave := f.queueWoken, f.needsSlot(q, query, now) || f.restsTooLong(q, query, now)
	f.mu.Unlock()
	if leave || f.refusesContent(q) || f.versionGone(q) {
		return nil
	}
	return woken
}

// leaveQueue removes a request from the queue. If it was admitted in the meantime, it returns the
// ticket of its slot.
func (f *Fleet) leaveQueue(q *request, n *laburnumslotqueue.Request, admitted <-chan *laburnumbalance.Ticket, verdict laburnumbalance.Verdict) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue.Remove(n)
	select {
	case ticket := <-admitted:
		return ticket, laburnumbalance.Found
	default:
		f.noteLeft(q)
		return nil, verdict
	}
}

// serveQueue assigns free slots to queued requests. The caller must hold mu.
func (f *Fleet) serveQueue() {
	if f.queue.Len() == 0 {
		return
	}
	now := f.timers.Now()
	f.queue.Serve(now, func(q laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
		return f.take(q, now)
	})
}
