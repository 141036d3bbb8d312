package laburnumgateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumintake"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumquota"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumreturn"
	"laburnumlever/laburnumroutes"
	"laburnumlever/laburnumslotqueue"
	"laburnumlever/laburnumsocket"

	"github.com/cockroachdb/errors"
)

const (
	defaultBodyBytes = 4 << 20 // limit of a request body if the catalogue sets none

	// Requests that arrive before the first route table are queued. If they were refused, all
	// callers would retry at the same time, and too late for their deadlines.
	firstRoutesWait      = time.Second
	firstRoutesWaitShare = 0.33 // at most this share of the caller's timeout
	maxAwaitingRoutes    = 256
	notReadyRetryAfter   = time.Second // minimum Retry-After
)

// request is a caller's request and the state of its attempts.
type request struct {
	caller   laburnumlever.CallerRequest
	route    *laburnumlever.Route
	service  laburnumlever.RoutedService
	method   string
	uri      string
	host     string
	header   http.Header
	body     *laburnumintake.Body
	incoming *incomingBody // nil once the body has been read
	// conn is the caller's connection, nil if it is not known. leave ends the request's context.
	conn net.Conn
	// closeDelimited is set if an answer without a length ends with its connection, as in HTTP/1.0.
	closeDelimited bool
	leave          context.CancelCauseFunc
	arrived        time.Time
	deadline       time.Time
	routesVersion  uint64

	// sent counts the attempts that were sent, the last one at sentAt; tries also counts those that were not.
	sent, tries int
	sentAt      time.Time
	avoid       []laburnumlever.BackendID
	// mayHaveRun is set once a backend server may have run the request.
	mayHaveRun bool
	backend    laburnumlever.BackendID // of the last attempt
	// software is the software version that began the request's stream, the only one at which it may go on; empty while
	// it has not begun.
	software laburnumlever.SoftwareVersion
	via      string        // the VM that the last attempt's connection went through; empty for none
	waited   time.Duration // in the queue
	// reservation is a slot reserved at the engine; empty for none.
	reservation laburnumlever.ReservationID
	// checksKeys is set if there are client accounts. account is that of the caller, nil for none, and
	// accountIndex the routes in which it was last found.
	checksKeys   bool
	account      *laburnumlever.Account
	accountIndex *laburnumroutes.Index
	// charged is set once the request has been charged to its account's quota, with the receipt.
	charged bool
	receipt laburnumquota.Receipt
	// arrivalCounted is set once the queue has counted the request for its account.
	arrivalCounted bool
	// freePass is set if no headroom applies, slotCounted once it is counted whether the request got a slot in time.
	freePass, slotCounted bool
	// foundFull is set once all servers that could serve the request were full.
	foundFull bool
	// lackedConnection is set if one of them had free slots when the request last began to wait, but this gateway no connection to it
	// left.
	lackedConnection bool
	// byUrgency is set if backend servers are told the rank.
	byUrgency bool
	// asked is when the caller first asked, if it was told to return then; else zero.
	asked time.Time
	// expected is what is expected for the caller when it is refused, retryIn the delay that it is told.
	expected laburnumreturn.Expectation
	retryIn  time.Duration
	// drainCounted is set while the request waits for a slot, drained from then until it is sent. refusedAtOnce is set if it did not
	// wait, since it would have waited in vain, loadAwaited if it has waited for the end of a load.
	drainCounted, drained, refusedAtOnce, loadAwaited bool
	// rank is the priority by account and route.
	rank                int
	refusedReservations int
	// looks counts the backend servers that were asked for their load, pace is that of the one that answered; 0 for none.
	looks int
	pace  float64
	// permit allows the attempt to use a limited backend server. slotRequested is set once a slot there
	// was requested for the attempt, probes if it was requested although another server is free.
	permit        laburnumbalance.Permit
	slotRequested bool
	probes        bool
	// lease is the place on a brittle backend server that the request holds; nil for none.
	lease *lease
	// trial is the trial that the request holds; nil for none.
	trial      *requestTrial
	mostUrgent bool // no route to the same service has a more urgent priority
	// events are those of the answer if it is a stream.
	events eventSequence
	// brokenAt is when the last part of an answer that broke off was written; zero if none did.
	brokenAt time.Time
	// contentDigest is zero until digest is first called.
	contentDigest laburnumlever.RequestDigest
	// parts are the shared parts of the prompt and partDigests their digests, nil until they are first asked for.
	parts       []laburnumquarantine.Part
	partDigests []laburnumlever.RequestDigest
	// begunAt is when the last backend server began to answer; zero if it has not. sound is set once its answer shows that the
	// request does not crash servers.
	begunAt time.Time
	sound   bool
	// obstacle is why the request was not sent again after its last attempt.
	obstacle laburnumretry.Obstacle
	// errorAnswer is the last error answer of a backend server; nil for none.
	errorAnswer *bufferedAnswer
}

