package laburnumwaiting

import (
	"cmp"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
)

const maxQueued = 256 // a longer queue would time out before it is served

// Request waits for a slot.
type Request struct {
	Query laburnumbalance.Query
	// Priority 0 is the most urgent.
	Priority int
	Arrived  time.Time
	// FreshUntil is the latest time at which a slot still lets the answer begin in time.
	FreshUntil time.Time
	// Admit is called once, with the reserved slot.
	Admit    func(*laburnumbalance.Ticket)
	admitted bool
}

// Queue orders requests by priority, then by arrival.
type Queue struct {
	// InOrder serves strictly in that order, whether or not answers can begin in time.
	InOrder  bool
	requests []*Request
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.requests) }

// Requests returns the queued requests in order.
func (q *Queue) Requests() []*Request { return slices.Clone(q.requests) }

// Push queues a request. It returns false when the queue is full.
func (q *Queue) Push(r *Request) bool {
	if len(q.requests) >= maxQueued {
		return false
	}
	at, _ := slices.BinarySearchFunc(q.requests, r, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Arrived.Compare(b.Arrived), -1)
	})
	q.requests = slices.Insert(q.requests, at, r)
	return true
}

// Remove takes a request out of the queue.
func (q *Queue) Remove(r *Request) {
	q.requests = slices.DeleteFunc(q.requests, func(o *Request) bool { return o == r })
}

// ReserveFunc reserves a slot if one is free.
type ReserveFunc func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict)

// target is what a request needs; requests with the same target compete for the same slots.
type target struct {
	service laburnumlever.ServiceName
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
}

// Serve admits requests while there are free slots, first those that can still be in time.
func (q *Queue) Serve(now time.Time, reserve ReserveFunc) {
	full := map[target]bool{}
	onTime := func(r *Request) bool { return q.InOrder || !now.After(r.FreshUntil) }
	admitted := q.admit(full, reserve, onTime)
	admitted += q.admit(full, reserve, func(r *Request) bool { return !onTime(r) })
	if admitted > 0 {
		q.requests = slices.DeleteFunc(q.requests, func(r *Request) bool { return r.admitted })
	}
}

// admit skips targets known to be full and returns the number of admitted requests.
func (q *Queue) admit(full map[target]bool, reserve ReserveFunc, eligible func(*Request) bool) int {
	admitted := 0
	for _, r := range q.requests {
		key := target{service: r.Query.Service, model: r.Query.Model, adapter: r.Query.Adapter}
		if full[key] || !eligible(r) {
			continue
		}
		ticket, verdict := reserve(r.Query)
		if verdict != laburnumbalance.Found {
			full[key] = true
			continue
		}
		r.admitted = true
		r.Admit(ticket)
		admitted++
	}
	return admitted
}
