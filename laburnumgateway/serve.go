package laburnumgateway

import (
	"context"
	"io"
	stdlog "log"
	"net/http"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log/level"
)

const (
	// headerTimeout and idleTimeout hold until an operator's limits are known;
	// callers stay within theirs, so these only end what is broken.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes is four times what operators allow as a rule.
	maxHeaderBytes = 64 << 10
	// noticeTime is how long the balancer takes to see that this VM is not ready:
	// two questions a second apart, and one on its way.
	noticeTime = 3 * time.Second
	// lastWork is how long before its end a draining gateway takes no request any
	// more: most plain ones are answered in a tenth of it.
	lastWork = 2500 * time.Millisecond
	// quietCheck is how often a draining gateway looks whether it is done.
	quietCheck = 50 * time.Millisecond
	// quietChecks in a row without a request end the wait.
	quietChecks = 10
)

// Server serves the gateway on a listener.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(io.Discard, "", 0), // the gateway logs each request's end itself
	}
}

// Ready tells whether the balancer may send callers here.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.fleet.Ready() }

// Drain ends the service in order: it says that it is not ready, goes on serving
// what still comes while the balancer takes notice, each answer with the word that
// the connection ends, and returns once nothing is under way or ctx ends.
//
// Idle connections are not closed: a request may be on its way on one, and its caller
// could not tell whether it was run.
func (g *Gateway) Drain(ctx context.Context) {
	g.draining.Store(true)
	if end, ok := ctx.Deadline(); ok {
		g.endsAt.Store(&end)
	}
	_ = level.Info(g.logger).Log("event", laburnumlever.EventDraining, "in-flight", g.InFlight())
	laburnumtimer.Wait(ctx.Done(), g.timers, noticeTime)
	g.leaving.Store(true)
	for quiet := 0; quiet < quietChecks && ctx.Err() == nil; quiet++ {
		if g.InFlight() > 0 {
			quiet = 0
		}
		laburnumtimer.Wait(ctx.Done(), g.timers, quietCheck)
	}
	_ = level.Info(g.logger).Log("event", laburnumlever.EventDrained, "in-flight", g.InFlight())
}

// tooLate tells whether a request that comes now may outlast the process: its answer
// would be cut off, and its caller could not tell whether it was run.
func (g *Gateway) tooLate(q *request) bool {
	if g.leaving.Load() && q.route.Kind == laburnumlever.KindStream {
		return true
	}
	end := g.endsAt.Load()
	return end != nil && g.timers.Now().Add(lastWork).After(*end)
}

// Sweep closes connections to backend servers that have been idle for too long, and
// forgets backend servers that are gone for long.
func (g *Gateway) Sweep() {
	g.pool.Sweep()
	g.fleet.Sweep()
}