// accept parses a request and reads its body, unless the process may end before the answer is complete. The error is a
// *laburnumlever.RefusalError.
func (g *Gateway) accept(q *request, r *http.Request) error {
	if err := g.parseRequest(q, r); err != nil {
		return err
	}
	if g.mayOutlastDrain(q) {
		return g.drainRefusal()
	}
	if q.incoming == nil {
		return nil
	}
	if err := g.readBody(q, r); err != nil {
		return err
	}
	if g.mayOutlastDrain(q) {
		return g.drainRefusal()
	}
	return nil
}

func (g *Gateway) newRequest(w http.ResponseWriter, r *http.Request) *request {
	conn := laburnumsocket.FromContext(r.Context())
	return &request{
		method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, incoming: newIncomingBody(w, r), conn: conn,
		closeDelimited: !r.ProtoAtLeast(1, 1), arrived: g.timers.Now().Add(-laburnumsocket.SinceReceived(conn)),
	}
}

// abort ends the caller's connection in the middle of an answer, so that the caller detects that it is truncated. An orderly close would
// be the end of one that is delimited by it.
func (q *request) abort() {
	if q.closeDelimited {
		resetCaller(q.conn)
	}
	panic(http.ErrAbortHandler)
}

// parseRequest parses a request without its body. The error is a *laburnumlever.RefusalError.
func (g *Gateway) parseRequest(q *request, r *http.Request) error {
	caller, err := g.dialect.Request(r.Header)
	q.caller = caller
	index := g.routes(r, caller.Timeout)
	if index == nil {
		return newRefusal(laburnumlever.RefusedNotReady, notReadyRetryAfter, "no route table received yet")
	}
	index = g.fleet.currentIndex(r.Context(), index, caller)
	if limit := index.Table().Callers.BodyBytes; limit > 0 && q.incoming != nil {
		q.incoming.limit = int64(limit)
	}
	q.routesVersion = index.Table().Version
	route, ok := index.Find(r.Host, pathOf(r.RequestURI))
	if !ok {
		return newRefusal(laburnumlever.RefusedUnknownService, 0, "no route matches the host and path")
	}
	q.route = route
	if err != nil {
		return newRefusal(laburnumlever.RefusedBadRequest, 0, err.Error())
	}
	if caller.ID == "" {
		return newRefusal(laburnumlever.RefusedBadRequest, 0, "the request id header is missing")
	}
	if q.events, err = newEventSequence(g.dialect, *route, caller.LastEvent); err != nil {
		return newRefusal(laburnumlever.RefusedBadRequest, 0, err.Error())
	}
	if err := g.fleet.identify(q, index); err != nil {
		return err
	}
	if q.service, ok = index.Table().Service(laburnumroutes.Pick(*route, rand.Uint64())); !ok {
		return newRefusal(laburnumlever.RefusedUnknownService, 0, "the route's service is missing from the route table")
	}
	q.rank = index.Rank(route, q.account)
	q.mostUrgent = index.MostUrgent(q.service.Name, q.rank)
	q.setDeadline()
	return nil
}

// routes returns the route table in effect. If there is none yet it waits for the first one, and
// returns nil on a timeout.
func (g *Gateway) routes(r *http.Request, timeout time.Duration) *laburnumroutes.Index {
	if index := g.fleet.index.Load(); index != nil {
		return index
	}
	wait := firstRoutesWait
	if timeout > 0 {
		wait = min(wait, time.Duration(firstRoutesWaitShare*float64(timeout)))
	}
	if g.awaitingRoutes.Add(1) <= maxAwaitingRoutes {
		g.fleet.awaitRoutes(r.Context(), wait)
	}
	g.awaitingRoutes.Add(-1)
	return g.fleet.index.Load()
}

