package laburnumgateway

import (
	"context"
	"time"

	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumwaiting"
)

// waitTerms are how long requests wait for a slot.
var waitTerms = laburnumwaiting.DefaultTerms()

// await takes a place for a request, waiting for one until the time given.
func (f *Fleet) await(ctx context.Context, q *request, until time.Time) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	now := f.timers.Now()
	given := make(chan *laburnumbalance.Ticket, 1) // a ticket that nobody takes any more is freed
	n := &laburnumwaiting.Request{
		Rank: q.route.Priority, Since: q.arrived, FreshTill: waitTerms.FreshUntil(q.times()),
		Give: func(ticket *laburnumbalance.Ticket) { given <- ticket },
	}
	f.mu.Lock()
	n.Query = f.query(q)
	ticket, verdict := f.balance.Pick(n.Query, now)
	if verdict == laburnumbalance.Found || verdict == laburnumbalance.AdapterAbsent || !now.Before(until) || !f.waiting.Add(n) {
		f.mu.Unlock()
		return ticket, verdict
	}
	f.mu.Unlock()
	over, cancel := laburnumtimer.Passed(f.timers, until.Sub(now))
	defer cancel()
	select {
	case ticket := <-given:
		return ticket, laburnumbalance.Found
	case <-over:
	case <-ctx.Done():
	}
	return f.giveUp(n, given, verdict)
}

// giveUp ends a wait; a place that was given at the last moment is still taken.
func (f *Fleet) giveUp(n *laburnumwaiting.Request, given <-chan *laburnumbalance.Ticket, verdict laburnumbalance.Verdict) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting.Remove(n)
	select {
	case ticket := <-given:
		return ticket, laburnumbalance.Found
	default:
		return nil, verdict
	}
}

// serveWaiting gives places that have come free; mu is held.
func (f *Fleet) serveWaiting() {
	if f.waiting.Len() == 0 {
		return
	}
	now := f.timers.Now()
	f.waiting.Serve(now, func(q laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
		return f.balance.Pick(q, now)
	})
}
