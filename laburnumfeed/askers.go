package laburnumfeed

import (
	"time"

	"laburnumlever"
)

const (
	// gatewayMemory is how long a gateway counts after its last question.
	gatewayMemory = 30 * time.Second
	// controlMemory is the same for a control VM: longer than a restart, so that
	// nobody forgets the address of one that is only down for a moment.
	controlMemory = 20 * time.Second
	// hearTime is after how long without a question another control VM counts as out of
	// reach: each asks at least once in holdTime, and one question may be lost.
	hearTime = 2*holdTime + 500*time.Millisecond
	// recountTime is how old a count of the askers may be: the count looks at each, and
	// done for each question it grows with the square of the gateways.
	recountTime = 200 * time.Millisecond
)

// askers are the VMs that ask a source. Its owner serialises calls.
type askers struct {
	controls map[laburnumlever.VMID]knownControl
	// gatewayAt is when each gateway last asked.
	gatewayAt map[laburnumlever.VMID]time.Time
	counted   int
	countedAt time.Time
}

// knownControl is a control VM that asked, or was named by one that did.
type knownControl struct {
	vm laburnumlever.VM
	// namedAt is when it was last heard of, askedAt when it last asked itself.
	namedAt, askedAt time.Time
}

func newAskers() askers {
	return askers{controls: map[laburnumlever.VMID]knownControl{}, gatewayAt: map[laburnumlever.VMID]time.Time{}}
}

// heardOf notes a control VM and tells whether it is new, or at another address.
func (a *askers) heardOf(vm laburnumlever.VM, now time.Time) bool {
	known, ok := a.controls[vm.ID]
	if ok && known.vm.Incarnation > vm.Incarnation {
		return false
	}
	moved := !ok || known.vm.PeerAddress != vm.PeerAddress
	a.controls[vm.ID] = knownControl{vm: vm, namedAt: now, askedAt: known.askedAt}
	return moved
}

// asked notes that a VM asked.
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

// others are the control VMs heard of lately.
func (a *askers) others(now time.Time) []laburnumlever.VM {
	return a.controlsThat(func(known knownControl) bool { return now.Sub(known.namedAt) < controlMemory })
}

// near are the control VMs that asked lately.
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

// isolated tells whether no majority of the control VMs, this one included, has asked
// lately. A control VM that is cut off from the others still answers, with what it knew
// before: of a backend server that leaves meanwhile it never hears.
func (a *askers) isolated(now time.Time) bool {
	all, near := len(a.others(now))+1, len(a.near(now))+1
	return 2*near <= all
}

// gateways counts the gateways that asked lately.
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

// count is how many VMs ask, those that went a while ago included.
func (a *askers) count() int { return len(a.gatewayAt) + len(a.controls) }
