package laburnummembership

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// vmRecord is what this VM knows about another VM.
type vmRecord struct {
	vm laburnumlever.VM
	// deadline is when a suspected VM is marked as down.
	deadline time.Time
	// suspectedHere is set if this VM itself found it unreachable, and keeps probing it.
	suspectedHere bool
	// changedAt is when its record last changed here.
	changedAt time.Time
	// contactAt is when it last sent a message to this VM.
	contactAt time.Time
}

// vmTable holds the other VMs.
type vmTable struct {
	records map[laburnumlever.VMID]*vmRecord
	digest  *digest
	// retention is how long a VM that is down is remembered and contacted again.
	retention time.Duration
}

func newVMTable(d *digest) *vmTable {
	return &vmTable{records: map[laburnumlever.VMID]*vmRecord{}, digest: d, retention: vmRetention}
}

// supersedesVM tells whether a is newer than b: a higher incarnation or, at the same one, a
// worse state. Only the VM itself raises its incarnation, so leaving is final until it
// restarts, and a suspicion holds until it refutes it.
func supersedesVM(a, b laburnumlever.VM) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// merge merges a VM's record received from another VM and tells whether it was newer than the
// known one.
func (t *vmTable) merge(vm laburnumlever.VM, now time.Time, suspicion time.Duration) bool {
	r, ok := t.records[vm.ID]
	if !ok {
		if vm.State == laburnumlever.VMDown || vm.State == laburnumlever.VMLeft {
			// A late update about a forgotten VM would keep its record for ever: VMs forget it
			// at different times and would pass it to each other again.
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

// toggle adds a VM's record to the digest or removes it. Suspicion is left out, as it lasts
// only seconds.
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

// sorted returns the records that keep accepts, sorted by id so that runs with the same seed
// are reproducible.
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
