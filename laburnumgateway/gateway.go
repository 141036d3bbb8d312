package laburnumgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumintake"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumreturn"
	"laburnumlever/laburnumtunnel"
	"laburnumlever/laburnumupstream"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// AdapterLoader loads adapters on demand.
type AdapterLoader interface {
	// EnsureLoaded waits until an adapter is loaded and returns the engines that hold it.
	EnsureLoaded(ctx context.Context, adapterRequest laburnumlever.AdapterRequest) ([]laburnumlever.BackendID, error)
}

// RetryBudget limits the retries of all gateways together. For each service and in any Window they
// may retry Ratio times the number of its requests, plus Slack retries.
type RetryBudget struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// Gateway is the http.Handler that serves callers on one VM.
type Gateway struct {
	fleet       *Fleet
	dialect     laburnumlever.Dialect
	timers      laburnumlever.Timers
	pool        *laburnumupstream.Pool
	adapters    AdapterLoader
	retryBudget RetryBudget
	logger      log.Logger
	counters    *counters
	refusals    refusalWindow
	crashes     *crashDetector
	buffers     *bufferBudget
	intake      *laburnumintake.Intake
	backlogs    *backlogs
	links       *links
	// notify tells a helper what a backend server asked of it; refusesServer is called with the address of one that takes no
	// requests of this VM from now on.
	notify         NoticeFunc
	refusesServer  func(address string)
	inFlight       atomic.Int64
	awaitingRoutes atomic.Int64              // requests queued until the first route table arrives
	drain          atomic.Int32              // a drainStage
	drainDeadline  atomic.Pointer[time.Time] // nil if no drain with a deadline has started
	// bodies ends when a drain has no time left for requests whose bodies are still coming.
	bodies    context.Context //nolint:containedctx // it outlives any call
	endBodies context.CancelFunc
	// requests is the parent of all requests' contexts.
	requests    context.Context //nolint:containedctx // as above
	endRequests context.CancelCauseFunc

	mu           sync.Mutex
	retryWindows map[laburnumlever.ServiceName]*laburnumretry.Window
}

// Option changes a new gateway.
type Option func(*Gateway)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(logger log.Logger) Option { return func(g *Gateway) { g.logger = logger } }

// WithScope sets the metrics scope; by default no metrics are recorded.
func WithScope(scope tally.Scope) Option {
	return func(g *Gateway) { g.counters = newCounters(scope) }
}

// WithAdapterLoader loads adapters on demand; by default only loaded ones are used.
func WithAdapterLoader(a AdapterLoader) Option { return func(g *Gateway) { g.adapters = a } }

// WithRetryBudget sets the retry budget; by default retries that would be charged to it are
// not made.
func WithRetryBudget(b RetryBudget) Option { return func(g *Gateway) { g.retryBudget = b } }

// WithIntake sets the intake that the bodies of requests are read through; the default is a new one, of a VM whose memory is not known.
func WithIntake(in *laburnumintake.Intake) Option { return func(g *Gateway) { g.intake = in } }

// WithPool sets the pool of connections to backend servers; the default is a new pool.
func WithPool(pool *laburnumupstream.Pool) Option { return func(g *Gateway) { g.pool = pool } }

