package laburnumload

import (
	"context"
	"sync"
	"time"

	"laburnumlever/laburnumoperator"
)

// statsPeriod is how often the VMs' move counts are polled. A VM that dies loses at
// most the moves it has made since the last poll.
const statsPeriod = time.Second

// fleetStats aggregates the accelerators and move counts that the VMs' status reports.
// It is safe for use by many goroutines.
type fleetStats struct {
	mu           sync.Mutex
	vms          []vmStats
	accelerators int
}

type vmStats struct {
	address             string
	polled              bool
	initialMoves, moves uint64
}

func newFleetStats(vms []string) *fleetStats {
	s := &fleetStats{vms: make([]vmStats, len(vms))}
	for i, address := range vms {
		s.vms[i].address = address
	}
	return s
}

// poll reads the status of every VM; a VM that does not answer keeps its last counts.
func (s *fleetStats) poll(ctx context.Context) {
	for i := range s.vms {
		status, err := laburnumoperator.NewClient(s.vms[i].address).Status(ctx)
		if err != nil {
			continue
		}
		count := 0
		for _, b := range status.View.Backends {
			count += len(b.Announcement.Accelerators)
		}
		s.record(i, status.Moves, count)
	}
}

func (s *fleetStats) record(i int, moves uint64, accelerators int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm := &s.vms[i]
	if !vm.polled {
		vm.polled = true
		vm.initialMoves = moves
	}
	vm.moves = max(vm.moves, moves)
	s.accelerators = max(s.accelerators, accelerators)
}

// totals returns the fleet's accelerators and the moves since the first poll.
func (s *fleetStats) totals() (accelerators int, moves uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range s.vms {
		moves += vm.moves - vm.initialMoves
	}
	return s.accelerators, moves
}
