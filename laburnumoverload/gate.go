package laburnumoverload

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumlever"
)

const (
	// period is the time between two looks.
	period = 100 * time.Millisecond
	// lateTime is the delay that counts as late: longer than a VM with a fifth of a core waits for its next share of it.
	lateTime = 100 * time.Millisecond
	// minConnections is the number of new connections from which the fastest one tells about the link: a packet of one may be lost.
	minConnections = 4
	// lateLooks is the number of late looks in a row from which fewer connections are accepted.
	lateLooks = 2
	// The share of new connections that are accepted falls by the factor decrease with each late look, to minShare, and rises by
	decrease = 0.7
	// increase with each other one, by increaseUnknown while too few connections come to tell.
	increase        = 0.03
	increaseUnknown = 0.01
	minShare        = 0.02
)

// Gate decides which share of the new connections is accepted.
type Gate struct {
	timers   laburnumlever.Timers
	onChange func(overloaded bool, delay time.Duration)

	mu    sync.Mutex
	last  time.Time
	share float64
	// processor and link are the signs of overload.
	processor, link sign
	// opened are the accepted connections that have brought nothing yet.
	opened map[net.Conn]time.Time
	// heard is the number of connections that have brought their first byte since the last look that used them, fastest the shortest
	// time that one took.
	heard   int
	fastest time.Duration
}

// Option changes a new gate.
type Option func(*Gate)

// WithOnChange sets a function that is called when the gate begins to turn connections away, with the delay that it saw, and when it
// accepts all again.
func WithOnChange(fn func(overloaded bool, delay time.Duration)) Option {
	return func(g *Gate) { g.onChange = fn }
}

// NewGate returns a gate that accepts all connections at first.
func NewGate(timers laburnumlever.Timers, opts ...Option) *Gate {
	g := &Gate{
		timers: timers, onChange: func(bool, time.Duration) {}, last: timers.Now(), share: 1, opened: map[net.Conn]time.Time{},
	}
	for _, opt := range opts {
		opt(g)
	}
	g.schedule()
	return g
}

// Admit decides about a new connection.
func (g *Gate) Admit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.share >= 1 || rand.Float64() < g.share
}

// ConnState records when connections bring their first byte. It is a hook of http.Server.
func (g *Gate) ConnState(conn net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state == http.StateNew {
		g.opened[conn] = g.timers.Now()
		return
	}
	at, ok := g.opened[conn]
	if !ok {
		return
	}
	delete(g.opened, conn)
	if state != http.StateActive {
		return
	}
	wait := g.timers.Now().Sub(at)
	if g.heard++; g.heard == 1 || wait < g.fastest {
		g.fastest = wait
	}
}

// schedule has the next look made a period after this one, so that looks that are late don't follow each other at once.
func (g *Gate) schedule() {
	g.timers.After(period, func(time.Time) { g.look() })
}

func (g *Gate) look() {
	g.mu.Lock()
	now := g.timers.Now()
	lag := now.Sub(g.last) - period
	g.last = now
	known := g.heard >= minConnections
	g.processor.add(lag >= lateTime)
	if known {
		g.link.add(g.fastest >= lateTime)
		g.heard = 0
	}
	before := g.share
	g.adjust(known)
	began, ended, delay := before >= 1 && g.share < 1, before < 1 && g.share >= 1, max(lag, g.fastest)
	g.mu.Unlock()
	if began || ended {
		g.onChange(began, delay)
	}
	g.schedule()
}

// adjust changes the share after a look. While few connections come, all of them are accepted before long.
func (g *Gate) adjust(known bool) {
	switch {
	case g.processor.overloaded() || known && g.link.overloaded():
		g.share = max(minShare, g.share*decrease)
	case known:
		g.share = min(1, g.share+increase)
	default:
		g.share = min(1, g.share+increaseUnknown)
	}
}

// sign counts the late looks in a row.
type sign int

func (s *sign) add(late bool) {
	if late {
		*s++
	} else {
		*s = 0
	}
}

func (s *sign) overloaded() bool { return *s >= lateLooks }
