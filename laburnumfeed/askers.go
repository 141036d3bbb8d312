package laburnumfeed

import (
	"time"

	"laburnumlever"
)

const (
	// gatewayMemory is how long a gateway counts after its last poll.
	gatewayMemory = 30 * time.Second
	// controlMemory is the same for a control VM: longer than a restart.
	controlMemory = 20 * time.Second
	// hearTime is how long another control VM counts as reachable after its last poll: each
	// polls at least once in holdTime, and one poll may be lost.
	hearTime = 2*holdTime + 500*time.Millisecond
	// recountTime bounds the age of a count of the pollers. A count for each poll would be
	// quadratic in the gateways.
	recountTime = 200 * time.Millisecond
)

// askers are the VMs that poll a source. It is not safe for concurrent use.
type askers struct {
	controls  map[laburnumlever.VMID]knownControl
	gatewayAt map[laburnumlever.VMID]time.Time
	counted   int
	countedAt time.Time
}

// knownControl is a control VM that polled, or was named by one that did.
type knownControl struct {
	vm laburnumlever.VM
	// namedAt is when it was last named, askedAt when it last polled itself.
	namedAt, askedAt time.Time
}

func newAskers() askers {
	return askers{controls: map[laburnumlever.VMID]knownControl{}, gatewayAt: map[laburnumlever.VMID]time.Time{}}
}

// heardOf records a control VM and reports whether it is new or has another address.
func (a *askers) heardOf(vm laburnumlever.VM, now time.Time) bool {
	known, ok := a.controls[vm.ID]
	if ok && known.vm.Incarnation > vm.Incarnation {
		return false
	}
	moved := !ok || known.vm.PeerAddress != vm.PeerAddress
	a.controls[vm.ID] = knownControl{vm: vm, namedAt: now, askedAt: known.askedAt}
	return moved
}

// asked records a poll.
func (a *askers) asked(vm laburnumlever.VM, now time.Time) {
	if !vm.HasDisk {
		if _, ok := a.gatewayAt[vm.ID]; !ok {
			a.countedAt = time.Time{}
		}
		a.gatewayAt[vm.ID] = now
		return
	}
	if known, ok := a.controls[vm.ID]; ok {
		known.askedAt = now
		a.controls[vm.ID] = known
	}
}

// others returns the control VMs named within controlMemory.
func (a *askers) others(now time.Time) []laburnumlever.VM {
	return a.controlsThat(func(known knownControl) bool { return now.Sub(known.namedAt) < controlMemory })
}

// near returns the control VMs that polled within hearTime.
func (a *askers) near(now time.Time) []laburnumlever.VM {
	return a.controlsThat(func(known knownControl) bool { return now.Sub(known.askedAt) < hearTime })
}

func (a *askers) controlsThat(test func(knownControl) bool) []laburnumlever.VM {
	var out []laburnumlever.VM
	for _, known := range a.controls {
		if test(known) {
			out = append(out, known.vm)
		}
	}
	return out
}

// isolated reports whether fewer than a majority of the control VMs, this one included, have
// polled lately. A control VM that is cut off still answers, with outdated endpoint state.
func (a *askers) isolated(now time.Time) bool {
	all, near := len(a.others(now))+1, len(a.near(now))+1
	return 2*near <= all
}

// gateways counts the gateways that polled within gatewayMemory.
func (a *askers) gateways(now time.Time) int {
	if now.Sub(a.countedAt) < recountTime {
		return a.counted
	}
	for id, at := range a.gatewayAt {
		if now.Sub(at) > gatewayMemory {
			delete(a.gatewayAt, id)
		}
	}
	a.counted, a.countedAt = len(a.gatewayAt), now
	return a.counted
}

// count is how many VMs poll, with those that stopped up to their memory ago.
func (a *askers) count() int { return len(a.gatewayAt) + len(a.controls) }
