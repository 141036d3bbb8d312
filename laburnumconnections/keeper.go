package laburnumconnections

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// maxServers is the number of servers whose leases are kept.
	maxServers = 4096
	// maxHold bounds how long a lease is counted after its end.
	maxHold = 10 * time.Minute
	// expirePeriod is the time between two looks for leases that have ended.
	expirePeriod = 100 * time.Millisecond
	// retention is how long a server without leases is kept.
	retention = time.Minute
)

// Keeper leases connections to backend servers on a control VM.
type Keeper struct {
	servers map[laburnumlever.BackendID]*server
}

// server is the state of a backend server.
type server struct {
	Server
	// usedAt is when a gateway last asked for it.
	usedAt time.Time
	leases map[laburnumlever.VMID]lease
	// leased is the sum of the leases, expiredAt when those that had ended were last dropped.
	leased    int
	expiredAt time.Time
}

// lease is what a gateway has leased, counted until a time.
type lease struct {
	incarnation, sequence uint64
	connections           int
	until                 time.Time
}

// Fleet is what a control VM knows of the gateways.
type Fleet struct {
	// Gateways is their number, Earlier that of those of earlier builds.
	Gateways, Earlier int
}

// NewKeeper returns a keeper that knows no leases.
func NewKeeper() *Keeper { return &Keeper{servers: map[laburnumlever.BackendID]*server{}} }

// Lease leases connections to a gateway, renews its lease, or takes connections back.
func (k *Keeper) Lease(a Ask, fleet Fleet, now time.Time) Grant {
	if a.Limit <= 0 {
		return Grant{}
	}
	s := k.server(a.Server, now)
	if s == nil {
		return Grant{}
	}
	s.expire(now)
	last := s.leases[a.Gateway]
	if a.Incarnation < last.incarnation || a.Incarnation == last.incarnation && a.Sequence <= last.sequence {
		return Grant{Late: true}
	}
	if a.Incarnation > last.incarnation {
		last.connections = 0 // they ended with the process
	}
	most := leasable(a.Limit)
	held, want := min(max(last.connections, a.Held), most), min(max(0, a.Want), most)
	if want > held {
		want = held + min(want-held, s.free(s.leases[a.Gateway].connections, held, fleet))
	}
	hold := min(maxHold, max(0, time.Duration(a.Hold))) + Grace
	s.leased += want - s.leases[a.Gateway].connections
	s.leases[a.Gateway] = lease{incarnation: a.Incarnation, sequence: a.Sequence, connections: want, until: now.Add(LeaseTime + hold)}
	return Grant{Connections: want}
}

// server returns the state of a server; nil if too many are known.
func (k *Keeper) server(of Server, now time.Time) *server {
	s := k.servers[of.Backend]
	if s == nil {
		if len(k.servers) >= maxServers {
			return nil
		}
		s = &server{leases: map[laburnumlever.VMID]lease{}}
		k.servers[of.Backend] = s
	}
	s.Server, s.usedAt = of, now
	return s
}

// free returns the number of connections that a gateway which is counted with some, and holds some, may lease beyond those: half of what is
// left, at least one.
func (s *server) free(counted, held int, fleet Fleet) int {
	return max(0, (s.bound(fleet)-(s.leased-counted)-held+1)/2)
}

// bound returns the number of connections that may be leased at once.
func (s *server) bound(fleet Fleet) int {
	return max(1, leasable(s.Limit)/keeperPart) - fleet.Earlier*earlierExcess(s.Limit, fleet.Gateways)
}

// expire drops the leases that have ended, now and then.
func (s *server) expire(now time.Time) {
	if now.Sub(s.expiredAt) < expirePeriod {
		return
	}
	s.expiredAt = now
	maps.DeleteFunc(s.leases, func(_ laburnumlever.VMID, l lease) bool {
		ended := !now.Before(l.until)
		if ended {
			s.leased -= l.connections
		}
		return ended
	})
}

// Sweep drops leases that have ended, and servers that no gateway has asked for in a long time.
func (k *Keeper) Sweep(now time.Time) {
	maps.DeleteFunc(k.servers, func(_ laburnumlever.BackendID, s *server) bool {
		s.expire(now)
		return len(s.leases) == 0 && now.Sub(s.usedAt) > retention
	})
}

// Leased returns what the gateways have leased, those with the most connections first.
func (k *Keeper) Leased(now time.Time) []laburnumlever.ConnectionLeases {
	byGateway := map[laburnumlever.VMID]laburnumlever.ConnectionLeases{}
	for _, s := range k.servers {
		s.expire(now)
		for gateway, l := range s.leases {
			if l.connections == 0 {
				continue
			}
			sum := byGateway[gateway]
			sum.Gateway, sum.Servers, sum.Connections = gateway, sum.Servers+1, sum.Connections+l.connections
			byGateway[gateway] = sum
		}
	}
	return slices.SortedFunc(maps.Values(byGateway), func(a, b laburnumlever.ConnectionLeases) int {
		return cmp.Or(cmp.Compare(b.Connections, a.Connections), cmp.Compare(a.Gateway, b.Gateway))
	})
}
