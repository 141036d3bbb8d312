package laburnumlimit

import (
	"maps"
	"math"
	"slices"
	"time"

	"laburnumlever"
)

// retention is how long a limit is kept that no gateway has asked or told of.
const retention = 10 * time.Minute

const (
	// maxIdleSlots is the number of slots that are still granted after a time without requests.
	maxIdleSlots = 1
	// contentionTime is how long a gateway counts as competing for slots after it asked for one.
	contentionTime = 5 * time.Second
	// overusedWaitShare is the share of the wait for a gateway that got more than its part of the slots.
	overusedWaitShare = 0.5
	// overusedFactor times its part is what a gateway may get before it counts as one that got more.
	overusedFactor = 1.1
	// usageHalfLife is the time in which the slots that a gateway got count half.
	usageHalfLife = 5 * time.Second
	// Gateways that get no slot ask again so late that a keeper gets serverAsks such requests in a second
	// for one server, and allAsks in all, but after maxRetryIn at the latest.
	serverAsks = 100
	allAsks    = 5000
	maxRetryIn = 30 * time.Second
	// askedTime is how long a gateway is known to ask for slots; it exceeds maxRetryIn.
	askedTime  = 40 * time.Second
	dropPeriod = time.Second

	// maxLimits is the number of servers whose limits are kept.
	maxLimits = 4096
)

// Keeper grants the slots of backend servers on a control VM.
type Keeper struct {
	servers map[laburnumlever.BackendID]*server
	// asking is the number of gateways that ask for slots, added up over the servers.
	asking int
}

// server is the state of a limited backend server.
type server struct {
	limit Limit
	// seenAt is when a gateway saw the limit, usedAt when one last told or asked of it.
	seenAt, usedAt time.Time
	// next is the time of the next slot.
	next time.Time
	// usage is what gateways got that competed for slots recently.
	usage map[laburnumlever.VMID]usage
	// droppedAt is when those that no longer ask were last dropped.
	droppedAt time.Time
}

// usage is the number of slots that a gateway got, decayed as of the time.
type usage struct {
	slots float64
	at    time.Time
	// asked is when the gateway last asked.
	asked time.Time
}

// NewKeeper returns a keeper that knows no limits.
func NewKeeper() *Keeper { return &Keeper{servers: map[laburnumlever.BackendID]*server{}} }

// Len returns the number of servers whose limits are kept, including those that have ended.
func (k *Keeper) Len() int { return len(k.servers) }

// Report records a change of a limit and reports whether it is news. A report that is older than the
// one before is ignored, as reports overtake each other.
func (k *Keeper) Report(r Report, now time.Time) bool {
	seen := now.Add(-max(0, time.Duration(r.Age)))
	s := k.servers[r.Backend]
	switch {
	case s == nil:
		return k.learn(r.Limit, seen, now)
	case r.Incarnation < s.limit.Incarnation, r.Incarnation == s.limit.Incarnation && seen.Before(s.seenAt):
		return false
	}
	s.seenAt, s.usedAt = seen, now
	if s.limit.same(r.Limit) {
		return false
	}
	if r.Incarnation > s.limit.Incarnation {
		s.next = now // its window begins anew
	}
	s.limit = r.Limit
	if latest := now.Add(s.limit.interval(FullShare)); s.next.After(latest) {
		s.next = latest // a higher limit counts at once
	}
	return true
}

// learn records the limit of a server that is not known.
func (k *Keeper) learn(l Limit, seen, now time.Time) bool {
	if len(k.servers) >= maxLimits {
		return false
	}
	k.servers[l.Backend] = &server{limit: l, seenAt: seen, usedAt: now, next: now, usage: map[laburnumlever.VMID]usage{}}
	return true
}

// Limit returns what is known of a server.
func (k *Keeper) Limit(backend laburnumlever.BackendID) (Limit, bool) {
	if s := k.servers[backend]; s != nil {
		return s.limit, true
	}
	return Limit{}, false
}

