package laburnumbalance

import (
	"slices"
	"time"

	"laburnumlever"
)

// urgentMemory is how long a model counts as one of urgent requests after one asked for it: a gateway sees most models with a share of
// the demand that matters every few seconds.
const urgentMemory = 10 * time.Second

// askedModel is the most urgent rank that asked for a model, and when.
type askedModel struct {
	rank int
	at   time.Time
}

// SetHeadroom sets the share of each server's slots at a service that requests leave free, by rank; empty for none. Servers without
// models of more urgent ranks need none.
func (t *Table) SetHeadroom(service laburnumlever.ServiceName, byRank map[int]float64) {
	if len(byRank) == 0 {
		delete(t.headroom, service)
		return
	}
	t.headroom[service] = byRank
}

// Asked records that a request of a rank asked for the query's model.
func (t *Table) Asked(q Query, rank int, now time.Time) {
	key := serviceModel{service: q.Service, model: q.Model}
	if len(t.byModel[key]) == 0 {
		return
	}
	if known, ok := t.asked[key]; !ok || rank <= known.rank || now.Sub(known.at) > urgentMemory {
		t.asked[key] = askedModel{rank: rank, at: now}
	}
}

// headroomAt returns the share of a server's slots that the query leaves free.
func (t *Table) headroomAt(s *server, q Query, now time.Time) float64 {
	headroom := t.headroom[q.Service][q.Rank]
	if headroom == 0 {
		return 0
	}
	urgent := func(model laburnumlever.ModelName) bool {
		known, ok := t.asked[serviceModel{service: q.Service, model: model}]
		return ok && known.rank < q.Rank && now.Sub(known.at) <= urgentMemory
	}
	if len(s.listed) > 0 && !slices.ContainsFunc(s.listed, urgent) {
		return 0
	}
	return headroom
}

// mayLackHeadroom tells whether the server may have too few free slots for the rank, since its load is not current. Others' requests
// count less and less in an older load, so that it shows more free slots than there are.
func (t *Table) mayLackHeadroom(s *server, q Query, now time.Time) bool {
	return now.Sub(s.othersAt) >= currentLoadAge && t.headroomAt(s, q, now) > 0
}

// Crowded reports whether the ticket's server with a load has too few free slots for the request's rank: what a reservation tells of
// the load is newer than what the server was picked by.
func (t *Table) Crowded(ticket *Ticket, load int, now time.Time) bool {
	if ticket.server == nil {
		return false
	}
	headroom := t.headroomAt(ticket.server, ticket.query, now)
	return headroom > 0 && float64(load) >= float64(max(1, ticket.Backend.Slots))*(1-headroom)
}
