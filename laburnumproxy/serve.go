package laburnumproxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumsocket"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

// handler serves one request that serve has registered.
type handler func(ctx context.Context, q *request, out *callerResponse, r *http.Request) error

// serve does what all requests share: it assigns the ID, registers the request in flight,
// starts the trace for Explain and sends one final response.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, fn handler) {
	now := p.timers.Now()
	q := newRequest(r, now)
	q.trace = &requestTrace{id: q.id, start: now}
	p.traces.put(q.trace)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	f := &activeRequest{start: now, cancel: cancel, control: http.NewResponseController(unwrapWriter(w))}
	if !p.active.add(f) {
		p.refuse(w, q, q.refusal(laburnumlever.RefusedDraining, laburnumlever.OutcomeNotRun, "this VM is draining"))
		return
	}
	defer p.active.remove(f)
	w.Header().Set(headerRequestID, q.id)
	out := newCallerResponse(w, q, f, p.timers)
	if !r.ProtoAtLeast(1, 1) {
		out.endsAtClose = laburnumsocket.FromContext(r.Context())
	}
	defer func() { q.incoming.Release() }()
	err := fn(ctx, q, out, r)
	p.finish(q, out, err)
}

// finish counts the request and reports a failure in the way still possible: a refusal, an
// error event in a stream, or a cut connection.
func (p *Proxy) finish(q *request, out *callerResponse, err error) {
	if q.model != "" && q.promptTokens > 0 {
		p.demand.countResult(q, out.timeToFirstByte(), err)
	}
	if err == nil {
		p.counters.answered.Inc(1)
		return
	}
	refusal := *q.asRefusal(err)
	if q.maybeSent {
		refusal.Outcome = laburnumlever.OutcomeUnknown
	}
	switch {
	case !out.started:
		p.refuse(out.w, q, &refusal)
	case out.eventStream:
		p.recordRefusal(q, &refusal)
		out.writeErrorEvent(&refusal)
	default:
		p.recordRefusal(q, &refusal)
		// The caller must not take a truncated body for a complete one: net/http handles this
		// panic by closing the connection before the end of the body.
		laburnumsocket.ResetOnClose(out.endsAtClose)
		panic(http.ErrAbortHandler)
	}
}

func (p *Proxy) refuse(w http.ResponseWriter, q *request, refusal *laburnumlever.RefusalError) {
	p.recordRefusal(q, refusal)
	writeRefusal(w, q.id, refusal)
}

// recordRefusal counts, traces and logs a refusal.
func (p *Proxy) recordRefusal(q *request, refusal *laburnumlever.RefusalError) {
	p.counters.refusals[refusal.Reason].Inc(1)
	q.trace.add(p.timers.Now(), "refused: %s, %s: %s", refusal.Reason, refusal.Outcome, refusal.Detail)
	_ = level.Info(p.logger).Log("event", laburnumlever.EventRefused, "request-id", q.id, "reason", refusal.Reason,
		"outcome", refusal.Outcome, "owner", q.owner, "subject", refusal.Subject, "detail", refusal.Detail)
}

func (p *Proxy) serveCompletion(w http.ResponseWriter, r *http.Request) { p.serve(w, r, p.complete) }

func (p *Proxy) complete(ctx context.Context, q *request, out *callerResponse, r *http.Request) error {
	if err := p.requireCatalogue(q); err != nil {
		return err
	}
	if err := out.readBody(p.intake, r, p.cfg.maxBody); err != nil {
		return err
	}
	err := q.readCompletion(p.lookup.Load())
	if hasReason(err, laburnumlever.RefusedUnknownModel) && p.refreshForMissing(q.received) {
		err = q.readCompletion(p.lookup.Load())
	}
	if err != nil {
		return err
	}
	p.demand.countRequest(q)
	return p.run(ctx, q, out)
}

// requireCatalogue refreshes the index and refuses the request while there is no catalogue.
func (p *Proxy) requireCatalogue(q *request) error {
	p.refresh(q.received)
	none := p.lookup.Load().view.Catalogue.Revision == 0
	if none && p.refreshForMissing(q.received) {
		none = p.lookup.Load().view.Catalogue.Revision == 0
	}
	if none {
		return q.refusal(laburnumlever.RefusedNotReady, laburnumlever.OutcomeNotRun, "no catalogue yet")
	}
	return nil
}

func hasReason(err error, reason laburnumlever.RefusalReason) bool {
	var refusal *laburnumlever.RefusalError
	return errors.As(err, &refusal) && refusal.Reason == reason
}

func (p *Proxy) serveModels(w http.ResponseWriter, _ *http.Request) {
	view := p.views.View()
	list := modelList{Object: "list", Data: make([]modelEntry, 0, len(view.Catalogue.Models))}
	for i := range view.Catalogue.Models {
		m := &view.Catalogue.Models[i]
		list.Data = append(list.Data, modelEntry{ID: string(m.Name), Object: "model", OwnedBy: string(m.Owner)})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // the caller may have disconnected
}

// modelList is the body of OpenAI's /v1/models, with OpenAI's field names.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (p *Proxy) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n") // the prober may have disconnected
}

func (p *Proxy) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := p.views.View().NotReady
	if p.active.isDraining() {
		reason = "draining"
	}
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready: "+reason+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (p *Proxy) serveNotFound(w http.ResponseWriter, r *http.Request) {
	q := newRequest(r, p.timers.Now())
	q.trace = &requestTrace{id: q.id, start: q.received}
	refusal := q.refusal(laburnumlever.RefusedBadRequest, laburnumlever.OutcomeNotRun, "no route for "+r.Method+" "+r.URL.Path)
	p.recordRefusal(q, refusal)
	writeRefusal(w, q.id, refusal)
}

// reasonFromContext returns the refusal reason for an attempt that ended without a response.
func reasonFromContext(ctx context.Context) laburnumlever.RefusalReason {
	if ctx.Err() == nil {
		return laburnumlever.RefusedBackendUnreachable
	}
	var stalled *stalledError
	var stopped *stoppedError
	cause := context.Cause(ctx)
	switch {
	case errors.As(cause, &stalled):
		return laburnumlever.RefusedDeadline
	case errors.As(cause, &stopped):
		return laburnumlever.RefusedDraining
	default:
		return laburnumlever.RefusedCallerGone
	}
}

func (o *callerResponse) timeToFirstByte() time.Duration { return o.firstByteAt.Sub(o.q.received) }
