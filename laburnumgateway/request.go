package laburnumgateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumroutes"
	"laburnumlever/laburnumwaiting"

	"github.com/cockroachdb/errors"
)

const (
	// defaultBodyBytes bounds a body while the routes do not.
	defaultBodyBytes = 4 << 20
	// startWait is how long requests wait at a gateway that has no routes yet. After a
	// loss of power on all VMs the control VMs are up half a second after the gateways,
	// as a rule: those who were turned away with a time to come back came back one or two
	// seconds later, all together and all late.
	startWait = time.Second
	// startShare of the caller's time is the most that it waits for them.
	startShare = 0.33
	// maxStarting bounds the requests that wait for the first routes.
	maxStarting = 256
	// startRetry is when it is worth asking such a gateway again afterwards.
	startRetry = time.Second
)

// request is one caller's request and how far it has come.
type request struct {
	caller   laburnumlever.CallerRequest
	route    *laburnumlever.Route
	service  laburnumlever.RoutedService
	method   string
	uri      string
	host     string
	header   http.Header
	body     []byte
	arrived  time.Time
	deadline time.Time
	version  uint64

	// sends counts the backend servers that the request went to, tries also
	// those to which no connection could be made.
	sends, tries int
	avoid        []laburnumlever.BackendID
	// touched tells that a backend server may have run the request.
	touched bool
	// backend is the one that the last attempt went to, waited the time spent for a
	// place.
	backend laburnumlever.BackendID
	waited  time.Duration
	// reservation is the place that its engine keeps for it; empty for none.
	reservation laburnumlever.ReservationID
	// taken counts the engines that had no place when they were asked first.
	taken int
	// urgent tells that no route to its service is more urgent.
	urgent bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// brokeAt is when the caller got the last part of an answer that broke off; zero while
	// none has.
	brokeAt time.Time
	// failed is a backend server's whole answer that says that it failed.
	failed *storedAnswer
}

// read takes a request in. The error is a *laburnumlever.RefusalError.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request) (*request, error) {
	now := g.timers.Now()
	q := &request{method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, arrived: now}
	index := g.routes(r)
	if index == nil {
		return q, refuse(laburnumlever.RefusedNotReady, startRetry, "no routes yet")
	}
	q.version = index.Table().Version
	route, ok := index.Find(r.Host, pathOf(r.RequestURI))
	if !ok {
		return q, refuse(laburnumlever.RefusedUnknownService, 0, "no route for the host and path")
	}
	q.route = route
	caller, err := g.dialect.Request(r.Header)
	if err != nil {
		return q, refuse(laburnumlever.RefusedBadRequest, 0, err.Error())
	}
	if caller.ID == "" {
		return q, refuse(laburnumlever.RefusedBadRequest, 0, "the request has no id")
	}
	q.caller, q.lastEvent = caller, caller.LastEvent
	if q.service, ok = index.Table().Service(laburnumroutes.Pick(*route, rand.Uint64())); !ok {
		return q, refuse(laburnumlever.RefusedUnknownService, 0, "the route's service is not in the table")
	}
	q.urgent = index.MostUrgent(q.service.Name, route.Priority)
	q.bound()
	return q, q.readBody(w, r, index.Table().Callers.BodyBytes)
}

// routes returns the routes in force. A gateway that has none yet waits for them, for a
// share of the caller's time at most; nil where none came.
func (g *Gateway) routes(r *http.Request) *laburnumroutes.Index {
	if index := g.fleet.index.Load(); index != nil {
		return index
	}
	wait := startWait
	if caller, err := g.dialect.Request(r.Header); err == nil && caller.Wait > 0 {
		wait = min(wait, time.Duration(startShare*float64(caller.Wait)))
	}
	if g.starting.Add(1) <= maxStarting {
		g.fleet.awaitRoutes(r.Context(), wait)
	}
	g.starting.Add(-1)
	return g.fleet.index.Load()
}

// pathOf is the path of a request target without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// times are what decides how long the request may wait.
func (q *request) times() laburnumwaiting.Caller {
	c := laburnumwaiting.Caller{Arrived: q.arrived, Deadline: q.deadline, BrokenAt: q.brokeAt}
	if q.route != nil {
		c.Stream = q.route.Kind == laburnumlever.KindStream
		c.Target, c.PauseTarget = time.Duration(q.route.Target), time.Duration(q.route.PauseTarget)
	}
	return c
}

// bound sets the deadline from the caller's patience and the route's timeout.
func (q *request) bound() {
	limit := time.Duration(q.route.Timeout)
	if q.caller.Wait > 0 && q.caller.Wait < limit {
		limit = q.caller.Wait
	}
	q.deadline = q.arrived.Add(limit)
}

func (q *request) readBody(w http.ResponseWriter, r *http.Request, limit int) error {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(laburnumlever.RefusedTooLarge, 0, err.Error())
	case err != nil:
		return refuse(laburnumlever.RefusedCallerGone, 0, "the body did not come whole: "+err.Error())
	}
	q.body = body
	return nil
}

func (q *request) query() laburnumbalance.Query {
	return laburnumbalance.Query{
		Service: q.service.Name, Model: q.caller.Model, Adapter: q.caller.Adapter,
		Prompt: q.caller.Prompt, Target: time.Duration(q.route.Target), Avoid: q.avoid,
		Queue: q.queues(),
	}
}

// queues tells whether the request goes to an engine's own queue: engines serve the most
// urgent first there, while a place that comes free otherwise goes to whichever gateway asks
// first, whatever it asks for.
func (q *request) queues() bool { return q.urgent && q.taken >= asksOfUrgent }

func (q *request) left(now time.Time) time.Duration { return q.deadline.Sub(now) }

func refuse(reason laburnumlever.RefusalReason, after time.Duration, detail string) error {
	return &laburnumlever.RefusalError{
		Reason: reason, Outcome: laburnumlever.OutcomeNotRun, RetryAfter: after, Detail: detail,
	}
}

// expired tells whether a context ended by its deadline, not by the caller.
func expired(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
