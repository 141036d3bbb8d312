package laburnumroles

import "sync"

// saves runs the saves to a control VM's data folder beside its other work, and waits for them when the VM stops: its successor may
// use the folder by then. It is safe for concurrent use.
type saves struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// start runs a save on its own goroutine, and reports whether it does: not once the VM stops.
func (s *saves) start(save func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.running.Go(save)
	return true
}

// close waits for the saves that run. Later ones are not started.
func (s *saves) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.running.Wait()
}
