package laburnumgateway

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumretry"

	"github.com/go-kit/log/level"
)

// lease is a place on a brittle backend server that a request holds.
type lease struct {
	server laburnumlever.Heartbeat
	id     laburnumconcurrency.LeaseID
	// keeper is the address of the control VM that granted it; empty for a place of the gateway's own share.
	keeper string
}

// observeBrittle records what an answer tells of a backend server's brittleness. The caller must hold mu.
func (f *Fleet) observeBrittle(to laburnumlever.Heartbeat, sentAt time.Time, headers laburnumlever.AnswerHeaders) {
	limit := brittleLimit(to)
	limit.Rejections, limit.Ended = headers.Brittle, !headers.HasBrittle
	if f.brittle.Observe(laburnumconcurrency.Observation{Limit: limit, SentAt: sentAt}, f.timers.Now()) {
		f.keepers.Return(to, "", laburnumconcurrency.Release{Backend: to.Backend, Change: &limit})
		f.brittleChanged(limit)
	}
}

func brittleLimit(h laburnumlever.Heartbeat) laburnumconcurrency.Limit {
	return laburnumconcurrency.Limit{Backend: h.Backend, Service: h.Service, Incarnation: h.Incarnation, Slots: max(1, h.Slots)}
}

// applyBrittle applies what a control VM publishes. The caller must hold mu.
func (f *Fleet) applyBrittle(limits []laburnumconcurrency.Limit, now time.Time) {
	for _, l := range limits {
		if f.brittle.Apply(l, now) {
			f.brittleChanged(l)
		}
	}
}

// presumeBrittle takes a backend server that has started for brittle if others of its service are. The caller must hold mu.
func (f *Fleet) presumeBrittle(h laburnumlever.Heartbeat) {
	if f.brittle.Presumes() && f.brittle.Presume(brittleLimit(h), f.timers.Now()) {
		f.brittleChanged(brittleLimit(h))
	}
}

// brittleChanged puts a change into effect. The caller must hold mu.
func (f *Fleet) brittleChanged(l laburnumconcurrency.Limit) {
	_ = level.Info(f.logger).Log("event", laburnumlever.EventBrittleChanged, "backend", l.Backend, "brittle", !l.Ended, "rejections", l.Rejections, "slots", l.Slots)
	f.restrict(l.Backend)
	if l.Ended {
		f.serveQueue()
		return
	}
	f.wakeQueue()
}

// isBrittle reports whether requests to a backend server need a lease. Those to one that names a limit as well do not: its limit is
// far below its slots.
func (f *Fleet) isBrittle(h laburnumlever.Heartbeat) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leased(h)
}

// leased is isBrittle. The caller must hold mu.
func (f *Fleet) leased(h laburnumlever.Heartbeat) bool {
	if _, limited := f.limits.Limit(h.Backend, h.Incarnation); limited {
		return false
	}
	_, brittle := f.brittle.Limit(h.Backend, h.Incarnation)
	return brittle
}

// awaitLease waits for a lease of the best of the brittle servers whose keeper lets a call more wait.
func (g *Gateway) awaitLease(ctx context.Context, q *request, servers []laburnumlever.Heartbeat, wait time.Duration) {
	for _, server := range servers {
		if call, ok := g.fleet.beginLease(server, wait > 0); ok {
			g.requestLease(ctx, q, server, min(wait, laburnumconcurrency.MaxWait), call)
			return
		}
	}
}

// probeLease requests a lease of a brittle server, without waiting for one.
func (g *Gateway) probeLease(ctx context.Context, q *request, server laburnumlever.Heartbeat) bool {
	call, ok := g.fleet.beginLease(server, false)
	return ok && g.requestLease(ctx, q, server, 0, call)
}

// beginLease begins a call for a lease of a brittle server, unless it would be refused.
func (f *Fleet) beginLease(server laburnumlever.Heartbeat, waits bool) (*laburnumconcurrency.Call, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leased(server) {
		return nil, false
	}
	return f.brittle.Begin(server.Backend, waits, f.timers.Now())
}

