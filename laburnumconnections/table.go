package laburnumconnections

import (
	"time"

	"laburnumlever"
)

// RetryTime is the time after which it is worth while to ask for a lease again.
const RetryTime = 200 * time.Millisecond

const (
	// growth is by what part of the connections in use a gateway asks for more, one in so many, minGrowth the least number.
	growth    = 2
	minGrowth = 2
	// spare is the part of the connections in use that a gateway keeps leased beyond them, one in so many.
	spare = 4
	// refusedPause is how long a gateway does not ask for more after it got nothing, lostPause after it got no answer.
	refusedPause = RetryTime
	lostPause    = RetryTime / 2
	// renewTime is the age from which on a lease is renewed.
	renewTime = 2 * time.Second
)

// Table contains what a gateway has leased. Its times are those since the machine started, so that those for which the machine is
// suspended count.
type Table struct {
	gateway     laburnumlever.VMID
	incarnation uint64
	sequence    uint64
	gateways    int
	hold        time.Duration
	servers     map[laburnumlever.BackendID]*leased
}

// leased is what a gateway has leased of one server.
type leased struct {
	server Server
	// granted is the number that the keeper counts, connections that of those which may be used until a time, want that which the
	// gateway wants.
	granted, connections, want int
	until                      time.Duration
	// asking is set while an ask, the last of which had a sequence number, has no answer. No other is made before askAt.
	asking   bool
	sequence uint64
	askAt    time.Duration
	// peak and lastPeak are the largest numbers in use since the last Tick, and in the interval before.
	peak, lastPeak int
}

// NewTable returns an empty table for a start of a gateway.
func NewTable(vm laburnumlever.VM) *Table {
	return &Table{gateway: vm.ID, incarnation: vm.Incarnation, gateways: 1, servers: map[laburnumlever.BackendID]*leased{}}
}

// SetGateways sets the number of gateways that share the limits.
func (t *Table) SetGateways(n int) { t.gateways = n }

// SetHold sets how long a request may run.
func (t *Table) SetHold(hold time.Duration) { t.hold = hold }

// Share returns the number of connections to a server that the gateway may use without a lease.
func (t *Table) Share(s Server) int { return Share(s, t.gateway, t.gateways) }

// Allowed returns the number of connections to a server that the gateway may use.
func (t *Table) Allowed(s Server, now time.Duration) int {
	return t.Share(s) + t.leasedOf(s.Backend, now)
}

func (t *Table) leasedOf(backend laburnumlever.BackendID, now time.Duration) int {
	if l := t.servers[backend]; l != nil && now < l.until {
		return l.connections
	}
	return 0
}

// LeasedOf returns the number of connections that the gateway has leased to the servers of a service.
func (t *Table) LeasedOf(service laburnumlever.ServiceName, now time.Duration) int {
	n := 0
	for backend, l := range t.servers {
		if l.server.Service == service {
			n += t.leasedOf(backend, now)
		}
	}
	return n
}

// Leased returns the number of connections that the gateway has leased, and that of their servers.
func (t *Table) Leased(now time.Duration) (connections, servers int) {
	for backend := range t.servers {
		if n := t.leasedOf(backend, now); n > 0 {
			connections, servers = connections+n, servers+1
		}
	}
	return connections, servers
}

// Use records the number of connections to a server that are in use. If the gateway may use no more than these, it wants to lease some.
// Use reports whether it should ask for them now.
func (t *Table) Use(s Server, inUse int, now time.Duration) bool {
	share := t.Share(s)
	l := t.servers[s.Backend]
	if l == nil {
		if inUse < share || share >= s.Limit {
			return false
		}
		l = &leased{server: s}
		t.servers[s.Backend] = l
	}
	l.server, l.peak = s, max(l.peak, inUse)
	if inUse >= share+t.leasedOf(s.Backend, now) {
		l.want = max(l.want, min(inUse-share+max(minGrowth, inUse/growth), leasable(s.Limit)))
	}
	return !l.asking && now >= l.askAt && (l.want > l.granted || l.want > 0 && now >= l.until)
}

// Due returns the asks that are to be sent now. Each must be answered by Answered or Lost.
func (t *Table) Due(now time.Duration) []Ask {
	var asks []Ask
	for backend, l := range t.servers {
		renews := l.want > 0 && now >= l.until-(LeaseTime-renewTime)
		if l.asking || now < l.askAt || l.want == l.granted && !renews {
			continue
		}
		t.sequence++
		l.asking, l.sequence = true, t.sequence
		asks = append(asks, Ask{
			Server: l.server, Gateway: t.gateway, Incarnation: t.incarnation, Sequence: l.sequence, Held: t.leasedOf(backend, now), Want: l.want, Hold: laburnumlever.Duration(t.hold),
		})
	}
	return asks
}

// Answered records the answer to an ask that was made at a time.
func (t *Table) Answered(a Ask, g Grant, asked, now time.Duration) {
	l := t.servers[a.Backend]
	if l == nil || l.sequence != a.Sequence {
		return
	}
	l.asking = false
	if g.Late {
		return
	}
	if g.Connections < a.Want && g.Connections <= a.Held {
		l.want, l.askAt = g.Connections, now+refusedPause
	}
	l.granted, l.connections, l.until = g.Connections, g.Connections, asked+LeaseTime
	if l.connections == 0 && l.want == 0 {
		delete(t.servers, a.Backend)
	}
}

// Lost records that no control VM answered an ask.
func (t *Table) Lost(a Ask, now time.Duration) {
	if l := t.servers[a.Backend]; l != nil && l.sequence == a.Sequence {
		l.asking, l.askAt = false, now+lostPause
	}
}

// Forget drops a server that is gone.
func (t *Table) Forget(backend laburnumlever.BackendID) { delete(t.servers, backend) }

// Excess is a server of which a gateway returns connections.
type Excess struct {
	Backend laburnumlever.BackendID
	// Allowed is the number of connections that may stay open.
	Allowed int
}

// Tick ends what has not been used for a while, to be called twice a second or so. It returns the servers of which connections have to be
// closed before Due asks for fewer.
func (t *Table) Tick(now time.Duration) []Excess {
	var excess []Excess
	for backend, l := range t.servers {
		share, peak := t.Share(l.server), max(l.peak, l.lastPeak)
		l.lastPeak, l.peak = l.peak, 0
		if now >= l.until && l.connections > 0 {
			delete(t.servers, backend) // requests that it carries may still run: the keeper counts it until they have ended
			excess = append(excess, Excess{Backend: backend, Allowed: share})
			continue
		}
		if l.granted == 0 && !l.asking && (peak == 0 || peak < share) {
			delete(t.servers, backend) // no control VM has answered, and it is needed no more
			continue
		}
		needed := neededLease(peak, share)
		unused := l.connections - needed
		if !l.asking && unused > 0 && (needed == 0 || unused >= max(minGrowth, l.connections/spare)) {
			l.want, l.connections = needed, needed
			excess = append(excess, Excess{Backend: backend, Allowed: share + needed})
		}
	}
	return excess
}

// neededLease returns the number of connections to lease beside a share, for a peak of requests at once.
func neededLease(peak, share int) int {
	if peak <= share {
		return 0
	}
	return peak - share + max(minGrowth, peak/spare)
}

// Keep raises what a gateway keeps of a server again, since so many connections are still open.
func (t *Table) Keep(backend laburnumlever.BackendID, open int, now time.Duration) {
	l := t.servers[backend]
	if l == nil || now >= l.until {
		return
	}
	if kept := open - t.Share(l.server); kept > l.connections {
		l.connections, l.want = kept, kept
	}
}
