package laburnumgateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumtimer"
)

const (
	// waitShare of a caller's patience may pass before it has a place: the rest is
	// for the answer. One who gets no place in that time would have got none
	// elsewhere either, and may ask again once.
	waitShare = 0.33
	// resumeShare of the gap after which callers leave a stream may pass before a broken one
	// has a place to go on at: the rest is for reading the prompt and what was written.
	// Counted from the request's arrival, as for a place to begin at, the time was over
	// for nearly all: of some 250 streams that broke off on a day on which five of twelve
	// engines crashed, 122 ended there and then for want of a place.
	resumeShare = 0.66
	// maxWaiting bounds the requests that wait on one gateway: at some hundred
	// requests a second, one behind so many has no chance in its time.
	maxWaiting = 256
	// freshShare of its target is how long a request may have waited and still be
	// answered in time: the rest is for the reading of its prompt and the network.
	freshShare = 0.75
)

// waiter is a request that waits for a place.
type waiter struct {
	query laburnumbalance.Query
	rank  int
	since time.Time
	// freshTill is until when its answer would still begin in time.
	freshTill time.Time
	served    bool
	ticket    chan *laburnumbalance.Ticket // one place: a ticket that nobody takes any more is freed
}

// waiting holds those that wait, the most urgent first and each rank in the order in
// which they came. Its owner serialises calls.
//
// The load it answers: a burst of a few seconds, or an engine that is lost, makes the
// places of a model run out while answers end all the time. Turned away at once,
// callers come back together a moment later and are turned away again; let through to
// the engines, they wait behind whoever came first there, urgent or not, while a place
// comes free elsewhere.
//
// Places go first to those whose answer can still begin in time. Where more come than
// are served, strictly in turn would have each of them wait as long as the longest wait
// is, and nearly all would be late: of 45 requests a second at an engine that serves 25,
// a model of it answered 0.3 in time a second in turn and 20 this way.
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

// pickFunc takes a place if there is one.
type pickFunc func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict)

// serve gives places to those that can have one, first to those that it makes in time.
func (w *waiting) serve(now time.Time, pick pickFunc) {
	none := map[wants]bool{}
	served := w.serveSome(none, pick, func(n *waiter) bool { return !now.After(n.freshTill) })
	served += w.serveSome(none, pick, func(n *waiter) bool { return now.After(n.freshTill) })
	if served > 0 {
		w.list = slices.DeleteFunc(w.list, func(n *waiter) bool { return n.served })
	}
}

// serveSome gives places to some of those that wait and counts them. Those with the same
// wants as one who got none need not be tried.
func (w *waiting) serveSome(none map[wants]bool, pick pickFunc, some func(*waiter) bool) int {
	served := 0
	for _, n := range w.list {
		key := wants{service: n.query.Service, model: n.query.Model, adapter: n.query.Adapter}
		if none[key] || !some(n) {
			continue
		}
		ticket, verdict := pick(n.query)
		if verdict != laburnumbalance.Found {
			none[key] = true
			continue
		}
		n.served = true
		n.ticket <- ticket
		served++
	}
	return served
}

// await takes a place for a request, waiting for one until the time given.
func (f *Fleet) await(ctx context.Context, q *request, until time.Time) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	now := f.timers.Now()
	n := &waiter{
		rank: q.route.Priority, since: q.arrived, ticket: make(chan *laburnumbalance.Ticket, 1),
		freshTill: q.freshTill(),
	}
	f.mu.Lock()
	n.query = f.query(q)
	ticket, verdict := f.balance.Pick(n.query, now)
	if verdict == laburnumbalance.Found || verdict == laburnumbalance.AdapterAbsent || !now.Before(until) || !f.waiting.add(n) {
		f.mu.Unlock()
		return ticket, verdict
	}
	f.mu.Unlock()
	over, cancel := laburnumtimer.Passed(f.timers, until.Sub(now))
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
	f.waiting.serve(now, func(q laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
		return f.balance.Pick(q, now)
	})
}
