package laburnumfeed

import (
	"math/rand/v2"
	"slices"
	"time"

	"laburnumlever"
)

// polledGateway is a gateway, as of its last poll.
type polledGateway struct {
	zone laburnumlever.ZoneName
	// helper is where it opens connections to backend servers for other VMs; empty while it can't.
	helper   string
	polledAt time.Time
	// routes is the version of the last large route table that it had in effect; 0 for none.
	routes uint64
	// leases is set if it leases connections to backend servers.
	leases bool
}

// Helpers returns the addresses of up to n gateways that open connections to backend servers for a VM in an availability
// zone, and of up to m elsewhere, which are asked if those can't reach a server either. The first are in the same zone if at
// least half of its gateways can help, else anywhere, so that the few that can don't carry the whole zone.
func (s *Source) Helpers(of laburnumlever.VM, n, m int) (near, elsewhere []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	near, elsewhere = s.pollers.helpers(of, s.timers.Now())
	return sample(near, n), sample(elsewhere, m)
}

// sample returns up to n of the addresses in random order.
func sample(addresses []string, n int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// helpers returns the addresses of the gateways that can help a VM: those in its zone and those elsewhere, or all in one if
// most of its zone can't.
func (p *pollers) helpers(of laburnumlever.VM, now time.Time) (near, elsewhere []string) {
	inZone := 0
	for id, g := range p.gatewaysByID {
		if id == of.ID || now.Sub(g.polledAt) >= reachableTime {
			continue
		}
		if g.zone == of.Zone {
			inZone++
		}
		switch {
		case g.helper == "":
		case g.zone == of.Zone:
			near = append(near, g.helper)
		default:
			elsewhere = append(elsewhere, g.helper)
		}
	}
	if 2*len(near) < inZone+1 {
		return slices.Concat(near, elsewhere), nil
	}
	return near, elsewhere
}
