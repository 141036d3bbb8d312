package laburnumroles

import (
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"
)

// relayPeriod lies between two messages of a control VM to another about backend servers:
// a fortieth of the two seconds in which a leaving one must be known everywhere. A message
// for each heartbeat costs each control VM as much as one from a backend server, 48 µs, for
// each heartbeat in the whole fleet: an eighth of a core at 2,500 a second (worked out).
const relayPeriod = 50 * time.Millisecond

// relay gathers what this control VM hears of backend servers for the others. It may be
// used from any goroutine.
type relay struct {
	gather *laburnumtimer.Gatherer
	send   func(relayed)

	mu   sync.Mutex
	next relayed
}

func newRelay(timers laburnumlever.Timers, send func(relayed)) *relay {
	r := &relay{send: send}
	r.gather = laburnumtimer.NewGatherer(timers, func() time.Duration { return relayPeriod }, r.flush)
	return r
}

// add passes a heartbeat on, whole if it brought something new.
func (r *relay) add(h laburnumlever.Heartbeat, changed bool) {
	r.mu.Lock()
	if changed {
		r.next.Heartbeats = append(r.next.Heartbeats, h)
	} else {
		r.next.Alive = append(r.next.Alive, alive{Backend: h.Backend, Born: h.Born, Sequence: h.Sequence})
	}
	r.mu.Unlock()
	r.gather.Poke()
}

// addGone passes on that a backend server is gone.
func (r *relay) addGone(id laburnumlever.BackendID) {
	r.mu.Lock()
	r.next.Gone = append(r.next.Gone, id)
	r.mu.Unlock()
	r.gather.Poke()
}

func (r *relay) flush() {
	r.mu.Lock()
	news := r.next
	r.next = relayed{}
	r.mu.Unlock()
	r.send(news)
}
