package laburnumproxy

import (
	"context"
	"net/http"
	"path"
	"strings"

	"laburnumlever"
)

const servicesPrefix = "/services/"

func (p *Proxy) serveService(w http.ResponseWriter, r *http.Request) { p.serve(w, r, p.callService) }

// callService forwards a call to a plain service.
func (p *Proxy) callService(ctx context.Context, q *request, out *callerResponse, r *http.Request) error {
	if err := p.requireCatalogue(q); err != nil {
		return err
	}
	l := p.lookup.Load()
	servicePath, err := q.readService(l, r)
	if hasReason(err, laburnumlever.RefusedUnknownService) && p.refreshForMissing(q.received) {
		l = p.lookup.Load()
		servicePath, err = q.readService(l, r)
	}
	if err != nil {
		return err
	}
	if err := out.readBody(p.intake, r, p.cfg.maxBody); err != nil {
		return err
	}
	if !l.services[q.service].IsNonIdempotent(q.method, servicePath) {
		return p.run(ctx, q, out)
	}
	q.atMostOnce = true
	// The call continues when its caller disconnects: it may already run, and only its
	// response tells the outcome. abort still cancels it.
	ctx = detachContext(ctx, out.active)
	if q.header.Get(headerIdempotencyKey) == "" {
		return p.run(ctx, q, out)
	}
	return p.claimAndRun(ctx, q, out)
}

// readService finds the service and the path below it. It refuses a path that a backend
// server may resolve differently: "/x/../bookings" would be taken for an idempotent call.
func (q *request) readService(l *lookup, r *http.Request) (string, error) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicesPrefix), "/")
	q.service = laburnumlever.ServiceName(name)
	service := l.services[q.service]
	if service == nil {
		return "", q.refusal(laburnumlever.RefusedUnknownService, laburnumlever.OutcomeNotRun, "no such service in the catalogue")
	}
	q.owner = service.Owner
	q.class = l.class(service.Class)
	q.limits = service.Limits
	q.ownerLimits = l.limits(service.Owner)
	plain := "/" + rest
	if clean := path.Clean(plain); clean != plain && clean+"/" != plain {
		return "", q.refusal(laburnumlever.RefusedBadRequest, laburnumlever.OutcomeNotRun, "the path is not in canonical form")
	}
	_, escaped, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	q.path = "/" + escaped
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	return plain, nil
}

// detachContext returns a context that only abort cancels.
func detachContext(ctx context.Context, f *activeRequest) context.Context {
	free, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	f.replaceCancel(cancel)
	return free
}
