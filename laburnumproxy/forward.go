package laburnumproxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdispatch"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumrouter"
	"laburnumlever/laburnumsocket"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
)

// attemptFailure describes an attempt that got no complete response.
type attemptFailure struct {
	refusal   *laburnumlever.RefusalError
	canResume bool
}

// run admits the request and attempts it until it succeeds or may not be retried.
func (p *Proxy) run(ctx context.Context, q *request, out *callerResponse) error {
	ticket := p.newTicket(q)
	if err := p.admit(ctx, q, out, ticket); err != nil {
		return err
	}
	defer p.settle(q, out, ticket)
	resume := false
	for {
		fail := p.attemptOnce(ctx, q, out, ticket, resume)
		if fail == nil {
			return nil
		}
		if fail.refusal.Outcome == laburnumlever.OutcomeUnknown {
			q.maybeSent = true
		}
		reason, retry := p.retry(ctx, q, out, ticket, fail)
		if !retry {
			return fail.refusal
		}
		resume = reason == laburnumlever.RetryStreamResumed
	}
}

func (p *Proxy) newTicket(q *request) *laburnumdispatch.Ticket {
	return &laburnumdispatch.Ticket{Request: laburnumdispatch.Request{
		Owner: q.owner, OwnerLimits: q.ownerLimits, EntryLimits: q.limits, Key: q.callerKey,
		Model: q.model, Service: q.service, Class: q.class, Prefix: q.prefix,
		PromptTokens: max(1, q.promptTokens), AnswerTokens: max(1, q.answerTokens), Received: q.received,
	}}
}

// admit waits until the request has a slot on a backend server.
func (p *Proxy) admit(ctx context.Context, q *request, out *callerResponse, ticket *laburnumdispatch.Ticket) error {
	ready := make(chan struct{})
	ticket.Wake = func() { close(ready) }
	now := p.timers.Now()
	waits, err := p.submit(ticket, now)
	if hasReason(err, laburnumlever.RefusedNoBackend) && p.refreshForMissing(now) {
		waits, err = p.submit(ticket, now)
	}
	if err != nil || !waits {
		return err
	}
	q.trace.add(now, "queued for a free slot")
	select {
	case <-ready:
	case <-ctx.Done():
		p.mu.Lock()
		p.dispatch.EndAttempt(ticket, laburnumrouter.Sample{Skipped: true}, p.timers.Now())
		p.dispatch.Finish(ticket, 0, p.timers.Now())
		p.mu.Unlock()
		return q.refusal(reasonFromContext(ctx), laburnumlever.OutcomeNotRun, "cancelled while queued")
	}
	out.active.markProgress(p.timers.Now())
	if ticket.Refusal != nil {
		return ticket.Refusal
	}
	return nil
}

func (p *Proxy) submit(ticket *laburnumdispatch.Ticket, now time.Time) (waits bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err = p.dispatch.Submit(ticket, now)
	return err == nil && ticket.Queued(), err
}