// Reserve grants a slot within the request's wait, if there is one at a share of the limit. None is
// granted for a server that no Report has told of.
func (k *Keeper) Reserve(q SlotRequest, share float64, now time.Time) SlotAnswer {
	s := k.servers[q.Backend]
	if s == nil {
		return SlotAnswer{In: laburnumlever.Duration(maxRetryIn), Limit: q.Limit}
	}
	s.usedAt = now
	if s.limit.Ended {
		return SlotAnswer{Granted: true, Limit: s.limit}
	}
	k.noteAsked(s, q.Gateway, now)
	return k.reserve(s, q, share, now)
}

// noteAsked records that a gateway asks for a server's slot.
func (k *Keeper) noteAsked(s *server, gateway laburnumlever.VMID, now time.Time) {
	k.asking -= len(s.usage)
	u := s.usage[gateway]
	u.asked = now
	s.usage[gateway] = u
	if now.Sub(s.droppedAt) > dropPeriod {
		s.dropIdle(now)
	}
	k.asking += len(s.usage)
}

func (k *Keeper) reserve(s *server, q SlotRequest, share float64, now time.Time) SlotAnswer {
	interval := s.limit.interval(share)
	if earliest := now.Add(-idleSlots(share) * interval); s.next.Before(earliest) {
		s.next = earliest
	}
	wait := min(MaxWait, max(0, time.Duration(q.Wait)))
	in := max(0, s.next.Sub(now))
	if overusedWait := time.Duration(overusedWaitShare * float64(wait)); in > overusedWait && s.overused(q.Gateway, now) {
		wait = overusedWait
	}
	if in > wait {
		return SlotAnswer{In: laburnumlever.Duration(k.retryIn(s, in-wait)), Limit: s.limit}
	}
	s.next = s.next.Add(interval)
	u := s.usage[q.Gateway]
	s.usage[q.Gateway] = usage{slots: u.decayed(now) + 1, at: now, asked: now}
	return SlotAnswer{Granted: true, In: laburnumlever.Duration(in), Limit: s.limit}
}

// idleSlots returns maxIdleSlots for a server's keeper. Other control VMs grant none, as the keeper may do
// so too.
func idleSlots(share float64) time.Duration {
	if share < FullShare {
		return 0
	}
	return maxIdleSlots
}

// retryIn returns the time until a gateway without a slot should ask again: not before one may be
// free, and the later the more gateways compete.
func (k *Keeper) retryIn(s *server, free time.Duration) time.Duration {
	forServer := time.Duration(len(s.usage)) * time.Second / serverAsks
	forAll := time.Duration(k.asking) * time.Second / allAsks
	return min(maxRetryIn, max(free, forServer, forAll))
}

// overused reports whether a gateway got more than its part of the slots that competing gateways got.
func (s *server) overused(gateway laburnumlever.VMID, now time.Time) bool {
	own := s.usage[gateway].decayed(now)
	total, competing := 0.0, 0
	for _, u := range s.usage {
		if now.Sub(u.asked) <= contentionTime {
			total += u.decayed(now)
			competing++
		}
	}
	return own*float64(competing) > overusedFactor*total
}

// dropIdle drops gateways that no longer ask.
func (s *server) dropIdle(now time.Time) {
	s.droppedAt = now
	maps.DeleteFunc(s.usage, func(_ laburnumlever.VMID, u usage) bool { return now.Sub(u.asked) > askedTime })
}

// decayed returns the slots that still count.
func (u usage) decayed(now time.Time) float64 {
	if u.slots == 0 {
		return 0
	}
	return u.slots * math.Exp2(-now.Sub(u.at).Seconds()/usageHalfLife.Seconds())
}

// Sweep drops limits that no gateway has asked or told of for a long time, and returns their servers. It
// also drops what gateways got that no longer compete.
func (k *Keeper) Sweep(now time.Time) []laburnumlever.BackendID {
	var dropped []laburnumlever.BackendID
	k.asking = 0
	for _, id := range slices.Sorted(maps.Keys(k.servers)) {
		k.servers[id].dropIdle(now)
		k.asking += len(k.servers[id].usage)
		if now.Sub(k.servers[id].usedAt) > retention {
			delete(k.servers, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}
