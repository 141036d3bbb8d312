package laburnumgateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumdemand"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumupstream"

	"github.com/go-kit/log/level"
)

const (
	// reservationTTL is the lifetime of a reservation. It can be short: the request follows at
	// once on the same connection.
	reservationTTL = 100 * time.Millisecond
	// askTimeout is twice the longest round trip between zones.
	askTimeout   = 300 * time.Millisecond
	maxAskAnswer = 4 << 10 // bytes of the answer to a call before the request
)

// reserve reserves a slot at the engine before the request is sent, if the known load of the engine
// is stale. A limited engine gets no requests beyond those that have a permit. A failure means that the request was not sent. The connection can be reused if resp is
// not nil.
//
// Load pattern: many gateways send to engines with few slots, and each gets the load of an engine
// only every few seconds. Without reservations requests queue at a full engine while others have
// free slots.
func (g *Gateway) reserve(ctx context.Context, q *request, ticket *laburnumbalance.Ticket, conn *laburnumupstream.Conn, result *laburnumbalance.AttemptResult) (fail *failure, resp *http.Response) {
	q.reservation = ""
	if !needsReservation(q, ticket) {
		return nil, nil
	}
	if err := g.checkCaller(ctx, q); err != nil {
		return &failure{stage: laburnumretry.StageNotSent, cause: err, refused: err}, nil
	}
	resp, body, err := g.sendReservation(q, ticket, conn)
	if err != nil {
		result.Failed = ctx.Err() == nil
		if result.Failed && !conn.Tunnelled() && !isGarbage(err) {
			g.links.failed(ticket.Backend)
		}
		g.counters.reservations[reserveUnanswered].Inc(1)
		return &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedBackendUnreachable, cause: err}, nil
	}
	id, ok, err := g.dialect.ParseReservation(resp.StatusCode, body)
	if ok && g.leavesRoom(q, ticket, resp, result) {
		return &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedBackendBusy, cause: &CrowdedServerError{Backend: q.backend}, slotRefused: true}, resp
	}
	switch {
	case err != nil:
		// The engine does not support reservations: the request is sent without one.
		g.counters.reservations[reserveUnanswered].Inc(1)
		_ = level.Info(g.logger).Log("event", laburnumlever.EventReservationUnclear, "request-id", q.caller.ID, "backend", q.backend, "cause", err)
	case ok:
		g.counters.reservations[reserveKept].Inc(1)
		q.reservation = id
	default:
		g.counters.reservations[reserveTaken].Inc(1)
		result.ReservationRefused = true
		q.refusedReservations++
		return &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedBackendBusy, cause: &AnswerStatusError{Status: resp.StatusCode}, slotRefused: true}, resp
	}
	return nil, nil
}

// needsReservation reports whether a request needs a reserved slot at its engine.
func needsReservation(q *request, ticket *laburnumbalance.Ticket) bool {
	return ticket.MayBeFull() && !ticket.Limited() && !q.queuesAtEngine() && q.service.Engine != nil && q.service.Engine.ReserveLimit > 0
}

// sendReservation asks the engine for a reservation and reads the complete answer.
func (g *Gateway) sendReservation(q *request, ticket *laburnumbalance.Ticket, conn *laburnumupstream.Conn) (*http.Response, []byte, error) {
	call := g.dialect.ReservationCall(laburnumlever.Reservation{
		Backend: ticket.Backend.Backend, Tokens: q.caller.PromptTokens + laburnumdemand.AnswerTokens(q.caller),
		TTL: min(reservationTTL, time.Duration(q.service.Engine.ReserveLimit)),
	})
	resp, _, body, err := g.askFirst(q, ticket, conn, call)
	return resp, body, err
}

// askFirst makes a call on the connection of a request before the request is sent, and reads the complete answer.
func (g *Gateway) askFirst(q *request, ticket *laburnumbalance.Ticket, conn *laburnumupstream.Conn, call laburnumlever.EngineCall) (*http.Response, laburnumlever.AnswerHeaders, []byte, error) {
	now := g.timers.Now()
	if err := conn.SetDeadline(now.Add(min(askTimeout, q.remaining(now)))); err != nil {
		return nil, laburnumlever.AnswerHeaders{}, nil, err
	}
	resp, err := conn.Exchange(laburnumupstream.Request{
		Method: call.Method, URI: call.URI, Host: q.host, Header: call.Header, Body: call.Body,
	})
	if err != nil {
		return nil, laburnumlever.AnswerHeaders{}, nil, err
	}
	headers := g.dialect.Answer(resp.StatusCode, resp.Header)
	if headers.RequestID != "" {
		return nil, headers, nil, &CrossedAnswerError{Got: headers.RequestID} // the call has no ID to echo
	}
	if headers.HasLimit || headers.LimitError != nil || headers.Rest > 0 || headers.Leaving {
		g.observeAnswer(ticket, conn, now, resp.StatusCode, headers)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAskAnswer+1))
	if err == nil && len(body) > maxAskAnswer {
		err = &AnswerTooLongError{Limit: maxAskAnswer} // the rest would be taken for the answer to the request
	}
	if err != nil || resp.Close {
		return nil, headers, nil, &BrokenAnswerError{Cause: err}
	}
	return resp, headers, body, nil
}
