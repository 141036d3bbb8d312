package laburnumslotqueue

import (
	"cmp"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
)

const (
	// maxQueued is the capacity of a queue. Requests beyond it would time out before they are served.
	maxQueued = 256
	// maxQueuedInSurge leaves room for the requests of others while an account surges.
	maxQueuedInSurge = maxQueued / 2
)

// Request is a request that waits for a slot.
type Request struct {
	Query laburnumbalance.Query
	// Priority 0 is the most urgent.
	Priority int
	Arrived  time.Time
	// Asked is when the caller first asked, if it was refused and told to return; else zero. The order is by it then.
	Asked time.Time
	// OnTimeUntil is the latest time at which a slot still lets the answer start in time.
	OnTimeUntil time.Time
	// Account is the client account that the request belongs to; empty for none. Cost is its size in a unit that all
	// requests for the same service have in common.
	Account laburnumlever.AccountName
	Cost    float64
	// Admit is called at most once, by Queue.Serve, with the reserved slot.
	Admit    func(*laburnumbalance.Ticket)
	admitted bool
	// beyondUsual is set if the account surges and this is not of the part that is usual for it.
	beyondUsual bool
}

func (r *Request) asked() time.Time {
	if r.Asked.IsZero() {
		return r.Arrived
	}
	return r.Asked
}

// Queue orders requests by priority, then by whether it is what their client account asks for beyond its usual in a surge, then by
// whether they begin a stream that another server version could take as well, then by arrival.
type Queue struct {
	// InOrder serves strictly in that order, whether or not answers can still start in time.
	InOrder  bool
	requests []*Request
	shares   shares
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.requests) }

// Requests returns the queued requests in order.
func (q *Queue) Requests() []*Request { return slices.Clone(q.requests) }

// Push adds a request. It returns false if the queue, or its account's part of it, is full.
func (q *Queue) Push(r *Request) bool {
	if len(q.requests) >= maxQueued || q.shares.surges(r, r.Arrived) && q.queuedBy(r.Account) >= maxQueuedInSurge {
		return false
	}
	at, _ := slices.BinarySearchFunc(q.requests, r, func(a, b *Request) int { return cmp.Or(compare(a, b), -1) })
	q.requests = slices.Insert(q.requests, at, r)
	return true
}

// SetSurging sets the client accounts that ask for far more than their usual of a service over all gateways. They come last like those
// whose requests on this gateway show it.
func (q *Queue) SetSurging(service laburnumlever.ServiceName, accounts []laburnumlever.AccountName) {
	q.shares.setTold(service, accounts)
}

// Arrived records a request that asks for a slot for the first time.
func (q *Queue) Arrived(r *Request, now time.Time) { q.shares.add(r, now) }

// Ahead returns the number of queued requests that compete with a request and get a slot before it.
func (q *Queue) Ahead(r *Request, now time.Time) int {
	n := 0
	for _, o := range q.requests {
		if r.competes(o) && compare(o, r) < 0 && (q.InOrder || !now.After(o.OnTimeUntil)) {
			n++
		}
	}
	return n
}

func (q *Queue) queuedBy(account laburnumlever.AccountName) int {
	n := 0
	for _, r := range q.requests {
		if r.Account == account {
			n++
		}
	}
	return n
}

// Remove removes a request, if it is still queued.
func (q *Queue) Remove(r *Request) {
	q.requests = slices.DeleteFunc(q.requests, func(o *Request) bool { return o == r })
}

// ReserveFunc reserves a slot on a server. Any verdict but Found means that none is free.
type ReserveFunc func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict)

// target is what a request needs from a server; requests with the same target compete for the
// same slots.
type target struct {
	service laburnumlever.ServiceName
	// rank tells apart requests of which some may take a slot that others must leave free.
	rank    int
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
	// software is empty for requests that servers of any version can take.
	software laburnumlever.SoftwareVersion
}

func (r *Request) target() target {
	return target{service: r.Query.Service, rank: r.Query.Rank, model: r.Query.Model, adapter: r.Query.Adapter, software: r.Query.Software}
}

// competes reports whether a server that a request can take may be one that the other can take.
func (r *Request) competes(o *Request) bool {
	a, b := r.target(), o.target()
	if a.software == "" || b.software == "" {
		a.software, b.software = "", ""
	}
	return a == b
}

// compare orders requests by priority, then those that take up a stream first, then by when the caller asked. Only the servers of one
// software version can go on with a stream, and the caller has waited for what came before; a new one can begin at any.
func compare(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.place(), b.place()), a.asked().Compare(b.asked()))
}

// place is a request's place within its priority.
func (r *Request) place() int {
	if r.Query.Software != "" {
		return 0
	}
	return 1
}

// Serve admits requests while there are free slots, first those whose answer can still start in
// time.
func (q *Queue) Serve(now time.Time, reserve ReserveFunc) {
	full := map[target]bool{}
	order := order(q.requests)
	onTime := func(r *Request) bool { return q.InOrder || !now.After(r.OnTimeUntil) }
	admitted := q.admit(order, full, reserve, onTime)
	admitted += q.admit(order, full, reserve, func(r *Request) bool { return !onTime(r) })
	if admitted > 0 {
		q.requests = slices.DeleteFunc(q.requests, func(r *Request) bool { return r.admitted })
	}
}

// admit reserves slots for the eligible requests in an order, and returns the number of admitted ones. It skips
// requests without a permit for targets in full, and adds the targets without a free slot.
func (q *Queue) admit(order []*Request, full map[target]bool, reserve ReserveFunc, eligible func(*Request) bool) int {
	admitted := 0
	for _, r := range order {
		key := r.target()
		if full[key] && r.Query.Permit == (laburnumbalance.Permit{}) || !eligible(r) {
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
