package laburnumproxy

import (
	"sync"
	"time"
)

// breakerProbeInterval is how often one claim is tried while the log is out of reach: a caller
// is refused at once in between, and the first one after the heal waits no longer.
const breakerProbeInterval = time.Second

// logBreaker remembers that the log is out of reach. The load pattern it answers: a
// zone is cut off and every booking in it would wait out its claim's time limit, with
// a connection and a goroutine each, only to be refused. One claim a second is let
// through to find out whether the log is back.
type logBreaker struct {
	mu        sync.Mutex
	open      bool
	lastProbe time.Time
}

// allow tells whether a claim may be tried now.
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

// record takes in how a claim ended.
func (g *logBreaker) record(now time.Time, reached bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !reached && !g.open {
		g.lastProbe = now
	}
	g.open = !reached
}
