package laburnumproxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"laburnumlever"
	"laburnumlever/laburnumretry"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1);
// nor are ours for attempts.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", headerAttempt, headerResume,
}

// failure is an attempt that brought no whole answer.
type failure struct {
	refusal   *laburnumlever.RefusalError
	server    laburnumlever.Announcement
	canResume bool
}

// run attempts the request until it is answered or given up.
func (p *Proxy) run(ctx context.Context, q *request, out *answer) error {
	p.mu.Lock()
	p.budget.FirstAttempt()
	p.mu.Unlock()
	var last *failure
	for attempts := 1; ; attempts++ {
		fail, err := p.attemptOnce(ctx, q, out, last)
		if err != nil {
			return withLast(err, last)
		}
		if fail == nil {
			return nil
		}
		if fail.refusal.Outcome == laburnumlever.OutcomeUnknown {
			q.touched = true
		}
		if !p.again(ctx, q, out, fail, attempts) {
			return fail.refusal
		}
		last = fail
	}
}

// withLast prefers what an attempt met to "there is no other server for another".
func withLast(err error, last *failure) error {
	if last != nil {
		return last.refusal
	}
	return err
}

func (p *Proxy) attemptOnce(ctx context.Context, q *request, out *answer, last *failure) (*failure, error) {
	if last != nil && last.canResume {
		return p.try(ctx, q, out, last.server, true), nil
	}
	avoid := laburnumlever.BackendID("")
	if last != nil {
		avoid = last.server.Backend
	}
	server, err := p.pick(q, avoid)
	if err != nil {
		return nil, err
	}
	defer p.release(server)
	return p.try(ctx, q, out, server.Announcement(), false), nil
}

// again asks the budget for another attempt.
func (p *Proxy) again(ctx context.Context, q *request, out *answer, fail *failure, attempts int) bool {
	if ctx.Err() != nil {
		return false
	}
	p.mu.Lock()
	reason, verdict := p.budget.Decide(laburnumretry.Situation{
		Reason: fail.refusal.Reason, Outcome: fail.refusal.Outcome, Once: q.once,
		Started: out.started, Stream: out.events && q.stream, CanResume: fail.canResume, Attempts: attempts,
	})
	p.mu.Unlock()
	switch verdict {
	case laburnumretry.Again:
		p.scope.Tagged(map[string]string{"reason": retryName(reason)}).Counter("retries").Inc(1)
		q.trail.add(p.timers.Now(), "attempt again: %s", retryName(reason))
		return true
	case laburnumretry.OverBudget:
		fail.refusal.Detail = "retry budget spent after: " + fail.refusal.Detail
		fail.refusal.Reason = laburnumlever.RefusedRetryBudget
		return false
	default:
		return false
	}
}

// try makes one attempt. A nil failure means that the whole answer was passed on.
func (p *Proxy) try(ctx context.Context, q *request, out *answer, to laburnumlever.Announcement, resume bool) *failure {
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
		p.scope.Counter("answers-crossed").Inc(1)
		_ = level.Warn(p.logger).Log("event", "crossed-answer", "request-id", q.id, "backend", to.Backend, "err", err)
		return p.failed(q, a, to, laburnumlever.RefusedCrossedAnswer, err)
	}
	if a.outcome() == laburnumlever.OutcomeNotRun {
		return p.failed(q, a, to, laburnumlever.RefusedBackendBusy, &statusError{Status: resp.StatusCode})
	}
	if to.Kind == laburnumlever.Engine && resp.StatusCode >= http.StatusInternalServerError {
		return p.failed(q, a, to, laburnumlever.RefusedBackendError, &statusError{Status: resp.StatusCode})
	}
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
	q.trail.add(p.timers.Now(), "attempt %s: %s, %s: %v", a.id, reasonName(reason), outcomeName(refusal.Outcome), err)
	var broken *BrokenStreamError
	return &failure{refusal: refusal, server: to, canResume: to.CanResume && errors.As(err, &broken)}
}

// transport keeps non-idempotent requests off reused connections: one that the
// backend server has just closed would take the request's bytes and lose them, and
// the caller would be told unknown for nothing.
func (p *Proxy) transport(q *request) *http.Transport {
	if q.once {
		return p.single
	}
	return p.pooled
}

func (p *Proxy) outgoing(ctx context.Context, q *request, a *attempt, to laburnumlever.Announcement) *http.Request {
	header := passedHeaders(q.header)
	header.Set(headerAttempt, a.id)
	header.Set(headerRequest, q.id)
	header.Set(headerPriority, q.class.Priority.String())
	url := "http://" + to.Address + q.path
	req, err := http.NewRequestWithContext(ctx, q.method, url, nil)
	if err != nil {
		req = &http.Request{Method: q.method, Host: to.Address} // RoundTrip refuses it unsent: it has no URL
		return req.WithContext(ctx)
	}
	req.Header = header
	if len(q.body) > 0 {
		// No GetBody: net/http must not send the body a second time by itself.
		req.Body = io.NopCloser(bytes.NewReader(q.body))
		req.ContentLength = int64(len(q.body))
	}
	return req
}

func passedHeaders(from http.Header) http.Header {
	out := make(http.Header, len(from)+3)
	for name, values := range from {
		out[name] = values
	}
	dropHopHeaders(out)
	return out
}

func dropHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}
