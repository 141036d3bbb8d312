package laburnumgateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumreachability"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumupstream"

	"github.com/cockroachdb/errors"
)

// backendTimeoutSlack is added to the deadline of a connection, so that a backend server's own
// timeout fires before the gateway's.
const backendTimeoutSlack = 100 * time.Millisecond

const acceptEncoding = "Accept-Encoding"

// attempt makes one attempt. A nil failure means that the complete answer was forwarded.
func (g *Gateway) attempt(ctx context.Context, q *request, out *answer, ticket *laburnumbalance.Ticket) (fail *failure) {
	q.tries++
	q.backend, q.via, q.begunAt, q.sound = ticket.Backend.Backend, "", time.Time{}, false
	result := laburnumbalance.AttemptResult{}
	g.fleet.beginAdapterUse(q)
	defer func() {
		g.judgeGarbage(q, out, ticket, fail, &result)
		g.fleet.release(q, ticket, result)
	}()
	conn, fail := g.connect(ctx, ticket, &result)
	if fail != nil {
		return fail
	}
	q.via = conn.Via()
	wait := g.links.begin(q, out, ticket.Backend, conn)
	defer g.links.end(wait)
	stop := conn.AbortOnDone(ctx)
	if fail, resp := g.prepare(ctx, q, ticket, conn, &result); fail != nil { //nolint:bodyclose // its body has been read
		if stop() && resp != nil {
			g.pool.Put(conn, resp)
		} else {
			conn.Abort()
		}
		return fail
	}
	fail, resp := g.exchange( //nolint:bodyclose // the connection is closed or reused as a whole
		ctx, q, out, ticket, conn, wait, &result)
	fail.describeEnd(ctx, g.links.endedBy(wait), &result)
	if fail != nil && fail.stage == laburnumretry.StageUnknown && ctx.Err() == nil && isBroken(fail.cause) {
		fail.broken = true
		if wait != nil {
			g.links.failed(ticket.Backend)
		}
		g.fleet.recordLasting(q)
		g.crashes.requestBroken(q, ticket)
	}
	if stop() && fail == nil {
		g.pool.Put(conn, resp)
	} else {
		conn.Abort()
	}
	return fail
}

// prepare finds out whether the backend server has room for the request, before it is sent. It returns what reserve does.
func (g *Gateway) prepare(ctx context.Context, q *request, ticket *laburnumbalance.Ticket, conn *laburnumupstream.Conn, result *laburnumbalance.AttemptResult) (*failure, *http.Response) {
	if fail, resp := g.look(ctx, q, ticket, conn, result); fail != nil {
		return fail, resp
	}
	return g.reserve(ctx, q, ticket, conn, result)
}

// connect returns a connection to the ticket's backend server, if it may still be sent something.
func (g *Gateway) connect(ctx context.Context, ticket *laburnumbalance.Ticket, result *laburnumbalance.AttemptResult) (*laburnumupstream.Conn, *failure) {
	conn, err := g.openConnection(ctx, ticket.Backend)
	if isConnectionLimit(err) {
		result.NoConnection = true
		return nil, notSendable(err)
	}
	if err != nil {
		return nil, g.connectFailed(ctx, ticket, err, result)
	}
	if err := g.fleet.checkSend(ticket.Backend); err != nil {
		conn.Close()
		return nil, notSendable(err)
	}
	return conn, nil
}

// connectFailed is the failure of an attempt without a connection.
func (g *Gateway) connectFailed(ctx context.Context, ticket *laburnumbalance.Ticket, err error, result *laburnumbalance.AttemptResult) *failure {
	// A caller that has left, or whose time is over, says nothing of the other VMs.
	if ctx.Err() == nil && !g.links.detourFailed(ticket.Backend, err) && g.links.tunnelFailed(err) {
		refused := newRefusal(laburnumlever.RefusedLinksLost, drainRetryAfter, err.Error())
		return &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedLinksLost, cause: err, refused: refused}
	}
	result.Unreachable = ctx.Err() == nil && isDialError(err)
	result.Failed = result.Unreachable
	if result.Unreachable {
		g.links.dialFailed(ticket.Backend, err)
	}
	return &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedBackendUnreachable, cause: err}
}

func isConnectionLimit(err error) bool {
	var limit *laburnumupstream.ConnectionLimitError
	return errors.As(err, &limit)
}

func isDialError(err error) bool {
	var dial *laburnumupstream.DialError
	return errors.As(err, &dial)
}