// New returns a gateway that routes by the state in fleet.
func New(fleet *Fleet, dialect laburnumlever.Dialect, timers laburnumlever.Timers, opts ...Option) *Gateway {
	g := &Gateway{
		fleet: fleet, dialect: dialect, timers: timers, logger: log.NewNopLogger(),
		counters: newCounters(tally.NoopScope), retryWindows: map[laburnumlever.ServiceName]*laburnumretry.Window{},
		buffers: newBufferBudget(defaultBufferBudget),
		notify:  func(context.Context, string, laburnumtunnel.Notice) error { return nil }, refusesServer: func(string) {},
	}
	g.requests, g.endRequests = context.WithCancelCause(context.Background())
	g.bodies, g.endBodies = context.WithCancel(g.requests)
	for _, opt := range opts {
		opt(g)
	}
	if g.pool == nil {
		g.pool = laburnumupstream.New()
	}
	if g.intake == nil {
		g.intake = laburnumintake.New(timers, laburnumintake.NewLimits(0, 0))
	}
	g.crashes = newCrashDetector(g)
	g.backlogs = newBacklogs(g)
	g.links = newLinks(g)
	return g
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// HeldBytes returns how much of answers is held for callers that read slowly.
func (g *Gateway) HeldBytes() int { return g.backlogs.heldBytes() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.stage() != drainNone {
		w.Header().Set("Connection", "close")
	}
	q := g.newRequest(w, r)
	defer func() { q.body.Release() }()
	if !laburnumintake.Serving(q.conn) {
		panic(http.ErrAbortHandler) // closes the connection
	}
	if conn, ok := q.conn.(*callerConn); ok {
		conn.setServing(true)
		defer conn.setServing(false)
		g.backlogs.serveHeld(conn)
	}
	out := &answer{w: w}
	defer g.endPanicked(q, out)
	if err := g.accept(q, r); err != nil {
		g.answerRefusal(w, q, err)
		return
	}
	g.backlogs.servesRequest(q)
	g.countRequest(q)
	if err := g.fleet.refuseQuarantined(q); err != nil {
		g.answerRefusal(w, q, err)
		return
	}
	ctx, end := g.watchCaller(r.Context(), q)
	defer end()
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if err := g.fleet.quota.refuse(q); err != nil {
		g.answerRefusal(w, q, err)
		return
	}
	g.fleet.countDemand(q)
	if err := g.run(ctx, q, out); err != nil {
		g.fleet.quota.refund(q)
		g.fleet.countRefusedDemand(q)
		g.finishUnanswered(ctx, q, out, err)
		return
	}
	g.fleet.recordAnswered(q)
	g.counters.served.Inc(1)
	g.counters.recordAnswer(q, out)
	g.logServed(q, out)
}

func (g *Gateway) logServed(q *request, out *answer) {
	t := timing{
		target: time.Duration(q.route.Target), pauseTarget: time.Duration(q.route.PauseTarget), waited: q.waited,
		first: out.firstAt.Sub(q.arrived), pause: out.pause, sent: q.sent,
	}
	fields := []any{
		"event", laburnumlever.EventRequestServed, "request-id", q.caller.ID, "route", q.route.Name, "account", q.accountName(),
		"backend", q.backend, "model", q.caller.Model, "adapter", q.caller.Adapter, "sends", q.sent, "taken", q.refusedReservations, "looks", q.looks, "pace", q.pace,
		"via", q.via, "late", t.lateness(), "waited-ms", millis(q.waited), "first-ms", millis(t.first), "pause-ms", millis(out.pause),
		"whole-ms", millis(out.lastAt.Sub(q.arrived)), "events", out.events, "prompt-tokens", q.caller.PromptTokens,
		"routes-version", q.routesVersion, "software", q.software, "resumes", q.caller.Resumes,
	}
	if held := g.backlogs.maxHeld(q); held > 0 {
		fields = append(fields, "held-bytes", held)
	}
	_ = level.Info(g.logger).Log(fields...)
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

func (g *Gateway) retryWindow(service laburnumlever.ServiceName) *laburnumretry.Window {
	w := g.retryWindows[service]
	if w == nil {
		w = laburnumretry.NewWindow(g.retryBudget.Window, g.retryBudget.Ratio, g.retryBudget.Slack)
		g.retryWindows[service] = w
	}
	return w
}

func (g *Gateway) countRequest(q *request) {
	g.counters.requests.Inc(1)
	if g.retryBudget.Window <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryWindow(q.service.Name).CountRequest(g.timers.Now())
}

// chargeRetry charges a retry to the budget and tells whether it was within the budget.
func (g *Gateway) chargeRetry(service laburnumlever.ServiceName) bool {
	if g.retryBudget.Window <= 0 {
		return false
	}
	gateways := g.fleet.Gateways()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryWindow(service).AllowRetry(g.timers.Now(), gateways)
}

// finishUnanswered ends a request without a complete answer: it answers with the backend server's
// error answer if there is one, else with a refusal. It aborts an answer that has started.
func (g *Gateway) finishUnanswered(ctx context.Context, q *request, out *answer, err error) {
	if stopped(ctx) {
		g.finishStopped(q, out, err)
		return
	}
	var gone *CallerGoneError
	if errors.As(err, &gone) || (ctx.Err() != nil && !deadlineExceeded(ctx)) {
		g.countRefusal(laburnumlever.RefusedCallerGone)
		g.counters.countCallerLeft(q)
		g.logRefusal(q, laburnumlever.RefusedCallerGone, 0, err)
		g.endGone(q, out)
		return
	}
	if out.started {
		g.countRefusal(laburnumlever.RefusedBrokenStream)
		g.logRefusal(q, laburnumlever.RefusedBrokenStream, 0, err)
		q.abort()
	}
	if q.errorAnswer != nil {
		g.countRefusal(laburnumlever.RefusedBackendError)
		g.logRefusal(q, laburnumlever.RefusedBackendError, q.errorAnswer.status, err)
		q.errorAnswer.write(out.w)
		return
	}
	g.answerRefusal(out.w, q, err)
}

// endGone ends the answer to a caller that has left. It may have closed its side of the connection only, so that it would take what
// the server writes by itself for a success.
func (g *Gateway) endGone(q *request, out *answer) {
	g.backlogs.dropHeld(q.conn, heldCallerGone)
	if out.started {
		q.abort()
	}
	status := http.StatusServiceUnavailable
	if q.mayHaveRun {
		status = http.StatusBadGateway
	}
	g.writeRefusal(out.w, q, status, laburnumlever.RefusedCallerGone.String()+"\n")
}

// endPanicked, if deferred, answers a request at which the gateway panicked, and logs the panic: the HTTP server would close the
// connection.
func (g *Gateway) endPanicked(q *request, out *answer) {
	value := recover()
	if value == nil {
		return
	}
	if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(value)
	}
	cause := &PanicError{Value: value}
	_ = level.Error(g.logger).Log("event", laburnumlever.EventRequestPanicked, "request-id", q.caller.ID, "cause", cause, "stack", string(debug.Stack()))
	if out.started {
		g.countRefusal(laburnumlever.RefusedInternalError)
		g.logRefusal(q, laburnumlever.RefusedInternalError, 0, cause)
		q.abort()
	}
	q.mayHaveRun = q.mayHaveRun || q.sent > 0
	g.answerRefusal(out.w, q, &laburnumlever.RefusalError{Reason: laburnumlever.RefusedInternalError, Outcome: laburnumlever.OutcomeUnknown, Detail: cause.Error()})
}

// finishStopped ends a request that is in flight when the VM stops.
func (g *Gateway) finishStopped(q *request, out *answer, err error) {
	if out.started {
		g.countRefusal(laburnumlever.RefusedVMStopped)
		g.logRefusal(q, laburnumlever.RefusedVMStopped, 0, &VMStoppedError{})
		q.abort()
	}
	refusal := &laburnumlever.RefusalError{
		Reason: laburnumlever.RefusedVMStopped, Outcome: laburnumlever.OutcomeUnknown, Detail: err.Error(),
	}
	if !q.mayHaveRun {
		refusal.Outcome, refusal.RetryAfter = laburnumlever.OutcomeNotRun, drainRetryAfter
	}
	g.answerRefusal(out.w, q, refusal)
}

// answerRefusal answers with a refusal of the gateway's own.
func (g *Gateway) answerRefusal(w http.ResponseWriter, q *request, err error) {
	var refusal *laburnumlever.RefusalError
	if !errors.As(err, &refusal) {
		refusal = &laburnumlever.RefusalError{Reason: laburnumlever.RefusedBackendError, Outcome: laburnumlever.OutcomeUnknown, Detail: err.Error()}
	}
	status := statusOf(refusal, q)
	g.countRefusal(refusal.Reason)
	q.retryIn = g.retryAfter(q, refusal)
	g.tellReturn(q)
	g.logRefusal(q, refusal.Reason, status, err)
	if q.retryIn > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(q.retryIn.Seconds(), 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := refusal.Reason.String()
	if refusal.Advice != "" {
		text += ": " + refusal.Advice
	}
	g.writeRefusal(w, q, status, text+"\n")
}

// retryAfter returns the Retry-After of a refusal; 0 for none. The end of a quarantine or a rest and the time at which a
// quota has room are told as they are, even beyond the caller's deadline: an earlier retry can't be served.
func (g *Gateway) retryAfter(q *request, refusal *laburnumlever.RefusalError) time.Duration {
	switch refusal.Reason {
	case laburnumlever.RefusedQuarantined, laburnumlever.RefusedPartQuarantined:
		return refusal.RetryAfter
	case laburnumlever.RefusedOverQuota, laburnumlever.RefusedBackendResting:
		return refusal.RetryAfter + time.Duration(exactRetrySpread*rand.Float64()*float64(refusal.RetryAfter))
	case laburnumlever.RefusedUnknownKey:
		return 0
	default:
	}
	if q.expected.Kind != laburnumreturn.Default {
		return q.queueTimes().BoundRetryAfter(q.expected.After(rand.Float64()), g.timers.Now())
	}
	return q.queueTimes().RetryAfter(refusal.RetryAfter, rand.Float64(), g.timers.Now())
}

// statusOf returns the HTTP status of a refusal. 503 guarantees that the request did not run; a
// request that may have run gets 502, or 504 past its deadline.
func statusOf(refusal *laburnumlever.RefusalError, q *request) int {
	switch refusal.Reason {
	case laburnumlever.RefusedBadRequest:
		return http.StatusBadRequest
	case laburnumlever.RefusedUnknownService, laburnumlever.RefusedUnknownModel:
		return http.StatusNotFound
	case laburnumlever.RefusedTooLarge:
		return http.StatusRequestEntityTooLarge
	default:
	}
	switch {
	case !q.mayHaveRun && refusal.Reason == laburnumlever.RefusedUnknownKey:
		return http.StatusUnauthorized
	case !q.mayHaveRun && refusal.Reason == laburnumlever.RefusedOverQuota:
		return http.StatusTooManyRequests
	case !q.mayHaveRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == laburnumlever.RefusedDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func (g *Gateway) countRefusal(reason laburnumlever.RefusalReason) {
	g.counters.refusals[reason].Inc(1)
}

func (g *Gateway) logRefusal(q *request, reason laburnumlever.RefusalReason, status int, err error) {
	g.refusals.add(q.accountName(), reason, g.timers.Now())
	route := laburnumlever.RouteName("")
	if q.route != nil {
		route = q.route.Name
	}
	_ = level.Info(g.logger).Log("event", laburnumlever.EventRequestRefused, "request-id", q.caller.ID, "route", route,
		"account", q.accountName(), "reason", reason, "status", status, "touched", q.mayHaveRun, "sends", q.sent, "sent-ago-ms", q.sentAgo(g.timers.Now()), "tries", q.tries, "not-retried", q.obstacle, "taken", q.refusedReservations, "routes-version", q.routesVersion,
		"model", q.caller.Model, "adapter", q.caller.Adapter, "via", q.via, "avoid", q.avoid, "digest", q.contentDigest, "parts", q.caller.SharedParts(),
		"software", q.software, "resumes", q.caller.Resumes, "retry-in-ms", millis(q.retryIn), "expected", q.expected.Kind, "at-once", q.refusedAtOnce,
		"ms", g.timers.Now().Sub(q.arrived).Milliseconds(), "cause", err)
}
