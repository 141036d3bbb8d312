package laburnumproxy

import (
	"sync"
	"time"
)

// breakerProbeInterval is the time between two claims tried while the log is unreachable.
// It bounds how long claims are still refused after a network partition heals.
const breakerProbeInterval = time.Second

// logBreaker is a circuit breaker for claims while the log is unreachable. Without it, every
// claimed call in a partitioned zone would hold a connection and a goroutine until its claim
// timed out, only to be refused. One claim a second is let through as a probe.
type logBreaker struct {
	mu        sync.Mutex
	open      bool
	lastProbe time.Time
}

// allow reports whether a claim may be tried now.
func (g *logBreaker) allow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		return true
	}
	if now.Sub(g.lastProbe) < breakerProbeInterval {
		return false
	}
	g.lastProbe = now
	return true
}

// record records whether a claim reached the log.
func (g *logBreaker) record(now time.Time, reached bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !reached && !g.open {
		g.lastProbe = now
	}
	g.open = !reached
}