// exchange sends the request and forwards the answer.
func (g *Gateway) exchange(ctx context.Context, q *request, out *answer, ticket *laburnumbalance.Ticket, conn *laburnumupstream.Conn, wait *laburnumreachability.Wait, result *laburnumbalance.AttemptResult) (*failure, *http.Response) {
	if err := g.fleet.recheckKey(ctx, q); err != nil {
		return &failure{stage: laburnumretry.StageNotSent, cause: err, refused: err}, nil
	}
	if err := g.fleet.checkSend(ticket.Backend); err != nil {
		return notSendable(err), nil
	}
	if err := g.checkCaller(ctx, q); err != nil {
		return &failure{stage: laburnumretry.StageNotSent, cause: err, refused: err}, nil
	}
	now := g.timers.Now()
	g.countSlot(q, now)
	if err := conn.SetDeadline(q.deadline.Add(backendTimeoutSlack)); err != nil {
		return &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedBackendUnreachable, cause: err}, nil
	}
	q.sent++
	q.sentAt = now
	g.fleet.noteGranted(q)
	resp, err := conn.Exchange(laburnumupstream.Request{
		Method: q.method, URI: q.uri, Host: q.host, Chunks: q.body.Chunks(),
		Header: g.dialect.Forward(q.forwardedHeader(), q.forwardParams(ticket.Backend.Backend, now)),
	})
	if err != nil {
		result.Failed = ctx.Err() == nil
		return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBackendError, cause: err}, nil
	}
	g.links.heard(wait, conn)
	headers := g.dialect.Answer(resp.StatusCode, resp.Header)
	q.pace = headers.Pace
	result.Rested = headers.Rest > 0
	g.observeAnswer(ticket, conn, now, resp.StatusCode, headers)
	if fail := g.checkAnswer(q, ticket, resp, headers, result); fail != nil {
		return fail, resp
	}
	out.heard = func() { g.links.heard(wait, conn) }
	out.begin = func() bool { return g.links.started(wait) }
	fail := g.forwardAnswer(ctx, q, out, ticket, resp, result)
	if fail == nil {
		fail = g.checkEnd(q, out, ticket, conn)
	}
	if fail != nil {
		fail.begun = true
	} else {
		q.sound = provesWhole(resp)
	}
	return fail, resp
}

// provesWhole reports whether a server that crashes can't have ended the answer: its end shows in the answer itself. One that ends
// with its connection looks whole then.
func provesWhole(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// checkAnswer returns a failure for an answer that must not be forwarded: one to another request, or
// one which says that the request did not run.
func (g *Gateway) checkAnswer(q *request, ticket *laburnumbalance.Ticket, resp *http.Response, headers laburnumlever.AnswerHeaders, result *laburnumbalance.AttemptResult) *failure {
	if headers.RequestID != q.caller.ID && (headers.RequestID != "" || !headers.NotRun) {
		result.Failed = true
		return &failure{
			stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedCrossedAnswer,
			cause: &CrossedAnswerError{Want: q.caller.ID, Got: headers.RequestID},
		}
	}
	if !headers.NotRun {
		return checkBody(q, resp, headers, result)
	}
	cause := &AnswerStatusError{Status: resp.StatusCode, Rest: headers.Rest}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		if headers.Backend != "" && headers.Backend != ticket.Backend.Backend {
			g.fleet.removeReplaced(ticket.Backend)
		} else {
			result.Absent = true
		}
		return &failure{stage: laburnumretry.StageNotRun, reason: laburnumlever.RefusedNoBackend, cause: cause}
	}
	result.Full = !result.Rested
	return &failure{stage: laburnumretry.StageNotRun, reason: laburnumlever.RefusedBackendBusy, cause: cause}
}

// checkBody returns a failure for a success whose body is not the backend server's own, or is no stream where one is due.
func checkBody(q *request, resp *http.Response, headers laburnumlever.AnswerHeaders, result *laburnumbalance.AttemptResult) *failure {
	var cause error
	switch {
	case resp.StatusCode >= http.StatusMultipleChoices:
		return nil
	case !headers.Stamped || headers.Encoding != "" && !q.acceptsEncoding():
		cause = &ForeignBodyError{Stamped: headers.Stamped, Encoding: headers.Encoding}
	case q.route.Kind == laburnumlever.KindStream && !isStream(resp) && q.method != http.MethodHead && q.method != http.MethodOptions:
		cause = &NoStreamError{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	default:
		return nil
	}
	result.Failed = true
	return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBackendError, cause: cause}
}

// forwardedHeader returns the caller's header without what it must not ask a server for: events can't be read in an encoding.
func (q *request) forwardedHeader() http.Header {
	if q.route.Kind != laburnumlever.KindStream || q.header.Get(acceptEncoding) == "" {
		return q.header
	}
	header := q.header.Clone()
	header.Del(acceptEncoding)
	return header
}

// acceptsEncoding reports whether the caller has asked for an encoded body, and a server may send one.
func (q *request) acceptsEncoding() bool {
	accepted := q.forwardedHeader().Get(acceptEncoding)
	return accepted != "" && accepted != "identity"
}

// notSendable is the failure of an attempt at a backend server that must not be sent anything any more.
func notSendable(err error) *failure {
	return &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedNoBackend, cause: err, unsent: true}
}
