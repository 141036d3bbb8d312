package laburnumconcurrency

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// maxServers is the number of servers whose leases are kept.
	maxServers = 4096
	// retention is how long a server is kept that no gateway asks or tells of.
	retention = 10 * time.Minute
	// maxWaiting times its slots is the number of requests that wait for a server, maxAllWaiting that for all of them: each is a
	// call of another VM.
	maxWaiting, maxAllWaiting = 8, 256
	// minRetryIn is the shortest time after which a gateway without a lease asks again.
	minRetryIn = 100 * time.Millisecond
	// maxRetryIn bounds that time as far as it grows with the gateways that ask: they may stop.
	maxRetryIn = 4 * MaxWait
	// newcomerTime is how long a keeper that has just learned of a server grants only StandInShare of the slots: leases of
	// an earlier keeper may be out.
	newcomerTime = time.Second
	// lowerTime is how long the bound of a server stays lower after it rejected a request with a lease.
	lowerTime = 3 * time.Second
	// earlySlots is the number of slots from which on one lease more is granted to a request that waits: it reaches the server
	// about when another one ends, and a server queues a few requests. After a rejection none is for cautionTime.
	earlySlots  = 4
	cautionTime = 30 * time.Second
	// rejectionPause is how long nothing is granted after that.
	rejectionPause = 200 * time.Millisecond
	// firstLeases is the number of ids at which a keeper may begin.
	firstLeases = 1 << 62
	// holdWeight is the weight of the last lease in the mean time that leases are out.
	holdWeight = 0.125
)

// Keeper grants leases of brittle backend servers on a control VM.
type Keeper struct {
	servers map[laburnumlever.BackendID]*server
	// lastLease is the last id of a lease.
	lastLease LeaseID
	// waiting is the number of requests that wait.
	waiting int
}

// server is the state of a brittle server.
type server struct {
	limit Limit
	// learnedAt is when the keeper learned of it, usedAt when a gateway last asked or told of it.
	learnedAt, usedAt time.Time
	// leases are those that are out.
	leases  map[LeaseID]lease
	waiting []*Waiter
	// refused are gateways that were refused and have got no lease since, with the times at which they should ask again.
	refused map[laburnumlever.VMID]time.Time
	// hold is the mean time that leases were out; 0 before the first came back.
	hold time.Duration
	// lowered is by how much the bound is lower until loweredUntil; nothing is granted until pausedUntil.
	lowered                   int
	loweredUntil, pausedUntil time.Time
	// cautiousUntil is until when no lease is granted early.
	cautiousUntil time.Time
}

// lease is a lease that is out.
type lease struct {
	since, end time.Time
	ask        AskID
}

// Waiter is a request that waits for a lease.
type Waiter struct {
	// Granted receives the lease; it is closed without one if the server is no longer brittle.
	Granted chan LeaseID
	request Request
	share   float64
	until   time.Time
}

// NewKeeper returns a keeper that knows no servers.
func NewKeeper() *Keeper {
	return &Keeper{servers: map[laburnumlever.BackendID]*server{}, lastLease: LeaseID(rand.Uint64N(firstLeases))}
}

// Len returns the number of servers that the keeper knows, including those that are no longer brittle.
func (k *Keeper) Len() int { return len(k.servers) }

// Learn records what a gateway tells of a server, and reports whether it is news.
func (k *Keeper) Learn(l Limit, now time.Time) bool {
	s := k.servers[l.Backend]
	if s == nil {
		if len(k.servers) >= maxServers {
			return false
		}
		k.servers[l.Backend] = &server{limit: l, learnedAt: now, usedAt: now, leases: map[LeaseID]lease{}, refused: map[laburnumlever.VMID]time.Time{}}
		return true
	}
	s.usedAt = now
	if l.Incarnation < s.limit.Incarnation || s.limit.same(l) {
		return false
	}
	if l.Incarnation > s.limit.Incarnation {
		clear(s.leases) // it has started again and holds none of those requests
		s.lowered, s.loweredUntil, s.pausedUntil, s.cautiousUntil = 0, time.Time{}, time.Time{}, time.Time{}
	}
	s.limit = l
	if l.Ended {
		for _, w := range s.waiting {
			close(w.Granted)
		}
		k.waiting -= len(s.waiting)
		s.waiting = nil
	}
	return true
}

