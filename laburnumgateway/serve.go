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
	// Server limits, above those that the catalogue sets for callers.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10

	balancerNoticeTime = 3 * time.Second         // two failed health checks of the balancer
	refuseBeforeEnd    = 2500 * time.Millisecond // requests are refused this long before the end of a drain
	idleCheckInterval  = 50 * time.Millisecond
	idleChecks         = 10 // checks in a row without a request, after which new ones are refused
	closingIdleChecks  = 2  // checks in a row without a request end the drain; answers are flushed by then
)

// drainStage is how far a drain has got.
type drainStage int32

// The stages.
const (
	drainNone drainStage = iota
	// drainNoticing waits for the balancer to notice; all requests are served.
	drainNoticing
	// drainEmptying refuses streams, which could outlast the process.
	drainEmptying
	// drainClosing refuses all requests.
	drainClosing
)

func (g *Gateway) stage() drainStage { return drainStage(g.drain.Load()) }

func (g *Gateway) enter(stage drainStage) { g.drain.Store(int32(stage)) }

// Server serves the gateway on a listener.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(io.Discard, "", 0), // the gateway logs each request's end itself
	}
}

// Ready tells whether the balancer may send callers here.
func (g *Gateway) Ready() bool { return g.stage() == drainNone && g.fleet.Ready() }

// Drain reports the gateway as not ready, serves requests until the balancer has noticed, each
// with "Connection: close", and returns when none is in flight or ctx ends. Once it is idle for a
// while it refuses new ones: one that begins just before the end would be cut off.
//
// Idle connections stay open: a request may be on its way, and its caller could not tell whether
// it was run.
func (g *Gateway) Drain(ctx context.Context) {
	g.enter(drainNoticing)
	if end, ok := ctx.Deadline(); ok {
		g.drainDeadline.Store(&end)
	}
	_ = level.Info(g.logger).Log("event", laburnumlever.EventDraining, "in-flight", g.InFlight())
	laburnumtimer.Wait(ctx.Done(), g.timers, balancerNoticeTime)
	g.enter(drainEmptying)
	g.awaitIdle(ctx, idleChecks)
	g.enter(drainClosing)
	g.awaitIdle(ctx, closingIdleChecks)
	_ = level.Info(g.logger).Log("event", laburnumlever.EventDrained, "in-flight", g.InFlight())
}

// awaitIdle returns when checks in a row found no request in flight, or ctx ends.
func (g *Gateway) awaitIdle(ctx context.Context, checks int) {
	for idle := 0; idle < checks && ctx.Err() == nil; {
		laburnumtimer.Wait(ctx.Done(), g.timers, idleCheckInterval)
		idle++
		if g.InFlight() > 0 {
			idle = 0
		}
	}
}

// mayOutlastDrain tells whether a request could outlast the process. Its answer would be cut off.
func (g *Gateway) mayOutlastDrain(q *request) bool {
	stage := g.stage()
	if stage == drainClosing || stage == drainEmptying && q.route.Kind == laburnumlever.KindStream {
		return true
	}
	end := g.drainDeadline.Load()
	return end != nil && g.timers.Now().Add(refuseBeforeEnd).After(*end)
}

// Sweep closes idle connections and drops tombstones.
func (g *Gateway) Sweep() {
	g.pool.Sweep()
	g.fleet.Sweep()
}
