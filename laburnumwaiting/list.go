package laburnumwaiting

import (
	"cmp"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
)

// Most bounds the requests that wait on one gateway: at some hundred
// requests a second, one behind so many has no chance in its time.
const Most = 256

// Request is one that waits for a place.
type Request struct {
	Query laburnumbalance.Query
	// Rank is its urgency, the lowest first.
	Rank  int
	Since time.Time
	// FreshTill is until when its answer would still begin in time.
	FreshTill time.Time
	// Give is called with its place.
	Give   func(*laburnumbalance.Ticket)
	served bool
}

// List holds those that wait, the most urgent first and each rank in the order in
// which they came.
type List struct {
	// InTurn serves each rank strictly in turn, whoever can still be in time.
	InTurn bool
	list   []*Request
}

// Len is how many wait.
func (l *List) Len() int { return len(l.list) }

// Requests are those that wait, in their order.
func (l *List) Requests() []*Request { return slices.Clone(l.list) }

// Add puts a request in its place; false when too many wait.
func (l *List) Add(r *Request) bool {
	if len(l.list) >= Most {
		return false
	}
	at, _ := slices.BinarySearchFunc(l.list, r, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Since.Compare(b.Since), -1)
	})
	l.list = slices.Insert(l.list, at, r)
	return true
}

// Remove takes a request out.
func (l *List) Remove(r *Request) {
	l.list = slices.DeleteFunc(l.list, func(o *Request) bool { return o == r })
}

// PickFunc takes a place if there is one.
type PickFunc func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict)

// wants is what a request needs; those with the same are alike.
type wants struct {
	service laburnumlever.ServiceName
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
}

// Serve gives places to those that can have one, first to those that it makes in time.
func (l *List) Serve(now time.Time, pick PickFunc) {
	none := map[wants]bool{}
	served := l.serveSome(none, pick, func(r *Request) bool { return l.InTurn || !now.After(r.FreshTill) })
	served += l.serveSome(none, pick, func(r *Request) bool { return !l.InTurn && now.After(r.FreshTill) })
	if served > 0 {
		l.list = slices.DeleteFunc(l.list, func(r *Request) bool { return r.served })
	}
}

// serveSome gives places to some of those that wait and counts them. Those with the same
// wants as one who got none need not be tried.
func (l *List) serveSome(none map[wants]bool, pick PickFunc, some func(*Request) bool) int {
	served := 0
	for _, r := range l.list {
		key := wants{service: r.Query.Service, model: r.Query.Model, adapter: r.Query.Adapter}
		if none[key] || !some(r) {
			continue
		}
		ticket, verdict := pick(r.Query)
		if verdict != laburnumbalance.Found {
			none[key] = true
			continue
		}
		r.served = true
		r.Give(ticket)
		served++
	}
	return served
}