// endLease ends a call for a lease.
func (f *Fleet) endLease(call *laburnumconcurrency.Call, a leaseAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.err != nil {
		f.brittle.Lost(call, f.timers.Now())
		return
	}
	f.brittle.Answered(call, a.Answer, f.timers.Now())
}

// leaseAnswer is the answer to a request for a lease.
type leaseAnswer struct {
	laburnumconcurrency.Answer
	keeper string
	err    error
}

// requestLease requests a lease of a brittle server, for which the request waits at most for the given time, and sets the
// request's permit if it gets one.
func (g *Gateway) requestLease(ctx context.Context, q *request, server laburnumlever.Heartbeat, wait time.Duration, call *laburnumconcurrency.Call) bool {
	f := g.fleet
	ask := laburnumconcurrency.Request{
		Gateway: f.vm, Limit: call.Limit(), Zone: server.Zone, Wait: laburnumlever.Duration(wait), Hold: laburnumlever.Duration(q.remaining(f.timers.Now())),
	}
	answered := make(chan leaseAnswer, 1)
	go func() {
		// Not ended with the caller's context: the answer may hold a lease, which must be returned.
		answer, keeper, err := f.keepers.Lease(context.WithoutCancel(ctx), ask)
		a := leaseAnswer{Answer: answer, keeper: keeper, err: err}
		f.endLease(call, a)
		answered <- a
	}()
	select {
	case a := <-answered:
		return g.leaseAnswered(q, server, wait, a)
	case <-ctx.Done():
		go func() {
			if a := <-answered; a.Lease != 0 {
				f.keepers.Return(server, a.keeper, laburnumconcurrency.Release{Backend: server.Backend, Lease: a.Lease})
			}
		}()
		return false
	}
}

// leaseAnswered uses the answer to a request for a lease.
func (g *Gateway) leaseAnswered(q *request, server laburnumlever.Heartbeat, wait time.Duration, a leaseAnswer) bool {
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	outcome := slotRefused
	switch {
	case a.err != nil && !f.brittle.Alone(now):
		outcome = slotUnanswered
		f.brittle.Refused(server.Backend, laburnumconcurrency.KeeperRetry, now)
	case a.err != nil && f.brittle.Share(server.Backend, f.gateways):
		outcome = slotShared
		q.lease = &lease{server: server}
	case a.err != nil:
		outcome = slotUnanswered
		f.brittle.Refused(server.Backend, shareRetryIn, now)
	case a.Granted:
		outcome = slotGranted
		f.applyBrittle([]laburnumconcurrency.Limit{a.Limit}, now)
		q.lease = &lease{server: server, id: a.Lease, keeper: a.keeper}
	default: // endLease has recorded the refusal
	}
	g.counters.countLease(outcome, wait > 0)
	_ = level.Info(g.logger).Log("event", laburnumlever.EventSlotRequested, "request-id", q.caller.ID, "backend", server.Backend, "outcome", outcome, "brittle", true, "wait-ms", millis(wait))
	if q.lease == nil {
		return false
	}
	q.permit = laburnumbalance.Permit{Backend: server.Backend, From: now, Until: now.Add(laburnumconcurrency.Grace), Leased: true}
	return true
}

// returnLease returns the request's lease, if it holds one, after an attempt with it or without one.
func (f *Fleet) returnLease(q *request, fail *failure) {
	if q.lease == nil {
		return
	}
	l := q.lease
	q.lease = nil
	if l.keeper == "" {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.brittle.EndShared(l.server.Backend)
		return
	}
	rejected := fail != nil && fail.stage == laburnumretry.StageNotRun && fail.reason == laburnumlever.RefusedBackendBusy
	f.keepers.Return(l.server, l.keeper, laburnumconcurrency.Release{Backend: l.server.Backend, Lease: l.id, Rejected: rejected})
}

// brittleRefusal refuses a request for which brittle servers have no room. The caller must hold mu.
func (f *Fleet) brittleRefusal(l laburnumconcurrency.Limit, now time.Time) error {
	after := max(waitPolicy.MinRetryAfter(laburnumbalance.Limited), f.brittle.RetryIn(l.Backend, now))
	return newRefusal(laburnumlever.RefusedBackendBrittle, after, "the backend servers that could serve the request are brittle and have no room for it")
}
