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
	defaultBodyBytes = 4 << 20 // limit of a body if the catalogue sets none

	// Requests that arrive before the first routes are queued: refused ones would all return
	// at once, and late.
	firstRoutesWait      = time.Second
	firstRoutesWaitShare = 0.33 // of the caller's timeout, at most
	maxAwaitingRoutes    = 256
	notReadyRetryAfter   = time.Second // least Retry-After
)

// request is the state of a caller's request.
type request struct {
	caller        laburnumlever.CallerRequest
	route         *laburnumlever.Route
	service       laburnumlever.RoutedService
	method        string
	uri           string
	host          string
	header        http.Header
	body          []byte
	arrived       time.Time
	deadline      time.Time
	routesVersion uint64

	// sends counts the attempts that were sent, tries also those without a connection.
	sends, tries int
	avoid        []laburnumlever.BackendID
	// mayHaveRun tells that a backend server may have run the request.
	mayHaveRun bool
	backend    laburnumlever.BackendID // of the last attempt
	waited     time.Duration           // in the queue
	// reservation is a slot reserved at the engine; empty for none.
	reservation         laburnumlever.ReservationID
	refusedReservations int  // refused reservations
	mostUrgent          bool // no route to its service is more urgent
	lastEventID         string
	// brokenAt is when the last part of a broken answer was written; zero if none broke.
	brokenAt time.Time
	// errorAnswer is an error answer of a backend server.
	errorAnswer *bufferedAnswer
}

// parseRequest parses a request. The error is a *laburnumlever.RefusalError.
func (g *Gateway) parseRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	now := g.timers.Now()
	q := &request{method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, arrived: now}
	index := g.routes(r)
	if index == nil {
		return q, newRefusal(laburnumlever.RefusedNotReady, notReadyRetryAfter, "no routes yet")
	}
	q.routesVersion = index.Table().Version
	route, ok := index.Find(r.Host, pathOf(r.RequestURI))
	if !ok {
		return q, newRefusal(laburnumlever.RefusedUnknownService, 0, "no route for the host and path")
	}
	q.route = route
	caller, err := g.dialect.Request(r.Header)
	if err != nil {
		return q, newRefusal(laburnumlever.RefusedBadRequest, 0, err.Error())
	}
	if caller.ID == "" {
		return q, newRefusal(laburnumlever.RefusedBadRequest, 0, "the request has no id")
	}
	q.caller, q.lastEventID = caller, caller.LastEvent
	if q.service, ok = index.Table().Service(laburnumroutes.Pick(*route, rand.Uint64())); !ok {
		return q, newRefusal(laburnumlever.RefusedUnknownService, 0, "the route's service is not in the table")
	}
	q.mostUrgent = index.MostUrgent(q.service.Name, route.Priority)
	q.setDeadline()
	return q, q.readBody(w, r, index.Table().Callers.BodyBytes)
}

// routes returns the routes in force. It waits for the first ones and returns nil on a timeout.
func (g *Gateway) routes(r *http.Request) *laburnumroutes.Index {
	if index := g.fleet.index.Load(); index != nil {
		return index
	}
	wait := firstRoutesWait
	if caller, err := g.dialect.Request(r.Header); err == nil && caller.Wait > 0 {
		wait = min(wait, time.Duration(firstRoutesWaitShare*float64(caller.Wait)))
	}
	if g.awaitingRoutes.Add(1) <= maxAwaitingRoutes {
		g.fleet.awaitRoutes(r.Context(), wait)
	}
	g.awaitingRoutes.Add(-1)
	return g.fleet.index.Load()
}

// pathOf strips the query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// queueTimes decide how long the request may be queued.
func (q *request) queueTimes() laburnumwaiting.Caller {
	c := laburnumwaiting.Caller{Arrived: q.arrived, Deadline: q.deadline, BrokenAt: q.brokenAt}
	if q.route != nil {
		c.Stream = q.route.Kind == laburnumlever.KindStream
		c.Target, c.PauseTarget = time.Duration(q.route.Target), time.Duration(q.route.PauseTarget)
	}
	return c
}

// setDeadline sets the deadline to the shorter of the caller's and the route's timeout.
func (q *request) setDeadline() {
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
		return newRefusal(laburnumlever.RefusedTooLarge, 0, err.Error())
	case err != nil:
		return newRefusal(laburnumlever.RefusedCallerGone, 0, "the body did not come whole: "+err.Error())
	}
	q.body = body
	return nil
}

func (q *request) query() laburnumbalance.Query {
	return laburnumbalance.Query{
		Service: q.service.Name, Model: q.caller.Model, Adapter: q.caller.Adapter,
		Prompt: q.caller.Prompt, Target: time.Duration(q.route.Target), Avoid: q.avoid,
		Queue: q.queuesAtEngine(),
	}
}

// queuesAtEngine tells whether the request may queue at an engine. Engines serve the most urgent first,
// while a slot that comes free otherwise goes to whichever gateway reserves it first.
func (q *request) queuesAtEngine() bool {
	return q.mostUrgent && q.refusedReservations >= laburnumbalance.UrgentReservations
}

func (q *request) remaining(now time.Time) time.Duration { return q.deadline.Sub(now) }

func newRefusal(reason laburnumlever.RefusalReason, after time.Duration, detail string) error {
	return &laburnumlever.RefusalError{
		Reason: reason, Outcome: laburnumlever.OutcomeNotRun, RetryAfter: after, Detail: detail,
	}
}

// deadlineExceeded tells a deadline from a caller that is gone.
func deadlineExceeded(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
