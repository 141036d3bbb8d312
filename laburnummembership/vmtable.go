package laburnummembership

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// vmRecord is one other VM.
type vmRecord struct {
	vm laburnumlever.VM
	// deadline is when a suspected VM counts as down.
	deadline time.Time
	// suspectedHere says that this VM itself found it unreachable, and goes on asking it.
	suspectedHere bool
	// changedAt is when its state last changed here.
	changedAt time.Time
	// contactAt is when it last sent a message itself.
	contactAt time.Time
}

// vmTable holds the other VMs.
type vmTable struct {
	records map[laburnumlever.VMID]*vmRecord
	digest  *digest
	// retention is how long a VM that is down is remembered and tried again.
	retention time.Duration
}

func newVMTable(d *digest) *vmTable {
	return &vmTable{records: map[laburnumlever.VMID]*vmRecord{}, digest: d, retention: vmRetention}
}

// supersedesVM tells whether a is newer than b: a higher incarnation, or, at the
// same one, the worse state. Only the VM itself raises its incarnation, so that
// leaving is final until it starts anew and a suspicion holds until it refutes it.
func supersedesVM(a, b laburnumlever.VM) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// merge takes in what was heard of a VM and tells whether it was news.
func (t *vmTable) merge(vm laburnumlever.VM, now time.Time, suspicion time.Duration) bool {
	r, ok := t.records[vm.ID]
	if !ok {
		if vm.State == laburnumlever.VMDown || vm.State == laburnumlever.VMLeft {
			// Late news of a VM forgotten here would bring it back for good, going
			// round among VMs that forget it at different times.
			return false
		}
		t.records[vm.ID] = &vmRecord{vm: vm, changedAt: now, deadline: now.Add(suspicion)}
		t.toggle(vm)
		return true
	}
	if !supersedesVM(vm, r.vm) {
		return false
	}
	t.toggle(r.vm)
	r.vm = vm
	r.changedAt = now
	r.deadline = now.Add(suspicion)
	r.suspectedHere = false
	t.toggle(vm)
	return true
}

// toggle leaves a suspicion out of the digest: it passes within seconds.
func (t *vmTable) toggle(vm laburnumlever.VM) {
	state := vm.State
	if state == laburnumlever.VMSuspect {
		state = laburnumlever.VMAlive
	}
	key := vmKey(vm.ID)
	t.digest.toggle(key, hashFields(key, vm.Incarnation, uint64(state)))
}

func (t *vmTable) forget(now time.Time) bool {
	forgotten := false
	for id, r := range t.records {
		age := now.Sub(r.changedAt)
		gone := r.vm.State == laburnumlever.VMDown && age > t.retention
		left := r.vm.State == laburnumlever.VMLeft && age > leftVMRetention
		if gone || left {
			t.toggle(r.vm)
			delete(t.records, id)
			forgotten = true
		}
	}
	return forgotten
}

// lives tells whether the VM is alive or only suspected.
func (t *vmTable) lives(id laburnumlever.VMID) bool {
	r, ok := t.records[id]
	return ok && isLiving(r.vm.State)
}

func isLiving(s laburnumlever.VMState) bool {
	return s == laburnumlever.VMAlive || s == laburnumlever.VMSuspect
}

// sorted lists the records by id, so that the same seed gives the same run.
func (t *vmTable) sorted(keep func(*vmRecord) bool) []*vmRecord {
	out := make([]*vmRecord, 0, len(t.records))
	for _, r := range t.records {
		if keep(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *vmRecord) int { return strings.Compare(string(a.vm.ID), string(b.vm.ID)) })
	return out
}

func vmKey(id laburnumlever.VMID) string { return "v" + string(id) }
