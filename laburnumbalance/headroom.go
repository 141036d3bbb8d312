package laburnumbalance

import (
	"time"

	"laburnumlever"
)

// SetHeadroom sets the share of each server's slots at a service that requests leave free, by rank; empty for none.
func (t *Table) SetHeadroom(service laburnumlever.ServiceName, byRank map[int]float64) {
	if len(byRank) == 0 {
		delete(t.headroom, service)
		return
	}
	t.headroom[service] = byRank
}

func (t *Table) headroomOf(q Query) float64 { return t.headroom[q.Service][q.Rank] }

// mayLackHeadroom tells whether the server may have too few free slots for the rank, since its load is not current. Others' requests
// count less and less in an older load, so that it shows more free slots than there are.
func (t *Table) mayLackHeadroom(s *server, q Query, now time.Time) bool {
	return t.headroomOf(q) > 0 && now.Sub(s.othersAt) >= currentLoadAge
}

// Crowded reports whether a server with a load has too few free slots for the query's rank: what a reservation tells of the load
// is newer than what the request was picked by.
func (t *Table) Crowded(q Query, slots, load int) bool {
	headroom := t.headroomOf(q)
	return headroom > 0 && float64(load) >= float64(max(1, slots))*(1-headroom)
}
