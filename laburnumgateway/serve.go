package laburnumgateway

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumsocket"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log/level"
)

const (
	// Limits of the HTTP server. They are above the limits that the catalogue sets for callers.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10

	balancerNoticeTime = 3 * time.Second         // two failed health checks of the load balancer
	refuseBeforeEnd    = 2500 * time.Millisecond // new requests are refused this long before a drain's deadline
	idleCheckInterval  = 50 * time.Millisecond
	idleChecks         = 10 // consecutive checks without a request in flight, after which new ones are refused
	closingIdleChecks  = 2  // consecutive checks without a request in flight that end the drain; answers are flushed by then
)

// drainStage is the stage of a graceful shutdown. Stages follow each other in this order.
type drainStage int32

// The stages.
const (
	// drainNone is normal service.
	drainNone drainStage = iota
	// drainNoticing waits until the load balancer has seen the failed health checks; all
	// requests are served.
	drainNoticing
	// drainEmptying refuses streams, which could outlast the process, and waits until the gateway
	// is idle.
	drainEmptying
	// drainClosing refuses all requests and waits for those in flight.
	drainClosing
)

func (g *Gateway) stage() drainStage { return drainStage(g.drain.Load()) }

func (g *Gateway) enter(stage drainStage) { g.drain.Store(int32(stage)) }

// Server returns an HTTP server with the gateway as its handler.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return g.requests }, ConnContext: laburnumsocket.NewContext,
		ErrorLog: stdlog.New(io.Discard, "", 0), // the gateway logs the outcome of each request
	}
}

// Ready tells whether the load balancer may send callers here.
func (g *Gateway) Ready() bool { return g.stage() == drainNone && g.fleet.Ready() && g.links.usable() }

// Start starts the periodic checks of the links to the backend servers, and of leased connections.
func (g *Gateway) Start() {
	g.links.start()
	g.timers.Every(connectionSweepPeriod, func(time.Time) { g.sweepConnections() })
}

// CanHelp reports whether connections to backend servers can be opened for another VM.
func (g *Gateway) CanHelp() bool { return g.stage() == drainNone && !g.links.doubted() }

// CanReach reports whether this VM connects directly to the backend server at an address, which has not asked it for rest.
func (g *Gateway) CanReach(address string) bool {
	return g.fleet.takesRequestsAt(address) && !g.links.hasDetour(address)
}

// HelpFailed records that a backend server accepted no connection for another VM.
func (g *Gateway) HelpFailed(address string) { g.links.failedAt(address) }

// Drain shuts the gateway down gracefully. It reports not ready, serves requests with "Connection:
// close" until the load balancer has noticed, and returns when no request is in flight or ctx ends.
// After a while without requests it refuses new ones, because the process could end before their
// answers are complete.
//
// Idle connections stay open: a request may already be in transit on one, and its caller could not
// tell whether it ran.
func (g *Gateway) Drain(ctx context.Context) {
	g.enter(drainNoticing)
	if end, ok := ctx.Deadline(); ok {
		g.drainDeadline.Store(&end)
		defer g.timers.After(end.Add(-refuseBeforeEnd).Sub(g.timers.Now()), func(time.Time) { g.endBodies() })()
	}
	_ = level.Info(g.logger).Log("event", laburnumlever.EventDraining, "in-flight", g.InFlight())
	laburnumtimer.Wait(ctx.Done(), g.timers, balancerNoticeTime)
	g.enter(drainEmptying)
	g.awaitIdle(ctx, idleChecks)
	g.enter(drainClosing)
	g.awaitIdle(ctx, closingIdleChecks)
	_ = level.Info(g.logger).Log("event", laburnumlever.EventDrained, "in-flight", g.InFlight())
}

// Stop ends the requests that are in flight after Drain: those whose answers have begun are cut off, the others refused.
// Callers that have not taken their answers are reset, as the end of the process would not do.
func (g *Gateway) Stop() {
	g.endRequests(&VMStoppedError{})
	g.backlogs.endAll(heldStopped)
}

// awaitIdle returns after the given number of consecutive checks without a request in flight or a part of an answer held, or
// when ctx ends.
func (g *Gateway) awaitIdle(ctx context.Context, checks int) {
	for idle := 0; idle < checks && ctx.Err() == nil; {
		laburnumtimer.Wait(ctx.Done(), g.timers, idleCheckInterval)
		idle++
		if g.InFlight() > 0 || g.HeldBytes() > 0 {
			idle = 0
		}
	}
}

func (g *Gateway) drainRefusal() error {
	return newRefusal(laburnumlever.RefusedDraining, drainRetryAfter, "the gateway is draining and may stop before the answer is complete")
}

// mayOutlastDrain tells whether the process could end before the request is answered, which would
// truncate the answer.
func (g *Gateway) mayOutlastDrain(q *request) bool {
	stage := g.stage()
	if stage == drainClosing || stage == drainEmptying && q.route.Kind == laburnumlever.KindStream {
		return true
	}
	end := g.drainDeadline.Load()
	return end != nil && g.timers.Now().Add(refuseBeforeEnd).After(*end)
}

// Sweep closes idle connections past their timeout and drops old tombstones.
func (g *Gateway) Sweep() {
	g.pool.Sweep()
	g.fleet.Sweep()
}