// digest returns the digest by which the caller's repeats of the request are recognised.
func (q *request) digest() laburnumlever.RequestDigest {
	if q.contentDigest.IsZero() {
		q.contentDigest = laburnumlever.NewRequestDigest(q.method, q.host, q.uri, q.body.Chunks()...)
	}
	return q.contentDigest
}

// sharedParts returns the shared parts of the prompt, each once.
func (q *request) sharedParts() []laburnumquarantine.Part {
	if q.parts != nil || q.route == nil {
		return q.parts
	}
	for _, id := range q.caller.SharedParts() {
		if part := (laburnumquarantine.Part{Service: q.service.Name, ID: id}); !slices.Contains(q.parts, part) {
			q.parts = append(q.parts, part)
		}
	}
	return q.parts
}

// digestsOfParts returns the digests that stand for all requests with one of the shared parts.
func (q *request) digestsOfParts() []laburnumlever.RequestDigest {
	if q.partDigests == nil {
		for _, part := range q.sharedParts() {
			q.partDigests = append(q.partDigests, part.Digest())
		}
	}
	return q.partDigests
}

// pathOf returns a request target without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// accountName returns the name of the request's client account; empty for none.
func (q *request) accountName() laburnumlever.AccountName {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}

// queueTimes returns the times that decide how long the request may be queued.
func (q *request) queueTimes() laburnumslotqueue.Caller {
	c := laburnumslotqueue.Caller{Arrived: q.arrived, Deadline: q.deadline, BrokenAt: q.brokenAt}
	if q.route != nil {
		c.Stream = q.route.Kind == laburnumlever.KindStream
		c.Target, c.PauseTarget = time.Duration(q.route.Target), time.Duration(q.route.PauseTarget)
	}
	return c
}

// setDeadline derives the deadline from the shorter of the caller's and the route's timeout.
func (q *request) setDeadline() {
	limit := time.Duration(q.route.Timeout)
	if q.caller.Timeout > 0 && q.caller.Timeout < limit {
		limit = q.caller.Timeout
	}
	q.deadline = q.arrived.Add(limit)
}

func (q *request) query() laburnumbalance.Query {
	return laburnumbalance.Query{
		Service: q.service.Name, Model: q.caller.Model, Adapter: q.caller.Adapter,
		Prompt: q.caller.Prompt, Target: time.Duration(q.route.Target), Avoid: q.avoid,
		Queue: q.queuesAtEngine(), Permit: q.permit, Software: q.software,
	}
}

// queuesAtEngine tells whether the request may queue at an engine instead of reserving a slot
// first. Engines serve the most urgent requests first, while a free slot goes to the first gateway
// that reserves it.
func (q *request) queuesAtEngine() bool {
	return q.mostUrgent && q.refusedReservations >= laburnumbalance.UrgentReservations
}

// forwardParams returns what is added to the headers for a backend server.
func (q *request) forwardParams(backend laburnumlever.BackendID, now time.Time) laburnumlever.ForwardParams {
	params := laburnumlever.ForwardParams{Timeout: q.remaining(now), Backend: backend, Reservation: q.reservation, HideKey: q.checksKeys}
	params.LastEvent, params.HasLastEvent = q.events.resumesAfter()
	if q.account != nil {
		params.Account = q.account.Name
		params.Urgency, params.HasUrgency = q.account.Priority, q.accountIndex.DiffersByAccount()
	}
	if q.byUrgency {
		params.Urgency, params.HasUrgency = q.rank, true
	}
	return params
}

// sentAgo returns how many milliseconds ago the request was last sent to a backend server; -1 if it was not.
func (q *request) sentAgo(now time.Time) int64 {
	if q.sent == 0 {
		return -1
	}
	return millis(now.Sub(q.sentAt))
}

func (q *request) remaining(now time.Time) time.Duration { return q.deadline.Sub(now) }

func newRefusal(reason laburnumlever.RefusalReason, after time.Duration, detail string) error {
	return &laburnumlever.RefusalError{
		Reason: reason, Outcome: laburnumlever.OutcomeNotRun, RetryAfter: after, Detail: detail,
	}
}

// stopped tells whether ctx ended because the VM stops.
func stopped(ctx context.Context) bool {
	var stop *VMStoppedError
	return errors.As(context.Cause(ctx), &stop)
}

// deadlineExceeded tells whether ctx ended by its deadline rather than by the caller disconnecting.
func deadlineExceeded(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
