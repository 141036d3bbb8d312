package laburnumproxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdispatch"
	"laburnumlever/laburnumintake"
	"laburnumlever/laburnumsocket"

	"github.com/go-kit/log"
	"github.com/kataras/iris/v12"
	"github.com/uber-go/tally/v4"
)

const (
	// sweepPeriod is the interval of sweep.
	sweepPeriod       = 100 * time.Millisecond
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 2 * time.Minute
)

// Proxy serves callers' requests. It is an http.Handler.
type Proxy struct {
	views     laburnumlever.Views
	timers    laburnumlever.Timers
	proposer  laburnumlever.Proposer
	cfg       settings
	logger    log.Logger
	scope     tally.Scope
	counters  *counters
	app       *iris.Application
	pooled    *http.Transport
	unpooled  *http.Transport // a new connection for each request
	traces    *traceRing
	demand    *demand
	active    *activeRequests
	intake    *laburnumintake.Intake
	stop      func()
	closed    chan struct{}
	closeOnce sync.Once
	breaker   logBreaker
	// pendingReleases is a semaphore for the claims that are being released.
	pendingReleases chan struct{}

	lookup             atomic.Pointer[lookup]
	buildMu            sync.Mutex // held while an index is built
	nextRebuild        time.Time  // time of the next regular rebuild; guarded by buildMu
	nextMissingRebuild time.Time
	maxVMsSeen         int // the most ever known; guarded by buildMu

	mu       sync.Mutex // guards dispatch, which is not safe for concurrent use
	dispatch *laburnumdispatch.Dispatcher
}

// New returns a proxy that reads its configuration and backend servers from views and claims
// non-idempotent requests through proposer. Call Close to release its resources.
func New(views laburnumlever.Views, timers laburnumlever.Timers, proposer laburnumlever.Proposer, opts ...Option) *Proxy {
	cfg := newSettings(opts)
	p := &Proxy{
		views: views, timers: timers, proposer: proposer, cfg: cfg,
		logger: cfg.logger, scope: cfg.scope, counters: newCounters(cfg.scope),
		pooled: newTransport(true), unpooled: newTransport(false),
		traces: newTraceRing(), demand: newDemand(timers.Now()), active: newActiveRequests(),
		dispatch: laburnumdispatch.New(views.View().Self.Zone, cfg.seed),
	}
	p.intake = laburnumintake.New(timers, laburnumintake.NewLimits(0, 0))
	p.refresh(timers.Now())
	p.closed, p.pendingReleases = make(chan struct{}), make(chan struct{}, maxPendingReleases)
	p.app = p.routes()
	p.stop = timers.Every(sweepPeriod, p.sweep)
	return p
}

// Server returns an HTTP server for the callers' listener, with limits on headers and idle
// connections.
func (p *Proxy) Server() *http.Server {
	return &http.Server{
		Handler: p, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, ConnContext: laburnumsocket.NewContext,
	}
}

// Close closes the proxy and its idle connections. It aborts requests in flight: call Drain
// first.
func (p *Proxy) Close() error {
	p.stop()
	p.closeOnce.Do(func() { close(p.closed) })
	p.active.abortAll(&stoppedError{})
	p.pooled.CloseIdleConnections()
	p.unpooled.CloseIdleConnections()
	return nil
}

func (p *Proxy) routes() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutAutoFireStatusCode, iris.WithoutPathCorrection)
	app.Post("/v1/chat/completions", irisHandler(p.serveCompletion))
	app.Post("/v1/completions", irisHandler(p.serveCompletion))
	app.Get("/v1/models", irisHandler(p.serveModels))
	app.Any("/services/{rest:path}", irisHandler(p.serveService))
	app.Get("/healthz", irisHandler(p.serveHealth))
	app.Get("/readyz", irisHandler(p.serveReady))
	// Iris's own error pages stay off: it would add one to a backend server's response with
	// an error status and no body.
	app.Any("/{rest:path}", irisHandler(p.serveNotFound))
	if err := app.Build(); err != nil {
		panic(err) // the routes are fixed, so a conflict fails every test
	}
	return app
}

func irisHandler(fn http.HandlerFunc) iris.Handler {
	return func(ctx iris.Context) { fn(ctx.ResponseWriter(), ctx.Request()) }
}

// unwrapWriter returns net/http's writer below iris's: only that one supports deadlines and
// reports a failed flush.
func unwrapWriter(w http.ResponseWriter) http.ResponseWriter {
	if wrapped, ok := w.(interface{ Naive() http.ResponseWriter }); ok {
		return wrapped.Naive()
	}
	return w
}

// ServeHTTP serves one request of a caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.app.ServeHTTP(w, r) }
