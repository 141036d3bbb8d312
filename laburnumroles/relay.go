package laburnumroles

import (
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"
)

// relayPeriod is the shortest interval between batches to the other control VMs: a fortieth of the two
// seconds within which every control VM must know of a leaving backend server. With one message for
// each heartbeat, each control VM's message rate would grow with the number of backend servers.
const relayPeriod = 50 * time.Millisecond

// relay batches heartbeats for the other control VMs. It is safe for concurrent use.
type relay struct {
	coalescer *laburnumtimer.Coalescer
	send      func(relayBatch)

	mu      sync.Mutex
	pending relayBatch
}

func newRelay(timers laburnumlever.Timers, send func(relayBatch)) *relay {
	r := &relay{send: send}
	r.coalescer = laburnumtimer.NewCoalescer(timers, func() time.Duration { return relayPeriod }, r.flush)
	return r
}

// addHeartbeat adds a heartbeat to the batch: in full if its content changed, else only its sequence.
func (r *relay) addHeartbeat(h laburnumlever.Heartbeat, changed bool) {
	r.mu.Lock()
	if changed {
		r.pending.Heartbeats = append(r.pending.Heartbeats, h)
	} else {
		r.pending.Alive = append(r.pending.Alive, unchangedHeartbeat{Backend: h.Backend, Incarnation: h.Incarnation, Sequence: h.Sequence})
	}
	r.mu.Unlock()
	r.coalescer.Trigger()
}

// addGone adds the removal of a backend server to the batch.
func (r *relay) addGone(b laburnumlever.BackendStart) {
	r.mu.Lock()
	r.pending.Gone, r.pending.GoneStarts = append(r.pending.Gone, b.Backend), append(r.pending.GoneStarts, b)
	r.mu.Unlock()
	r.coalescer.Trigger()
}

func (r *relay) flush() {
	r.mu.Lock()
	batch := r.pending
	r.pending = relayBatch{}
	r.mu.Unlock()
	r.send(batch)
}