// Acquire grants a lease, within a share of the slots. If none is free and the request can wait until one is, it returns a
// waiter.
func (k *Keeper) Acquire(q Request, share float64, now time.Time) (Answer, *Waiter) {
	s := k.servers[q.Backend]
	if s == nil {
		return Answer{RetryIn: laburnumlever.Duration(MaxWait), Limit: q.Limit}, nil
	}
	s.usedAt = now
	if s.limit.Ended {
		return Answer{Granted: true, Limit: s.limit}, nil
	}
	s.expire(now)
	if len(s.waiting) == 0 && s.free(share, now) > 0 {
		return Answer{Granted: true, Lease: k.grant(s, q, now), Limit: s.limit}, nil
	}
	wait := min(MaxWait, time.Duration(q.Wait))
	if wait > 0 && len(s.waiting) == 0 && s.freeToWaiting(share, now) > 0 {
		return Answer{Granted: true, Lease: k.grant(s, q, now), Limit: s.limit}, nil
	}
	full := len(s.waiting) >= maxWaiting*s.limit.Slots || k.waiting >= maxAllWaiting
	if in := s.waitTime(share, now); wait <= 0 || in > wait || full {
		return Answer{RetryIn: laburnumlever.Duration(s.retryIn(q, in, now)), Limit: s.limit}, nil
	}
	w := &Waiter{Granted: make(chan LeaseID, 1), request: q, share: share, until: now.Add(wait)}
	s.waiting = append(s.waiting, w)
	k.waiting++
	return Answer{Limit: s.limit}, w
}

// Abandon removes a waiter. A lease that it has got in the meantime is returned.
func (k *Keeper) Abandon(w *Waiter, now time.Time) {
	s := k.servers[w.request.Backend]
	if s == nil {
		return
	}
	k.drop(s, func(o *Waiter) bool { return o == w })
	select {
	case lease := <-w.Granted:
		k.Release(Release{Backend: w.request.Backend, Lease: lease}, now)
	default:
	}
}

// Release returns a lease, or ends a request for one, and grants what is free to those that wait.
func (k *Keeper) Release(r Release, now time.Time) {
	s := k.servers[r.Backend]
	if s == nil {
		return
	}
	if l, ok := s.leases[r.Lease]; ok {
		delete(s.leases, r.Lease)
		s.countHold(now.Sub(l.since))
		if r.Rejected { // once: a return may be sent again
			s.lower(now)
		}
	}
	if r.Lease == 0 && r.Ask != 0 {
		k.withdraw(s, r.Ask)
	}
	k.serve(s, now)
}

// withdraw ends a request whose gateway got no answer, and the lease that it may have got.
func (k *Keeper) withdraw(s *server, ask AskID) {
	maps.DeleteFunc(s.leases, func(_ LeaseID, l lease) bool { return l.ask == ask })
	k.drop(s, func(w *Waiter) bool { return w.request.Ask == ask })
}

// drop removes the waiters that match.
func (k *Keeper) drop(s *server, matches func(*Waiter) bool) {
	before := len(s.waiting)
	s.waiting = slices.DeleteFunc(s.waiting, matches)
	k.waiting -= before - len(s.waiting)
}

// Tick ends leases whose time is over, and grants what is free.
func (k *Keeper) Tick(now time.Time) {
	for _, s := range k.servers {
		s.expire(now)
		maps.DeleteFunc(s.refused, func(_ laburnumlever.VMID, askAt time.Time) bool { return now.After(askAt) })
		k.serve(s, now)
	}
}

