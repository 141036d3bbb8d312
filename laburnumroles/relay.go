package laburnumroles

import (
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"
)

// relayPeriod batches heartbeats for the other control VMs: a fortieth of the two seconds in which
// a leaving backend server must be known everywhere. One message for each heartbeat would make
// each control VM's work grow with the whole fleet's heartbeats.
const relayPeriod = 50 * time.Millisecond

// relay batches heartbeats for the other control VMs. It is safe for concurrent use.
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

// add relays a heartbeat, whole if it changed something.
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

// addGone relays a tombstone.
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
