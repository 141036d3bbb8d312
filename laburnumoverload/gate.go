package laburnumoverload

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"
)

const (
	// period is the time between two looks.
	period = 50 * time.Millisecond
	// lateTime is the delay that counts as late: longer than a VM with a fifth of a core waits for its next share of it.
	lateTime = 100 * time.Millisecond
	// minConnections is the number of new connections from which the fastest one tells about the link: a packet of one may be lost.
	minConnections = 4
	// lateLooks is the number of late looks in a row from which fewer connections are accepted; one is enough behind manyAccepted of
	// them, which are what made it late.
	lateLooks    = 2
	manyAccepted = 16
	// minDecrease and maxDecrease bound the factor by which the share of new connections that are accepted falls with each late look:
	// the later the look, the smaller it is.
	minDecrease, maxDecrease = 0.3, 0.7
	// minShare is the least share.
	minShare = 0.02
	// increase is what the share rises by with each other look, up to ceilingFactor times the share at which the overload began,
	// increaseAbove that from there on, increaseUnknown that while too few connections come to tell.
	increase        = 0.02
	increaseAbove   = 0.004
	increaseUnknown = 0.005
	ceilingFactor   = 0.8
)

// Gate decides which share of the new connections is accepted.
type Gate struct {
	timers   laburnumlever.Timers
	onChange func(overloaded bool, delay time.Duration)
	// run runs a look. One that runs ahead of goroutines that wait for a processor doesn't notice how long they do.
	run func(look func())

	mu    sync.Mutex
	last  time.Time
	share float64
	// ceiling is the share up to which it rises fast; cutting is set while it falls.
	ceiling float64
	cutting bool
	// processor and link are the signs of overload.
	processor, link sign
	// accepted is the number of connections that were accepted since the last look.
	accepted int
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

// WithRun sets how looks are run; the default is laburnumtimer.RunLast.
func WithRun(run func(look func())) Option { return func(g *Gate) { g.run = run } }

// NewGate returns a gate that accepts all connections at first.
func NewGate(timers laburnumlever.Timers, opts ...Option) *Gate {
	g := &Gate{
		timers: timers, onChange: func(bool, time.Duration) {}, run: laburnumtimer.RunLast, last: timers.Now(), share: 1, ceiling: 1, opened: map[net.Conn]time.Time{},
	}
	for _, opt := range opts {
		opt(g)
	}
	g.schedule()
	return g
}

// Admit decides about a new connection. A look that is late itself is made here: an overloaded gateway accepts many connections until
// the timer's turn comes.
func (g *Gate) Admit() bool {
	g.mu.Lock()
	changed := func() {}
	if now := g.timers.Now(); now.Sub(g.last) >= period+lateTime {
		changed = g.observe(now)
	}
	admitted := g.share >= 1 || rand.Float64() < g.share
	if admitted {
		g.accepted++
	}
	g.mu.Unlock()
	changed()
	return admitted
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
	g.timers.After(period, func(time.Time) { g.run(g.look) })
}

func (g *Gate) look() {
	g.mu.Lock()
	changed := func() {}
	if now := g.timers.Now(); now.Sub(g.last) >= period {
		changed = g.observe(now)
	}
	g.mu.Unlock()
	changed()
	g.schedule()
}

// observe makes a look. It returns what tells of a change, to be called without mu. The caller holds mu.
func (g *Gate) observe(now time.Time) (changed func()) {
	lag := now.Sub(g.last) - period
	g.last = now
	known := g.heard >= minConnections
	g.processor.add(lag >= lateTime)
	if lag >= lateTime && g.accepted >= manyAccepted {
		g.processor.add(true)
	}
	g.accepted = 0
	before, delay := g.share, lag
	if known {
		g.link.add(g.fastest >= lateTime)
		g.heard = 0
		delay = max(lag, g.fastest)
	}
	g.adjust(known, delay)
	if began, ended := before >= 1 && g.share < 1, before < 1 && g.share >= 1; began || ended {
		return func() { g.onChange(began, delay) }
	}
	return func() {}
}

// adjust changes the share after a look. While few connections come, all of them are accepted before long.
func (g *Gate) adjust(known bool, delay time.Duration) {
	switch {
	case g.processor.overloaded() || known && g.link.overloaded():
		if !g.cutting {
			g.ceiling, g.cutting = ceilingFactor*g.share, true
		}
		g.share = max(minShare, g.share*min(maxDecrease, max(minDecrease, float64(lateTime)/float64(delay))))
		return
	case !known:
		g.share = min(1, g.share+increaseUnknown)
	case g.share < g.ceiling:
		g.share = min(1, g.share+increase)
	default:
		g.share = min(1, g.share+increaseAbove)
	}
	g.cutting = false
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
