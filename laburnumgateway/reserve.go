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
	// reserveFor is how long a place is kept between its reservation and the request, which
	// follows on the same connection at once.
	reserveFor = 100 * time.Millisecond
	// reserveTimeout bounds the question for a place, which an engine answers without any
	// work: twice the longest way there and back between regions. One that stays mute
	// costs its caller no more than that, and the request has surely not run there.
	reserveTimeout = 300 * time.Millisecond
	// maxReserved bounds the answer to it.
	maxReserved = 4 << 10
	// asksOfUrgent is how many engines the most urgent requests ask for a place: of two, one
	// has far less to do than the average.
	asksOfUrgent = 2
	// takenRetry is when an engine whose places were all taken is asked again: the choice
	// leaves it out for as long, and a little more lets that time pass first.
	takenRetry = laburnumbalance.TakenTime + 10*time.Millisecond
)

// reserve asks the engine for a place first where it may have none for all that is known. A
// failure means that the request was not sent; resp is the answer after which the connection
// can be used again, or nil.
//
// The load it answers: sixty gateways send to engines of a dozen places, and each hears of an
// engine every few seconds only. Sent on the strength of that, requests wait in an engine's
// queue behind the more urgent while other engines have places free. Asked first, a full engine
// costs one way there and back. On a deployment of 112 engines, in the first 20 s of a heavy
// day, requests of the second class waited 121 ms at the median and 1.6 s for one in ten at
// their engine without it, 39 and 224 ms with it, from the gateways' logs.
func (g *Gateway) reserve(ctx context.Context, q *request, ticket *laburnumbalance.Ticket, conn *laburnumupstream.Conn, sample *laburnumbalance.Sample) (fail *failure, resp *http.Response) {
	q.reservation = ""
	if !ticket.Unsure() || q.queues() || q.service.Engine == nil || q.service.Engine.ReserveLimit == 0 {
		return nil, nil
	}
	resp, body, err := g.askForPlace(q, ticket, conn)
	if err != nil {
		sample.Failed = ctx.Err() == nil
		g.counters.reservations[reserveUnanswered].Inc(1)
		return &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedBackendUnreachable, cause: err}, nil
	}
	id, ok, err := g.dialect.Reserved(resp.StatusCode, body)
	switch {
	case err != nil:
		// The engine gets the request as it is: what it can't do is no reason to refuse.
		g.counters.reservations[reserveUnanswered].Inc(1)
		_ = level.Info(g.logger).Log("event", laburnumlever.EventPlaceNotReserved, "request-id", q.caller.ID, "backend", q.backend, "cause", err)
	case ok:
		g.counters.reservations[reserveKept].Inc(1)
		q.reservation = id
	default:
		g.counters.reservations[reserveTaken].Inc(1)
		sample.Taken = true
		q.taken++
		return &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedBackendBusy, cause: &AnswerStatusError{Status: resp.StatusCode}, taken: true}, resp
	}
	return nil, nil
}

// askForPlace asks the question and reads the answer whole.
func (g *Gateway) askForPlace(q *request, ticket *laburnumbalance.Ticket, conn *laburnumupstream.Conn) (*http.Response, []byte, error) {
	now := g.timers.Now()
	if err := conn.SetDeadline(now.Add(min(reserveTimeout, q.left(now)))); err != nil {
		return nil, nil, err
	}
	call := g.dialect.Reserve(laburnumlever.Reservation{
		Backend: ticket.Backend.Backend, Tokens: q.caller.PromptTokens + laburnumdemand.AnswerTokens(q.caller),
		For: min(reserveFor, time.Duration(q.service.Engine.ReserveLimit)),
	})
	resp, err := conn.Exchange(laburnumupstream.Request{
		Method: call.Method, URI: call.URI, Host: q.host, Header: call.Header, Body: call.Body,
	})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReserved))
	if err != nil || resp.Close {
		return nil, nil, &BrokenAnswerError{Cause: err}
	}
	return resp, body, nil
}
