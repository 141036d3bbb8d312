package laburnumgateway

import (
	"context"
	"net"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumsocket"
)

// earlyCheckPeriod is the interval between looks at connections that the HTTP server does not watch.
const earlyCheckPeriod = 250 * time.Millisecond

// watchCaller returns the context of a request, which ends once its caller is found to have left, and the function that ends the
// watch. The HTTP server ends its own context as well, but on another goroutine, and not once a byte of a next request has come.
func (g *Gateway) watchCaller(ctx context.Context, q *request) (watched context.Context, end func()) {
	ctx, q.leave = context.WithCancelCause(ctx)
	conn, ok := q.conn.(*callerConn)
	if !ok {
		return ctx, func() { q.leave(nil) }
	}
	conn.onEarly(func() {
		stop := g.timers.Every(earlyCheckPeriod, func(time.Time) { _ = g.checkCaller(ctx, q) }) // it ends ctx
		context.AfterFunc(ctx, stop)
	})
	return ctx, func() {
		conn.onEarly(nil)
		q.leave(nil)
	}
}

// checkCaller returns an error if the request's context has ended, which it ends if the caller has left. It is called before anything
// is done for the request outside this VM: a VM that stood still, or is behind, finds a request and its caller's close together. The
// error is a *laburnumlever.RefusalError or a *CallerGoneError.
func (g *Gateway) checkCaller(ctx context.Context, q *request) error {
	if ctx.Err() == nil && q.conn != nil && laburnumsocket.Look(q.conn) == laburnumsocket.Closed {
		q.leave(&CallerGoneError{Cause: net.ErrClosed})
	}
	if ctx.Err() == nil {
		return nil
	}
	return g.refusal(ctx, &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedDeadline, cause: context.Cause(ctx)})
}