// Sweep drops servers that no gateway has asked or told of for a long time, and returns them.
func (k *Keeper) Sweep(now time.Time) []laburnumlever.BackendID {
	var dropped []laburnumlever.BackendID
	for _, id := range slices.Sorted(maps.Keys(k.servers)) {
		if s := k.servers[id]; now.Sub(s.usedAt) > retention && len(s.waiting) == 0 {
			delete(k.servers, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// serve grants free leases to those that wait.
func (k *Keeper) serve(s *server, now time.Time) {
	for len(s.waiting) > 0 {
		w := s.waiting[0]
		if now.Before(w.until) && s.freeToWaiting(w.share, now) <= 0 {
			return
		}
		s.waiting = s.waiting[1:]
		k.waiting--
		if now.Before(w.until) {
			w.Granted <- k.grant(s, w.request, now)
		}
	}
}

func (k *Keeper) grant(s *server, q Request, now time.Time) LeaseID {
	k.lastLease++
	delete(s.refused, q.Gateway)
	s.leases[k.lastLease] = lease{since: now, end: now.Add(Grace + max(0, time.Duration(q.Hold))), ask: q.Ask}
	return k.lastLease
}

// free returns the number of leases that may be granted.
func (s *server) free(share float64, now time.Time) int {
	if now.Before(s.pausedUntil) {
		return 0
	}
	return s.bound(share, now) - len(s.leases)
}

// freeToWaiting returns the number of leases that may be granted to requests that wait: without one more than slots, each slot
// stands idle while the messages of a lease are under way.
func (s *server) freeToWaiting(share float64, now time.Time) int {
	free := s.free(share, now)
	early := s.limit.Slots >= earlySlots && s.limit.Rejections >= 1 && share >= FullShare && now.Sub(s.learnedAt) >= newcomerTime
	if early && !now.Before(s.cautiousUntil) {
		free++
	}
	return free
}

// bound returns the number of leases at once, at least one.
func (s *server) bound(share float64, now time.Time) int {
	if now.Sub(s.learnedAt) < newcomerTime {
		share = min(share, StandInShare)
	}
	slots := s.limit.Slots
	if now.Before(s.loweredUntil) {
		slots -= s.lowered
	}
	return max(1, int(share*float64(slots)))
}

// lower lowers the bound after a rejection.
func (s *server) lower(now time.Time) {
	if !now.Before(s.loweredUntil) {
		s.lowered = 0
	}
	s.lowered = min(s.lowered+1, s.limit.Slots-1)
	s.loweredUntil, s.pausedUntil, s.cautiousUntil = now.Add(lowerTime), now.Add(rejectionPause), now.Add(cautionTime)
}

func (s *server) expire(now time.Time) {
	maps.DeleteFunc(s.leases, func(_ LeaseID, l lease) bool { return !now.Before(l.end) })
}

// countHold counts how long a lease that came back was out.
func (s *server) countHold(d time.Duration) {
	if s.hold == 0 {
		s.hold = d
		return
	}
	s.hold += time.Duration(holdWeight * float64(d-s.hold))
}

// waitTime estimates the time until a further request gets a lease, from the number of those that wait before it and the
// time that leases are out. What came back lately is no measure: after a pause it would read as no room at all.
func (s *server) waitTime(share float64, now time.Time) time.Duration {
	bound := s.bound(share, now)
	if s.hold > 0 {
		return time.Duration(len(s.waiting)+1) * s.hold / time.Duration(bound)
	}
	if len(s.waiting) < bound {
		return 0
	}
	return MaxWait
}

// retryIn returns when a gateway that is refused should ask again, so that all those that are refused ask about as often as
// leases come back.
func (s *server) retryIn(q Request, wait time.Duration, now time.Time) time.Duration {
	if q.Wait > 0 {
		s.refused[q.Gateway] = now
	}
	turn := time.Duration(len(s.refused)) * s.hold / time.Duration(s.bound(FullShare, now))
	in := max(minRetryIn, wait, min(turn, maxRetryIn))
	if q.Wait > 0 {
		s.refused[q.Gateway] = now.Add(in)
	}
	return in
}
