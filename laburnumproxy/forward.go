package laburnumproxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdispatch"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumrouter"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
)

// failure is an attempt that brought no whole answer.
type failure struct {
	refusal   *laburnumlever.RefusalError
	canResume bool
}

// run lets the request in and attempts it until it is answered or given up.
func (p *Proxy) run(ctx context.Context, q *request, out *answer) error {
	ticket := p.ticket(q)
	if err := p.admit(ctx, q, out, ticket); err != nil {
		return err
	}
	defer p.leave(q, out, ticket)
	resume := false
	for {
		fail := p.try(ctx, q, out, ticket, resume)
		if fail == nil {
			return nil
		}
		if fail.refusal.Outcome == laburnumlever.OutcomeUnknown {
			q.touched = true
		}
		reason, again := p.again(ctx, q, out, ticket, fail)
		if !again {
			return fail.refusal
		}
		resume = reason == laburnumlever.RetryStreamResumed
	}
}

func (p *Proxy) ticket(q *request) *laburnumdispatch.Ticket {
	return &laburnumdispatch.Ticket{Request: laburnumdispatch.Request{
		Owner: q.owner, OwnerLimits: q.ownerLimits, EntryLimits: q.limits, Key: q.caller,
		Model: q.model, Service: q.service, Class: q.class, Prefix: q.prefix,
		Prompt: max(1, q.promptTokens), Answer: max(1, q.answerTokens), Received: q.received,
	}}
}

// admit waits until the request has a server.
func (p *Proxy) admit(ctx context.Context, q *request, out *answer, ticket *laburnumdispatch.Ticket) error {
	ready := make(chan struct{})
	ticket.Wake = func() { close(ready) }
	now := p.timers.Now()
	waits, err := p.submit(ticket, now)
	if isReason(err, laburnumlever.RefusedNoBackend) && p.refreshForMissing(now) {
		waits, err = p.submit(ticket, now)
	}
	if err != nil || !waits {
		return err
	}
	q.trail.add(now, "waits for a free place")
	select {
	case <-ready:
	case <-ctx.Done():
		p.mu.Lock()
		p.dispatch.EndAttempt(ticket, laburnumrouter.Sample{Skipped: true}, p.timers.Now())
		p.dispatch.Finish(ticket, 0, p.timers.Now())
		p.mu.Unlock()
		return q.refusal(causeOf(ctx), laburnumlever.OutcomeNotRun, "given up while it waited")
	}
	out.flight.moved(p.timers.Now())
	if ticket.Refusal != nil {
		return ticket.Refusal
	}
	return nil
}

func (p *Proxy) submit(ticket *laburnumdispatch.Ticket, now time.Time) (waits bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err = p.dispatch.Submit(ticket, now)
	return err == nil && ticket.Waiting(), err
}

// leave settles the request's true cost.
func (p *Proxy) leave(q *request, out *answer, ticket *laburnumdispatch.Ticket) {
	used := 0
	switch {
	case out.events:
		used = q.promptTokens + out.tokens
	case out.started || q.touched:
		used = ticket.Request.Prompt + ticket.Request.Answer
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch.Finish(ticket, used, p.timers.Now())
}

// again asks for another attempt.
func (p *Proxy) again(ctx context.Context, q *request, out *answer, ticket *laburnumdispatch.Ticket, fail *failure) (laburnumlever.RetryReason, bool) {
	if ctx.Err() != nil {
		return 0, false
	}
	now := p.timers.Now()
	p.mu.Lock()
	reason, decision := p.dispatch.Retry(ticket, laburnumretry.FailedRequest{
		Reason: fail.refusal.Reason, Outcome: fail.refusal.Outcome, AtMostOnce: q.once,
		Started: out.started, Stream: out.events && q.stream, CanResume: fail.canResume,
	}, now)
	p.mu.Unlock()
	switch decision {
	case laburnumretry.Retry:
		p.counters.retries[reason].Inc(1)
		q.trail.add(now, "attempt again: %s", reason)
		return reason, true
	case laburnumretry.OverBudget:
		fail.refusal.Detail = "retry budget spent after: " + fail.refusal.Detail
		fail.refusal.Reason = laburnumlever.RefusedRetryBudget
		return reason, false
	default:
		return reason, false
	}
}

// try makes one attempt on the ticket's server and frees its place there. A nil
// failure means that the whole answer was passed on.
func (p *Proxy) try(ctx context.Context, q *request, out *answer, ticket *laburnumdispatch.Ticket, resume bool) *failure {
	to := ticket.Backend
	start := p.timers.Now()
	before := out.tokens
	fail := p.exchange(ctx, q, out, to, resume)
	now := p.timers.Now()
	sample := laburnumrouter.Sample{Took: now.Sub(start), Prompt: max(1, q.promptTokens), Answer: max(1, q.answerTokens)}
	if out.events {
		sample.Answer = out.tokens - before
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

// exchange sends the request to one backend server and passes its answer on.
func (p *Proxy) exchange(ctx context.Context, q *request, out *answer, to laburnumlever.Announcement, resume bool) *failure {
	own, cancel := context.WithCancel(ctx)
	defer cancel() // ends the backend server's work when the answer is not wanted any more
	a := newAttempt(uuid.NewString(), to.Backend, cancel)
	q.trail.add(p.timers.Now(), "attempt %s on %s at %s", a.id, to.Backend, to.Address)
	req := p.outgoing(a.trace(own), q, a, to)
	if resume {
		req.Header.Set(headerResume, strconv.Itoa(out.tokens))
	}
	resp, err := p.transport(q).RoundTrip(req)
	if err != nil {
		a.failed()
		return p.failed(q, a, to, causeOf(ctx), err)
	}
	defer func() { _ = resp.Body.Close() }() // nothing is left to be read or said
	if err := a.answered(resp); err != nil {
		p.counters.crossed.Inc(1)
		_ = level.Warn(p.logger).Log("event", laburnumlever.EventCrossedAnswer, "request-id", q.id, "backend", to.Backend, "err", err)
		return p.failed(q, a, to, laburnumlever.RefusedCrossedAnswer, err)
	}
	if a.outcome() == laburnumlever.OutcomeNotRun {
		return p.failed(q, a, to, laburnumlever.RefusedBackendBusy, &statusError{Status: resp.StatusCode})
	}
	if to.Kind == laburnumlever.Engine && resp.StatusCode >= http.StatusInternalServerError {
		return p.failed(q, a, to, laburnumlever.RefusedBackendError, &statusError{Status: resp.StatusCode})
	}
	out.flight.moved(p.timers.Now())
	out.continued(resume)
	if err := out.pass(resp); err != nil {
		a.failed()
		return p.failed(q, a, to, passReason(ctx, err), err)
	}
	a.take(evAnswerWhole)
	return nil
}

// passReason classifies an error met while the answer was passed on.
func passReason(ctx context.Context, err error) laburnumlever.RefusalReason {
	var gone *CallerGoneError
	switch {
	case errors.As(err, &gone):
		return laburnumlever.RefusedCallerGone
	case ctx.Err() != nil:
		return causeOf(ctx)
	default:
		return laburnumlever.RefusedBrokenStream
	}
}

func (p *Proxy) failed(q *request, a *attempt, to laburnumlever.Announcement, reason laburnumlever.RefusalReason, err error) *failure {
	refusal := q.refusal(reason, a.outcome(), err.Error())
	q.trail.add(p.timers.Now(), "attempt %s: %s, %s: %v", a.id, reason, refusal.Outcome, err)
	var broken *BrokenStreamError
	return &failure{refusal: refusal, canResume: to.CanResume && errors.As(err, &broken)}
}
