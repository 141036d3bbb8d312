package laburnumload

import (
	"context"
	"sync"
	"time"

	"laburnumlever/laburnumoperator"
)

// accountPeriod is how often the VMs are asked for their moves: a VM that dies takes
// at most so much of its count with it.
const accountPeriod = time.Second

// account adds up what the VMs say of the fleet. It is safe for use by many
// goroutines.
type account struct {
	mu           sync.Mutex
	vms          []vmAccount
	accelerators int
}

type vmAccount struct {
	address       string
	known         bool
	before, moves uint64
}

func newAccount(vms []string) *account {
	a := &account{vms: make([]vmAccount, len(vms))}
	for i, address := range vms {
		a.vms[i].address = address
	}
	return a
}

// ask asks every VM; one that does not answer keeps what it said last.
func (a *account) ask(ctx context.Context) {
	for i := range a.vms {
		status, err := laburnumoperator.NewClient(a.vms[i].address).Status(ctx)
		if err != nil {
			continue
		}
		count := 0
		for _, b := range status.View.Backends {
			count += len(b.Announcement.Accelerators)
		}
		a.note(i, status.Moves, count)
	}
}

func (a *account) note(i int, moves uint64, accelerators int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	vm := &a.vms[i]
	if !vm.known {
		vm.known = true
		vm.before = moves
	}
	vm.moves = max(vm.moves, moves)
	a.accelerators = max(a.accelerators, accelerators)
}

// totals are the accelerators of the fleet and the moves since the first question.
func (a *account) totals() (accelerators int, moves uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, vm := range a.vms {
		moves += vm.moves - vm.before
	}
	return a.accelerators, moves
}
