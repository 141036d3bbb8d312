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
// given time.
func (f *Fleet) awaitSlot(ctx context.Context, q *request, until time.Time) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	now := f.timers.Now()
	admitted := make(chan *laburnumbalance.Ticket, 1)
	queued := &laburnumslotqueue.Request{
		Priority: q.route.Priority, Arrived: q.arrived, OnTimeUntil: waitPolicy.OnTimeUntil(q.queueTimes()),
		Admit: func(ticket *laburnumbalance.Ticket) { admitted <- ticket },
	}
	f.mu.Lock()
	queued.Query = f.query(q)
	ticket, verdict := f.balance.Pick(queued.Query, now)
	if verdict == laburnumbalance.Found || verdict == laburnumbalance.AdapterAbsent || !now.Before(until) || !f.queue.Push(queued) {
		f.mu.Unlock()
		return ticket, verdict
	}
	var grew <-chan struct{} = f.quarantineGrew
	f.mu.Unlock()
	over, cancel := laburnumtimer.AfterChannel(f.timers, until.Sub(now))
	defer cancel()
	for {
		select {
		case ticket := <-admitted:
			return ticket, laburnumbalance.Found
		case <-grew:
			if grew = f.nextGrowth(); !f.quarantineState(q).Refused() {
				continue
			}
		case <-over:
		case <-ctx.Done():
		}
		return f.leaveQueue(queued, admitted, verdict)
	}
}

// nextGrowth returns the channel that is closed when further requests are refused.
func (f *Fleet) nextGrowth() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantineGrew
}

// leaveQueue removes a request from the queue. If it was admitted in the meantime, it returns the
// ticket of its slot.
func (f *Fleet) leaveQueue(n *laburnumslotqueue.Request, admitted <-chan *laburnumbalance.Ticket, verdict laburnumbalance.Verdict) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue.Remove(n)
	select {
	case ticket := <-admitted:
		return ticket, laburnumbalance.Found
	default:
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
		return f.balance.Pick(q, now)
	})
}
