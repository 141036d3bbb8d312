package laburnumupstream

import (
	"sync"
	"time"
)

const (
	// lifetimeShare of the idle time after which a backend server had closed a connection is how long its connections are reused.
	lifetimeShare = 0.75
	// lifetimeMemory is how long that holds after the last such connection.
	lifetimeMemory = 30 * time.Second
)

// lifetimes are the idle times that backend servers were seen to allow, by address, where these are shorter than what they announce. It
// is safe for concurrent use.
type lifetimes struct {
	mu   sync.Mutex
	seen map[string]lifetime
}

type lifetime struct {
	idle  time.Duration
	until time.Time
}

// closed records that a backend server had closed a connection that was idle for a time.
func (l *lifetimes) closed(address string, idle time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = map[string]lifetime{}
	}
	allowed := time.Duration(lifetimeShare * float64(idle))
	if s, ok := l.seen[address]; ok && now.Before(s.until) {
		allowed = min(allowed, s.idle)
	}
	l.seen[address] = lifetime{idle: allowed, until: now.Add(lifetimeMemory)}
}

// bound returns for how long a connection may be idle, at most d.
func (l *lifetimes) bound(address string, d time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.seen[address]
	if !ok {
		return d
	}
	if !now.Before(s.until) {
		delete(l.seen, address)
		return d
	}
	return min(d, s.idle)
}
