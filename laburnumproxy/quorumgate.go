package laburnumproxy

import (
	"sync"
	"time"
)

// gateProbe is how often one claim is tried while the log is out of reach: a caller
// is refused at once in between, and the first one after the heal waits no longer.
const gateProbe = time.Second

// quorumGate remembers that the log is out of reach. The load pattern it answers: a
// zone is cut off and every booking in it would wait out its claim's time limit, with
// a connection and a goroutine each, only to be refused. One claim a second is let
// through to find out whether the log is back.
type quorumGate struct {
	mu      sync.Mutex
	failing bool
	probed  time.Time
}

// allow tells whether a claim may be tried now.
func (g *quorumGate) allow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.failing {
		return true
	}
	if now.Sub(g.probed) < gateProbe {
		return false
	}
	g.probed = now
	return true
}

// note takes in how a claim ended.
func (g *quorumGate) note(now time.Time, reached bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !reached && !g.failing {
		g.probed = now
	}
	g.failing = !reached
}
