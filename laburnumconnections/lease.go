package laburnumconnections

import (
	"time"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
)

const (
	// LeaseTime is how long a gateway may begin to use a lease after it asked for it.
	LeaseTime = 5 * time.Second
	// Grace is how long idle connections may stay open after a lease has ended.
	Grace = 2 * time.Second
	// sharedPart is the part of a limit that is divided evenly, one in so many.
	sharedPart = 2
	// pickedPart is the part of a limit for gateways that have one connection each, on average, where there are more gateways than
	// connections: how many the hash picks varies.
	pickedPart = 4
	// keeperPart is the part of what may be leased that one control VM leases, one in so many: the rest is for the one that takes
	// its place, and does not know what it has leased.
	keeperPart = 2
)

// Server is a backend server with a limit of connections.
type Server struct {
	Backend laburnumlever.BackendID   `json:"backend"`
	Service laburnumlever.ServiceName `json:"service"`
	Zone    laburnumlever.ZoneName    `json:"zone"`
	// Limit is the number of connections that it accepts from all VMs.
	Limit int `json:"limit"`
}

// Ask asks for a lease.
type Ask struct {
	Server
	Gateway laburnumlever.VMID `json:"gateway"`
	// Incarnation is the gateway's start, Sequence numbers its asks from there.
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Held is the number of leased connections that the gateway may use now, Want the number that it wants. Fewer than it holds return
	// the others.
	Held int `json:"held,omitempty"`
	Want int `json:"want,omitempty"`
	// Hold is how long a request may run that begins at the end of the lease.
	Hold laburnumlever.Duration `json:"hold"`
}

// Grant answers an Ask.
type Grant struct {
	// Connections is the number of connections that the gateway may use beyond its share, for LeaseTime from when it asked.
	Connections int `json:"connections"`
	// Late is set if a later ask has been answered before.
	Late bool `json:"late,omitempty"`
	// Keeper is, in the answer of a control VM that leases nothing since the server's keeper answers it, the keeper's peer address.
	Keeper string `json:"keeper,omitempty"`
}

// Share returns the number of connections to a server that a gateway may use without a lease. A gateway that is alone has all.
func Share(s Server, gateway laburnumlever.VMID, gateways int) int {
	if gateways <= 1 {
		return s.Limit
	}
	if share := s.Limit / sharedPart / gateways; share > 0 {
		return share
	}
	if xxhash.Sum64String(string(s.Backend)+"/"+string(gateway))%uint64(gateways) < uint64(max(0, s.Limit/pickedPart)) { //nolint:gosec // positive
		return 1
	}
	return 0
}

// leasable returns the number of connections to a server that keepers lease.
func leasable(limit int) int { return limit - limit/sharedPart }

// earlierExcess returns how many connections a gateway of an earlier build uses beyond a share: it takes an even part of the whole limit.
func earlierExcess(limit, gateways int) int {
	gateways = max(1, gateways)
	return max(1, limit/gateways) - limit/sharedPart/gateways
}