// settle finishes the ticket with the tokens that the request really used.
func (p *Proxy) settle(q *request, out *callerResponse, ticket *laburnumdispatch.Ticket) {
	used := 0
	switch {
	case out.eventStream:
		used = q.promptTokens + out.tokens
	case out.started || q.maybeSent:
		used = ticket.Request.PromptTokens + ticket.Request.AnswerTokens
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch.Finish(ticket, used, p.timers.Now())
}

// retry asks the dispatcher for another attempt. It returns false if there is none.
func (p *Proxy) retry(ctx context.Context, q *request, out *callerResponse, ticket *laburnumdispatch.Ticket, fail *attemptFailure) (laburnumlever.RetryReason, bool) {
	if ctx.Err() != nil {
		return 0, false
	}
	now := p.timers.Now()
	p.mu.Lock()
	reason, decision := p.dispatch.Retry(ticket, laburnumretry.FailedRequest{
		Reason: fail.refusal.Reason, Outcome: fail.refusal.Outcome, AtMostOnce: q.atMostOnce,
		Started: out.started, Stream: out.eventStream && q.stream, CanResume: fail.canResume,
	}, now)
	p.mu.Unlock()
	switch decision {
	case laburnumretry.Retry:
		p.counters.retries[reason].Inc(1)
		q.trace.add(now, "retrying: %s", reason)
		return reason, true
	case laburnumretry.OverBudget:
		fail.refusal.Detail = "retry budget exhausted after: " + fail.refusal.Detail
		fail.refusal.Reason = laburnumlever.RefusedRetryBudget
		return reason, false
	default:
		return reason, false
	}
}

// attemptOnce makes one attempt on the ticket's backend server and releases the slot there.
// It returns nil if the whole response was forwarded.
func (p *Proxy) attemptOnce(ctx context.Context, q *request, out *callerResponse, ticket *laburnumdispatch.Ticket, resume bool) *attemptFailure {
	to := ticket.Backend
	start := p.timers.Now()
	before := out.tokens
	fail := p.exchange(ctx, q, out, to, resume)
	now := p.timers.Now()
	sample := laburnumrouter.Sample{Duration: now.Sub(start), PromptTokens: max(1, q.promptTokens), AnswerTokens: max(1, q.answerTokens)}
	if out.eventStream {
		sample.AnswerTokens = out.tokens - before
	}
	if fail != nil {
		reason := fail.refusal.Reason
		sample.Busy = reason == laburnumlever.RefusedBackendBusy
		sample.Skipped = reason == laburnumlever.RefusedCallerGone || reason == laburnumlever.RefusedDraining
		sample.Failed = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch.EndAttempt(ticket, sample, now)
	return fail
}

// exchange sends the request to one backend server and forwards the response.
func (p *Proxy) exchange(ctx context.Context, q *request, out *callerResponse, to laburnumlever.Announcement, resume bool) *attemptFailure {
	own, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the backend server's work when the response is no longer wanted
	a := newAttempt(uuid.NewString(), to.Backend, cancel)
	q.trace.add(p.timers.Now(), "attempt %s on %s at %s", a.id, to.Backend, to.Address)
	req := p.newBackendRequest(a.trace(own), q, a, to)
	if resume {
		req.Header.Set(headerResumeFrom, strconv.Itoa(out.tokens))
	}
	if laburnumsocket.Look(laburnumsocket.FromContext(ctx)) == laburnumsocket.Closed {
		return p.newFailure(q, a, to, laburnumlever.RefusedCallerGone, &CallerGoneError{Cause: net.ErrClosed})
	}
	resp, err := p.transportFor(q).RoundTrip(req)
	if err != nil {
		a.fail()
		return p.newFailure(q, a, to, reasonFromContext(ctx), err)
	}
	defer func() { _ = resp.Body.Close() }() // the response has been forwarded or discarded
	if err := a.checkResponse(resp); err != nil {
		return p.noAnswer(q, a, to, err)
	}
	if a.outcome() == laburnumlever.OutcomeNotRun {
		return p.newFailure(q, a, to, laburnumlever.RefusedBackendBusy, &statusError{Status: resp.StatusCode})
	}
	if to.Kind == laburnumlever.Engine && resp.StatusCode >= http.StatusInternalServerError {
		return p.newFailure(q, a, to, laburnumlever.RefusedBackendError, &statusError{Status: resp.StatusCode})
	}
	out.active.markProgress(p.timers.Now())
	out.prepareContinuation(resume)
	if err := out.forward(resp); err != nil {
		a.fail()
		p.noteGarbled(q, to, err)
		return p.newFailure(q, a, to, forwardFailureReason(ctx, err), err)
	}
	a.apply(evAnswerWhole)
	return nil
}

// noAnswer is the failure of an attempt whose response belongs to another one, or has a status that is none.
func (p *Proxy) noAnswer(q *request, a *attempt, to laburnumlever.Announcement, cause error) *attemptFailure {
	var crossed *CrossedAnswerError
	if !errors.As(cause, &crossed) {
		p.counters.garbled.Inc(1)
		_ = level.Warn(p.logger).Log("event", laburnumlever.EventGarbageReceived, "request-id", q.id, "backend", to.Backend, "cause", cause)
		return p.newFailure(q, a, to, laburnumlever.RefusedBackendError, cause)
	}
	p.counters.crossed.Inc(1)
	_ = level.Warn(p.logger).Log("event", laburnumlever.EventCrossedAnswer, "request-id", q.id, "backend", to.Backend, "err", cause)
	return p.newFailure(q, a, to, laburnumlever.RefusedCrossedAnswer, cause)
}

// noteGarbled logs and counts a stream with what is no event of it.
func (p *Proxy) noteGarbled(q *request, to laburnumlever.Announcement, err error) {
	var garbled *NotAnEventError
	if errors.As(err, &garbled) {
		p.counters.garbled.Inc(1)
		_ = level.Warn(p.logger).Log("event", laburnumlever.EventGarbageReceived, "request-id", q.id, "backend", to.Backend, "cause", err)
	}
}

// forwardFailureReason classifies an error from forwarding the response.
func forwardFailureReason(ctx context.Context, err error) laburnumlever.RefusalReason {
	var gone *CallerGoneError
	switch {
	case errors.As(err, &gone):
		return laburnumlever.RefusedCallerGone
	case ctx.Err() != nil:
		return reasonFromContext(ctx)
	default:
		return laburnumlever.RefusedBrokenStream
	}
}

func (p *Proxy) newFailure(q *request, a *attempt, to laburnumlever.Announcement, reason laburnumlever.RefusalReason, err error) *attemptFailure {
	refusal := q.refusal(reason, a.outcome(), err.Error())
	q.trace.add(p.timers.Now(), "attempt %s: %s, %s: %v", a.id, reason, refusal.Outcome, err)
	var broken *BrokenStreamError
	return &attemptFailure{refusal: refusal, canResume: to.CanResume && errors.As(err, &broken)}
}
