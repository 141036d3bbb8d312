package laburnumgateway

import (
	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumupstream"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=garbageKind -transform=kebab -trimprefix=garbage -output=garbagekind_gen.go

// garbageKind is in which way the bytes of a backend server are no part of an answer.
type garbageKind int

const (
	// garbageNotHTTP can't be a head, or a chunk of a body.
	garbageNotHTTP garbageKind = iota
	// garbageInvalidEvent is a block of a stream that is no event.
	garbageInvalidEvent
	// garbageNumbering is an event without a number in a stream of numbered events, or the other way round.
	garbageNumbering
	// garbageOutOfOrder is an event that is not the next one.
	garbageOutOfOrder
	// garbageBlankEvents are too many blocks in a row that carry no event.
	garbageBlankEvents
	// garbageNoEvents is a stream that ends as complete without an event.
	garbageNoEvents
	// garbageCutEvent is a stream that ends as complete in the middle of an event.
	garbageCutEvent
	// garbageCrossedAnswer is an answer that belongs to another request.
	garbageCrossedAnswer
	// garbageForeignBody is a success without a stamp, or with a body that is encoded.
	garbageForeignBody
	// garbageNoStream is a success of a streaming route that is no event stream.
	garbageNoStream
	// garbageBytesAfterEnd follows a complete answer.
	garbageBytesAfterEnd
)

// garbageOf returns the kind of garbage that an attempt failed for, and whether it was garbage.
func garbageOf(err error) (garbageKind, bool) {
	var (
		notHTTP *laburnumupstream.NoAnswerError
		crossed *CrossedAnswerError
		foreign *ForeignBodyError
		other   *NoStreamError
		after   *BytesAfterEndError
	)
	switch {
	case errors.As(err, &notHTTP):
		return garbageNotHTTP, true
	case errors.As(err, &crossed):
		return garbageCrossedAnswer, true
	case errors.As(err, &foreign):
		return garbageForeignBody, true
	case errors.As(err, &other):
		return garbageNoStream, true
	case errors.As(err, &after):
		return garbageBytesAfterEnd, true
	default:
		return garbageInStream(err)
	}
}

// garbageInStream is garbageOf for what is no part of an event stream.
func garbageInStream(err error) (garbageKind, bool) {
	var (
		invalid   *laburnumlever.EventInvalidError
		long      *EventTooLongError
		numbering *EventNumberingError
		gap       *EventGapError
		blank     *BlankEventsError
		none      *NoEventsError
		cut       *EventCutError
	)
	switch {
	case errors.As(err, &invalid), errors.As(err, &long) && long.Limit == maxEventBytes:
		return garbageInvalidEvent, true
	case errors.As(err, &numbering):
		return garbageNumbering, true
	case errors.As(err, &gap):
		return garbageOutOfOrder, true
	case errors.As(err, &blank):
		return garbageBlankEvents, true
	case errors.As(err, &none):
		return garbageNoEvents, true
	case errors.As(err, &cut):
		return garbageCutEvent, true
	default:
		return 0, false
	}
}

func isGarbage(err error) bool {
	_, ok := garbageOf(err)
	return ok
}

// judgeGarbage counts garbage that an attempt failed for against its server, and logs it.
func (g *Gateway) judgeGarbage(q *request, out *answer, ticket *laburnumbalance.Ticket, fail *failure, result *laburnumbalance.AttemptResult) {
	if fail == nil || fail.end != endNone {
		return
	}
	kind, ok := garbageOf(fail.cause)
	if !ok {
		return
	}
	result.Faulty = true
	g.noteGarbage(q, out, ticket, kind, fail.cause)
}

// noteGarbage counts and logs garbage.
func (g *Gateway) noteGarbage(q *request, out *answer, ticket *laburnumbalance.Ticket, kind garbageKind, cause error) {
	g.counters.garbage[kind].Inc(1)
	_ = level.Warn(g.logger).Log(
		"event", laburnumlever.EventGarbageReceived, "request-id", q.caller.ID, "backend", ticket.Backend.Backend, "service", q.service.Name,
		"address", ticket.Backend.Address, "software", ticket.Backend.Software, "via", q.via, "kind", kind, "events", out.events, "cause", cause)
}

// checkEnd is called after a complete answer. If bytes follow it, a server that spoils its answers may have written the end, too. A
// stream is taken up after its last event then: a server where it is over answers with no more events.
func (g *Gateway) checkEnd(q *request, out *answer, ticket *laburnumbalance.Ticket, conn *laburnumupstream.Conn) *failure {
	if !conn.BytesFollow() {
		return nil
	}
	cause := &BytesAfterEndError{}
	if _, ok := q.events.resumesAfter(); !ok || !q.route.Resumable || out.endDoubted {
		g.noteGarbage(q, out, ticket, garbageBytesAfterEnd, cause)
		return nil
	}
	out.endDoubted = true
	return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBrokenStream, cause: cause}
}
