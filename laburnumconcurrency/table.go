package laburnumconcurrency

import (
	"time"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
)

// sharedPart is the part of the slots that gateways use on average, one each, where there are fewer slots than gateways: how
// many gateways the hash picks varies.
const sharedPart = 4

// askAgainPart is the part of the time until a lease is free after which a gateway asks again.
const askAgainPart = 4

// aloneTime is how long no control VM answers until a gateway uses its share.
const aloneTime = time.Second

// serviceMemory is how long after the last brittle server of a service was lost a server that starts counts as brittle: all
// of them may fall over together, and are back after some seconds.
const serviceMemory = 30 * time.Second

// Observation is what an answer of a backend server tells.
type Observation struct {
	Limit
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Table contains the brittle servers that a gateway knows.
type Table struct {
	vm      laburnumlever.VMID
	servers map[laburnumlever.BackendID]*known
	// services are those of which a server has said that it is brittle, and none since that it is not.
	services map[laburnumlever.ServiceName]brittleService
	// lostSince is when the first call for a lease since the last answered one was lost; zero if none was.
	lostSince time.Time
}

// brittleService is what the last brittle server of a service said.
type brittleService struct {
	rejections float64
	seen       time.Time
}

// known is a brittle server.
type known struct {
	limit Limit
	since time.Time
	// presumed is set if the server has not said so itself.
	presumed bool
	// askAt is when it is worth while to ask for a lease again.
	askAt time.Time
	// calls are this gateway's calls for a lease that are not answered.
	calls calls
	// shared is the number of requests that run without a lease, as no control VM answered.
	shared int
}

// NewTable returns an empty table for the gateway on a VM.
func NewTable(vm laburnumlever.VMID) *Table {
	return &Table{vm: vm, servers: map[laburnumlever.BackendID]*known{}, services: map[laburnumlever.ServiceName]brittleService{}}
}

// Len returns the number of brittle servers.
func (t *Table) Len() int { return len(t.servers) }

// Limit returns the bound of an incarnation of a server, if it is brittle.
func (t *Table) Limit(backend laburnumlever.BackendID, incarnation uint64) (Limit, bool) {
	if k := t.servers[backend]; k != nil && k.limit.Incarnation == incarnation {
		return k.limit, true
	}
	return Limit{}, false
}

// Observe records what an answer tells, and reports whether it is news. That a server is no longer brittle counts only if
// the request was sent after the gateway learned that it is, as answers overtake each other.
func (t *Table) Observe(o Observation, now time.Time) bool {
	k := t.servers[o.Backend]
	if o.Ended {
		if k == nil || k.limit.Incarnation != o.Incarnation || !o.SentAt.After(k.since) {
			return false
		}
		delete(t.servers, o.Backend)
		delete(t.services, k.limit.Service)
		return true
	}
	return t.set(o.Limit, false, now)
}

// Apply records what a control VM tells, and reports whether it is news.
func (t *Table) Apply(l Limit, now time.Time) bool {
	k := t.servers[l.Backend]
	if l.Ended {
		if k == nil || k.limit.Incarnation > l.Incarnation {
			return false
		}
		delete(t.servers, l.Backend)
		delete(t.services, k.limit.Service)
		return true
	}
	return t.set(l, false, now)
}

// Presume records a server that has just started as brittle if others of its service are, or were lately, and reports
// whether it did.
func (t *Table) Presume(l Limit, now time.Time) bool {
	if k := t.servers[l.Backend]; k != nil && k.limit.Incarnation >= l.Incarnation {
		return false
	}
	s, ok := t.services[l.Service]
	if !ok || !t.anyBrittle(l.Service) && now.Sub(s.seen) >= serviceMemory {
		return false
	}
	l.Rejections = s.rejections
	return t.set(l, true, now)
}

// anyBrittle reports whether a server of the service has said that it is brittle.
func (t *Table) anyBrittle(service laburnumlever.ServiceName) bool {
	for _, k := range t.servers {
		if k.limit.Service == service && !k.presumed {
			return true
		}
	}
	return false
}

func (t *Table) set(l Limit, presumed bool, now time.Time) bool {
	k := t.servers[l.Backend]
	if k != nil && l.Incarnation < k.limit.Incarnation {
		return false
	}
	if !presumed {
		t.services[l.Service] = brittleService{rejections: l.Rejections, seen: now}
	}
	if k == nil || k.limit.Incarnation != l.Incarnation {
		t.servers[l.Backend] = &known{limit: l, since: now, presumed: presumed, calls: calls{window: maxWindow(l)}}
		return true
	}
	news := !k.limit.same(l)
	k.limit, k.presumed = l, k.presumed && presumed
	if news {
		k.since = now
	}
	return news
}

// Forget drops a server that is gone.
func (t *Table) Forget(backend laburnumlever.BackendID, now time.Time) {
	k := t.servers[backend]
	if k == nil {
		return
	}
	delete(t.servers, backend)
	if s, ok := t.services[k.limit.Service]; ok && !k.presumed {
		s.seen = now
		t.services[k.limit.Service] = s
	}
}

// Presumes reports whether a server that starts may count as brittle.
func (t *Table) Presumes() bool { return len(t.services) > 0 }

// Refused records that no lease of a server is to be had, and the time until one is. The gateway asks again earlier, so that the
// server's queue does not run empty meanwhile.
func (t *Table) Refused(backend laburnumlever.BackendID, retryIn time.Duration, now time.Time) {
	if k := t.servers[backend]; k != nil {
		k.refused(retryIn, now)
	}
}

func (k *known) refused(retryIn time.Duration, now time.Time) {
	k.askAt = now.Add(retryIn / askAgainPart)
}

// RetryIn returns how long it is not worth while to ask for a lease; 0 if it is.
func (t *Table) RetryIn(backend laburnumlever.BackendID, now time.Time) time.Duration {
	if k := t.servers[backend]; k != nil {
		return max(0, k.askAt.Sub(now))
	}
	return 0
}

// Alone reports whether no control VM has answered for so long that their leases are no longer in use: a short pause of
// theirs is none of the servers.
func (t *Table) Alone(now time.Time) bool {
	return !t.lostSince.IsZero() && now.Sub(t.lostSince) >= aloneTime
}

// Share reports whether a request may run without a control VM, within this gateway's share of the slots.
func (t *Table) Share(backend laburnumlever.BackendID, gateways int) bool {
	k := t.servers[backend]
	if k == nil {
		return true
	}
	gateways = max(1, gateways)
	share := k.limit.Slots / gateways
	if share == 0 {
		hash := xxhash.Sum64String(string(backend) + "/" + string(t.vm))
		if hash%uint64(gateways) < uint64(max(1, k.limit.Slots/sharedPart)) { //nolint:gosec // positive
			share = 1
		}
	}
	if k.shared >= share {
		return false
	}
	k.shared++
	return true
}

// EndShared ends a request that ran by Share.
func (t *Table) EndShared(backend laburnumlever.BackendID) {
	if k := t.servers[backend]; k != nil && k.shared > 0 {
		k.shared--
	}
}
