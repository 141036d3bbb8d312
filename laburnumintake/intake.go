package laburnumintake

import (
	"container/list"
	"sync"
	"time"

	"laburnumlever"
)

// Patience is how long a head or body that arrives may take to fill a buffer before another may take its room. It is also the time
// after which there is room again in a crowd that sends nothing more.
const Patience = time.Second

// Intake accounts for what all clients have a VM hold. It is safe for concurrent use.
type Intake struct {
	timers laburnumlever.Timers
	limits Limits

	mu sync.Mutex
	// released is signalled once room was given back, a connection closed or a listener closed.
	released *sync.Cond
	// held are the bytes that are taken, leaving those of them that are about to be given back.
	held, leaving int64
	// receiving are the heads and bodies that arrive, the one without progress for longest first.
	receiving *list.List
	stats     Stats
}

// Stats count what an Intake has done, since its start but for Held and Connections.
type Stats struct {
	// Held are the bytes that heads and bodies hold now, Connections the number of open connections.
	Held        int64
	Connections int
	// Refused are heads and bodies without room, Evicted those whose room another took.
	Refused, Evicted int
	// Closed are idle connections whose place another took, Turned those that found no place.
	Closed, Turned int
}

// New returns an intake with nothing in it.
func New(timers laburnumlever.Timers, limits Limits) *Intake {
	in := &Intake{timers: timers, limits: limits, receiving: list.New()}
	in.released = sync.NewCond(&in.mu)
	return in
}

// Limits returns the bounds.
func (in *Intake) Limits() Limits { return in.limits }

// Stats returns the counts.
func (in *Intake) Stats() Stats {
	in.mu.Lock()
	defer in.mu.Unlock()
	s := in.stats
	s.Held = in.held
	return s
}

// entry is a connection's head or a body. The intake's mutex guards it, and must be held for its methods.
type entry struct {
	intake *Intake
	// listener is that of its connection; nil if it is not known.
	listener *Listener
	// since is when it began to arrive, or last filled a buffer.
	since   time.Time
	held    int64
	evicted bool
	// arrivedBytes are those of a body that had arrived then.
	arrivedBytes int64
	// place is where it stands among those that arrive; nil if it does not.
	place *list.Element
	// pace is what its time and length ask of it; the zero value for nothing.
	pace pace
	// end has it given up by the goroutine that reads it. It must not block.
	end func()
}

// pace is what is expected of a body: that it has come as far as its share of the time until its deadline.
type pace struct {
	began, deadline time.Time
	length          int64
}

// behind reports whether a body of which so many bytes have arrived is later than that.
func (p pace) behind(arrived int64, now time.Time) bool {
	age, all := now.Sub(p.began), p.deadline.Sub(p.began)
	return all > 0 && age >= Patience && float64(arrived)/float64(p.length) < age.Seconds()/all.Seconds()
}

// progress records that the entry begins to arrive, or has filled a buffer.
func (e *entry) progress() {
	e.since = e.intake.timers.Now()
	if e.place == nil {
		e.place = e.intake.receiving.PushBack(e)
		return
	}
	e.intake.receiving.MoveToBack(e.place)
}

// arrived records that nothing more of the entry is expected.
func (e *entry) arrived() {
	if e.place != nil {
		e.intake.receiving.Remove(e.place)
		e.place = nil
	}
}

// take takes room for bytes, that of another entry if need be. Errors: *FullError.
func (e *entry) take(n int64) error {
	in := e.intake
	for !e.evicted && in.held+n > in.limits.bytes {
		if in.held-in.leaving+n <= in.limits.bytes {
			in.released.Wait()
			continue
		}
		victim := in.victim(nil)
		if victim == nil || victim == e || n > in.limits.bytes {
			in.stats.Refused++
			return &FullError{Held: in.held, Limit: in.limits.bytes}
		}
		victim.evict()
	}
	if e.evicted {
		return &FullError{Held: in.held, Limit: in.limits.bytes, Evicted: true}
	}
	in.held += n
	e.held += n
	return nil
}

// victim returns the entry that holds most for longest among those that have stalled, or if none has, among those that are behind
// their pace; nil for none. With a listener, it is one on its connections, whatever it holds.
func (in *Intake) victim(of *Listener) *entry {
	var stalled, late *entry
	mostStalled, mostLate := 0.0, 0.0
	now := in.timers.Now()
	for at := in.receiving.Front(); at != nil; at = at.Next() {
		e, _ := at.Value.(*entry)
		if of != nil && e.listener != of {
			continue
		}
		held := float64(e.held)
		if of != nil {
			held = 1
		}
		since := now.Sub(e.since)
		if since < Patience && stalled != nil {
			break // all that follow have progressed since
		}
		if weight := held * since.Seconds(); since >= Patience && weight > mostStalled {
			stalled, mostStalled = e, weight
		}
		if weight := held * now.Sub(e.pace.began).Seconds(); weight > mostLate && e.pace.behind(e.arrivedBytes, now) {
			late, mostLate = e, weight
		}
	}
	if stalled != nil {
		return stalled
	}
	return late
}

// evict has an entry give back its room, once the goroutine that reads it has noticed.
func (e *entry) evict() {
	e.arrived()
	e.evicted = true
	e.intake.leaving += e.held
	if e.listener != nil {
		e.listener.leaving++
	}
	e.intake.stats.Evicted++
	e.end()
	e.intake.released.Broadcast() // it may be waiting for room itself
}

// release gives back all room.
func (e *entry) release() {
	e.arrived()
	in := e.intake
	in.held -= e.held
	if e.evicted {
		in.leaving -= e.held
		if e.listener != nil {
			e.listener.leaving--
		}
	}
	e.held, e.evicted = 0, false
	in.released.Broadcast()
}
