package laburnumgateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
)

const (
	// waitShare of a caller's patience may pass before it has a place: the rest is
	// for the answer. One who gets no place in that time would have got none
	// elsewhere either, and may ask again once.
	waitShare = 0.33
	// maxWaiting bounds the requests that wait on one gateway: at some hundred
	// requests a second, one behind so many has no chance in its time.
	maxWaiting = 256
)

// waiter is a request that waits for a place.
type waiter struct {
	query  laburnumbalance.Query
	rank   int
	since  time.Time
	ticket chan *laburnumbalance.Ticket // one place: a ticket that nobody takes any more is freed
}

// waiting holds those that wait, the most urgent first and each rank in the order in
// which they came. Its owner serialises calls.
//
// The load it answers: a burst of a few seconds, or an engine that is lost, makes the
// places of a model run out while answers end all the time. Turned away at once,
// callers come back together a moment later and are turned away again; let through to
// the engines, they wait behind whoever came first there, urgent or not, while a place
// comes free elsewhere.
type waiting struct{ list []*waiter }

// add puts a waiter in its place; false when too many wait.
func (w *waiting) add(n *waiter) bool {
	if len(w.list) >= maxWaiting {
		return false
	}
	at, _ := slices.BinarySearchFunc(w.list, n, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.since.Compare(b.since), -1)
	})
	w.list = slices.Insert(w.list, at, n)
	return true
}

func (w *waiting) remove(n *waiter) {
	w.list = slices.DeleteFunc(w.list, func(o *waiter) bool { return o == n })
}

// wants is what a waiter needs; those with the same are alike.
type wants struct {
	service laburnumlever.ServiceName
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
}

// serve gives places to those that can have one.
func (w *waiting) serve(pick func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict)) {
	var none map[wants]bool
	keep := w.list[:0]
	for _, n := range w.list {
		key := wants{service: n.query.Service, model: n.query.Model, adapter: n.query.Adapter}
		if none[key] {
			keep = append(keep, n)
			continue
		}
		ticket, verdict := pick(n.query)
		if verdict == laburnumbalance.Found {
			n.ticket <- ticket
			continue
		}
		if none == nil {
			none = map[wants]bool{}
		}
		none[key] = true
		keep = append(keep, n)
	}
	clear(w.list[len(keep):])
	w.list = keep
}

// await takes a place for a request, waiting for one until the time given.
func (f *Fleet) await(ctx context.Context, q *request, until time.Time) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	now := f.timers.Now()
	n := &waiter{rank: q.route.Priority, since: q.arrived, ticket: make(chan *laburnumbalance.Ticket, 1)}
	f.mu.Lock()
	n.query = f.query(q)
	ticket, verdict := f.balance.Pick(n.query, now)
	if verdict == laburnumbalance.Found || verdict == laburnumbalance.AdapterAbsent || !now.Before(until) || !f.waiting.add(n) {
		f.mu.Unlock()
		return ticket, verdict
	}
	f.mu.Unlock()
	over := make(chan struct{})
	cancel := f.timers.After(until.Sub(now), func(time.Time) { close(over) })
	defer cancel()
	select {
	case ticket := <-n.ticket:
		return ticket, laburnumbalance.Found
	case <-over:
	case <-ctx.Done():
	}
	return f.giveUp(n, verdict)
}

// giveUp ends a wait; a place that was given at the last moment is still taken.
func (f *Fleet) giveUp(n *waiter, verdict laburnumbalance.Verdict) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting.remove(n)
	select {
	case ticket := <-n.ticket:
		return ticket, laburnumbalance.Found
	default:
		return nil, verdict
	}
}

// serveWaiting gives places that have come free; mu is held.
func (f *Fleet) serveWaiting() {
	if len(f.waiting.list) == 0 {
		return
	}
	now := f.timers.Now()
	f.waiting.serve(func(q laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
		return f.balance.Pick(q, now)
	})
}
