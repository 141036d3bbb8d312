package laburnumbalance

import (
	"time"

	"laburnumlever"
)

// restSpread is the largest part of a rest by which it is prolonged at random, so that the VMs that a server asked at the same
// time don't return together.
const restSpread = 0.25

// Rest has a server get no requests of this VM for the time that it asked for, and a single one afterwards until it answers. It
// returns the end of the rest, and false if the server rests longer already or is another incarnation.
func (t *Table) Rest(to laburnumlever.Heartbeat, d time.Duration, now time.Time) (time.Time, bool) {
	s := t.incarnation(to)
	if s == nil || !now.Add(d).After(s.restUntil) {
		return time.Time{}, false
	}
	s.restUntil = now.Add(d + time.Duration(restSpread*t.rand.Float64()*float64(d)))
	s.recovering = true
	return s.restUntil, true
}

// RestOver ends the recovery of a server after an answer to a request that it was sent after its rest.
func (t *Table) RestOver(ticket *Ticket) {
	if s := ticket.server; s != nil && s.recovering && !ticket.since.Before(s.restUntil) {
		s.recovering, s.trialing = false, false
	}
}

// IsResting reports whether a server gets no requests now since it asked for rest.
func (t *Table) IsResting(to laburnumlever.Heartbeat, now time.Time) bool {
	s := t.incarnation(to)
	return s != nil && now.Before(s.restUntil)
}

// incarnation returns the server if it is still the same incarnation; nil if not.
func (t *Table) incarnation(h laburnumlever.Heartbeat) *server {
	s := t.servers[h.Backend]
	if s == nil || s.record.Heartbeat.Incarnation != h.Incarnation {
		return nil
	}
	return s
}

// RestsUntil returns when the first of the servers that could take the query takes requests again, if all of them rest.
func (t *Table) RestsUntil(q Query, now time.Time) (until time.Time, resting bool) {
	for _, s := range t.candidates(q) {
		if !q.fits(s) || now.Before(s.unreachableUntil) || !s.holds(q.Model, "", now) {
			continue
		}
		if !now.Before(s.restUntil) {
			return time.Time{}, false
		}
		if !resting || s.restUntil.Before(until) {
			until, resting = s.restUntil, true
		}
	}
	return until, resting
}

// Resting returns the number of servers of a service that rest.
func (t *Table) Resting(service laburnumlever.ServiceName, now time.Time) int {
	n := 0
	for _, s := range t.byService[service] {
		if now.Before(s.restUntil) {
			n++
		}
	}
	return n
}
