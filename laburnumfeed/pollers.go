package laburnumfeed

import (
	"time"

	"laburnumlever"
)

const (
	// gatewayRetention is how long a gateway is counted after its last poll.
	gatewayRetention = 30 * time.Second
	// controlRetention is how long a control VM is listed after it was last named: longer than a
	// restart takes.
	controlRetention = 20 * time.Second
	// reachableTime is how long another control VM counts as reachable after its last poll: each
	// polls at least once per longPollTimeout, and one poll may be lost.
	reachableTime = 2*longPollTimeout + 500*time.Millisecond
	// countTTL is the maximum age of cached poller counts and of the answers that carry them.
	// Counting at each poll would be quadratic in the number of gateways.
	countTTL = 200 * time.Millisecond
)

// pollers are the VMs that poll a source. It is not safe for concurrent use.
type pollers struct {
	controls     map[laburnumlever.VMID]knownControl
	gatewaysByID map[laburnumlever.VMID]polledGateway
	gatewayCount int
	// earlierCount is the number of those that don't lease connections to backend servers.
	earlierCount      int
	gatewaysCountedAt time.Time
}

// knownControl is another control VM, known from its own polls or named by another.
type knownControl struct {
	vm laburnumlever.VM
	// namedAt is when it was last named by itself or another, polledAt when it last polled.
	namedAt, polledAt time.Time
}

func newPollers() pollers {
	return pollers{controls: map[laburnumlever.VMID]knownControl{}, gatewaysByID: map[laburnumlever.VMID]polledGateway{}}
}

// noteControl records a control VM and reports whether it is new or its address changed. An earlier
// incarnation than the known one is ignored.
func (p *pollers) noteControl(vm laburnumlever.VM, now time.Time) bool {
	known, ok := p.controls[vm.ID]
	if ok && known.vm.Incarnation > vm.Incarnation {
		return false
	}
	moved := !ok || known.vm.PeerAddress != vm.PeerAddress
	p.controls[vm.ID] = knownControl{vm: vm, namedAt: now, polledAt: known.polledAt}
	return moved
}

// notePoll records a poll by a gateway, with where it helps other VMs, or by a known control VM.
func (p *pollers) notePoll(vm laburnumlever.VM, helper string, now time.Time) {
	if !vm.HasDisk {
		if _, ok := p.gatewaysByID[vm.ID]; !ok {
			p.gatewaysCountedAt = time.Time{}
		}
		p.gatewaysByID[vm.ID] = polledGateway{zone: vm.Zone, helper: helper, polledAt: now, routes: p.gatewaysByID[vm.ID].routes, leases: p.gatewaysByID[vm.ID].leases}
		return
	}
	if known, ok := p.controls[vm.ID]; ok {
		known.polledAt = now
		p.controls[vm.ID] = known
	}
}

// noteRoutes records that a polling gateway has a version of the route table in effect.
func (p *pollers) noteRoutes(id laburnumlever.VMID, version uint64) {
	if g, ok := p.gatewaysByID[id]; ok {
		g.routes = max(g.routes, version)
		p.gatewaysByID[id] = g
	}
}

// noteLeases records whether a polling gateway leases connections to backend servers.
func (p *pollers) noteLeases(id laburnumlever.VMID, leases bool) {
	if g, ok := p.gatewaysByID[id]; ok && g.leases != leases {
		g.leases, p.gatewaysCountedAt = leases, time.Time{}
		p.gatewaysByID[id] = g
	}
}

// withoutRoutes counts the gateways that polled within reachableTime and have not reported a version of the route table, or a newer
// one.
func (p *pollers) withoutRoutes(version uint64, now time.Time) int {
	n := 0
	for _, g := range p.gatewaysByID {
		if g.routes < version && now.Sub(g.polledAt) < reachableTime {
			n++
		}
	}
	return n
}

// others returns the other control VMs named within controlRetention.
func (p *pollers) others(now time.Time) []laburnumlever.VM {
	return p.filterControls(func(known knownControl) bool { return now.Sub(known.namedAt) < controlRetention })
}

// reachable returns the other control VMs that polled within reachableTime.
func (p *pollers) reachable(now time.Time) []laburnumlever.VM {
	return p.filterControls(func(known knownControl) bool { return now.Sub(known.polledAt) < reachableTime })
}

func (p *pollers) filterControls(test func(knownControl) bool) []laburnumlever.VM {
	var out []laburnumlever.VM
	for _, known := range p.controls {
		if test(known) {
			out = append(out, known.vm)
		}
	}
	return out
}

// isolated reports whether fewer than a majority of the control VMs, this one included, have
// polled within reachableTime. A partitioned control VM still answers, with stale endpoint state.
func (p *pollers) isolated(now time.Time) bool {
	all, reachable := len(p.others(now))+1, len(p.reachable(now))+1
	return 2*reachable <= all
}

// gateways counts the gateways that polled within gatewayRetention. The count may be countTTL old.
func (p *pollers) gateways(now time.Time) int {
	if now.Sub(p.gatewaysCountedAt) < countTTL {
		return p.gatewayCount
	}
	for id, g := range p.gatewaysByID {
		if now.Sub(g.polledAt) > gatewayRetention {
			delete(p.gatewaysByID, id)
		}
	}
	p.gatewayCount, p.gatewaysCountedAt = len(p.gatewaysByID), now
	p.earlierCount = 0
	for _, g := range p.gatewaysByID {
		if !g.leases {
			p.earlierCount++
		}
	}
	return p.gatewayCount
}

// count returns the number of known pollers; it includes stopped ones that are not yet dropped.
func (p *pollers) count() int { return len(p.gatewaysByID) + len(p.controls) }
