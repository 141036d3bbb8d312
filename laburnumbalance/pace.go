package laburnumbalance

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumpace"
)

// ObservePace records how long work takes at a server and how many requests run there, unless the server has started again since.
func (t *Table) ObservePace(to laburnumlever.Heartbeat, pace float64, running int, now time.Time) {
	if s := t.incarnation(to); s != nil {
		s.pace = s.pace.With(pace, running, now)
	}
}

// SlowServers returns the number of a service's servers that are known to be slow now.
func (t *Table) SlowServers(service laburnumlever.ServiceName, now time.Time) int {
	n := 0
	for _, s := range t.byService[service] {
		if s.pace.Slow(now) {
			n++
		}
	}
	return n
}

// LookDecides reports whether the ticket's server should be asked for its pace: it is unknown, the prompt would delay running
// streams at the slowest pace of the service's servers, and another server could take the request.
func (t *Table) LookDecides(ticket *Ticket, slowest float64, now time.Time) bool {
	s := ticket.server
	return s != nil && ticket.replaceable && !ticket.trial && !ticket.limited && !s.pace.Fresh(now) && ticket.prompt().Pauses(slowest)
}

// Overruns reports whether the request, once sent, would delay running streams at its server beyond their target.
func (t *Table) Overruns(ticket *Ticket, now time.Time) bool {
	return ticket.server != nil && ticket.server.pace.Overrun(ticket.prompt(), now) > 0
}

// RoomSeen records that the server has just told of a free slot for the request.
func (ticket *Ticket) RoomSeen() { ticket.mayBeFull = false }

func (ticket *Ticket) prompt() laburnumpace.Prompt {
	return ticket.query.promptOf(ticket.unreadPromptTime)
}

// promptOf returns the query's prompt as running streams see it; readMillis is the time to read it.
func (q Query) promptOf(readMillis float64) laburnumpace.Prompt {
	return laburnumpace.Prompt{Reading: time.Duration(readMillis * float64(time.Millisecond)), Interval: q.Interval, Target: q.PauseTarget}
}

// pausePenalty is the term of the score for delaying running streams beyond their target, in ms.
func (s *server) pausePenalty(p laburnumpace.Prompt, now time.Time) float64 {
	if over := s.pace.Overrun(p, now); over > 0 {
		return pauseMillis + float64(over)/float64(time.Millisecond)
	}
	return 0
}
