package laburnumgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumregistry"

	"github.com/go-kit/log/level"
)

const (
	// slotTimeout bounds the requests for a slot at a limited backend server, as askTimeout does.
	slotTimeout = 300 * time.Millisecond
	// maxSlotRequests is the number of limited backend servers that a slot is requested at.
	maxSlotRequests = 2
	// shareRetryIn is how long no slot is requested at a backend server after no control VM answered
	// and this gateway has none by itself.
	shareRetryIn = time.Second
)

// LimitKeepers are the control VMs that grant slots at limited backend servers.
type LimitKeepers interface {
	// Reserve requests a slot at a backend server.
	Reserve(ctx context.Context, q laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error)
	// Report tells the control VM that grants slots at the backend server of a changed limit. It does
	// not block.
	Report(r laburnumlimit.Report)
	// Lease requests a lease of a brittle backend server. It returns the address of the control VM that answered.
	Lease(ctx context.Context, q laburnumconcurrency.Request) (laburnumconcurrency.Answer, string, error)
	// Return tells the control VM at the address of a lease that is no longer needed, or the keeper of the backend server
	// if the address is empty. It does not block.
	Return(to laburnumlever.Heartbeat, address string, r laburnumconcurrency.Release)
}

// WithLimitKeepers sets the control VMs that grant slots; by default there are none.
func WithLimitKeepers(keepers LimitKeepers) FleetOption {
	return func(f *Fleet) { f.keepers = keepers }
}

// noKeepers are no control VMs.
type noKeepers struct{}

func (noKeepers) Reserve(context.Context, laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error) {
	return laburnumlimit.SlotAnswer{}, &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
}

func (noKeepers) Report(laburnumlimit.Report) {}

func (noKeepers) Lease(context.Context, laburnumconcurrency.Request) (laburnumconcurrency.Answer, string, error) {
	return laburnumconcurrency.Answer{}, "", &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
}

func (noKeepers) Return(laburnumlever.Heartbeat, string, laburnumconcurrency.Release) {}

//go:generate go tool -modfile=../tools/go.mod enumer -type=slotOutcome -transform=kebab -trimprefix=slot -output=slotoutcome_gen.go

// slotOutcome is the outcome of a request for a slot at a limited backend server.
type slotOutcome int

const (
	// slotGranted is a slot that a control VM granted.
	slotGranted slotOutcome = iota
	// slotRefused is a refusal because all slots of the next time are taken.
	slotRefused
	// slotShared is a slot of the gateway's own share, as no control VM answered.
	slotShared
	// slotUnanswered is a request that no control VM answered, without a share.
	slotUnanswered
)

// observeLimit records the limit that an answer names or, if the backend server has run the request,
// that it names none: a refusal need not name it.
func (f *Fleet) observeLimit(to laburnumlever.Heartbeat, sentAt time.Time, status int, headers laburnumlever.AnswerHeaders) {
	if headers.LimitError != nil {
		_ = level.Warn(f.logger).Log("event", laburnumlever.EventLimitUnclear, "backend", to.Backend, "cause", headers.LimitError)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if headers.HasBrittle || status == http.StatusOK {
		f.observeBrittle(to, sentAt, headers)
	}
	if !headers.HasLimit && status != http.StatusOK {
		return
	}
	limit := laburnumlimit.Limit{Backend: to.Backend, Incarnation: to.Incarnation, PerSecond: headers.Limit, Ended: !headers.HasLimit}
	if f.limits.Observe(laburnumlimit.Observation{Limit: limit, SentAt: sentAt}, f.timers.Now()) {
		f.keepers.Report(laburnumlimit.Report{Limit: limit, Zone: to.Zone})
		f.limitChanged(limit)
	}
}

// applyLimits applies the limits that a control VM publishes. The caller must hold mu.
func (f *Fleet) applyLimits(limits []laburnumlimit.Limit, now time.Time) {
	for _, l := range limits {
		if f.limits.Apply(l, now) {
			f.limitChanged(l)
		}
	}
}

// limitChanged puts a limit that has changed into effect. The caller must hold mu.
func (f *Fleet) limitChanged(l laburnumlimit.Limit) {
	shown := "none"
	if !l.Ended {
		shown = strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
	}
	_ = level.Info(f.logger).Log("event", laburnumlever.EventLimitChanged, "backend", l.Backend, "limit", shown)
	f.restrict(l.Backend)
	if l.Ended {
		f.serveQueue()
		return
	}
	f.wakeQueue()
}

// restrict tells the balancer whether requests to a backend server need a slot. The caller must hold
// mu.
func (f *Fleet) restrict(id laburnumlever.BackendID) {
	if r, ok := f.registry.Record(id); ok {
		_, limited := f.limits.Limit(id, r.Heartbeat.Incarnation)
		_, brittle := f.brittle.Limit(id, r.Heartbeat.Incarnation)
		f.balance.SetLimited(id, limited || brittle)
	}
}

// updateBackend passes a changed record on. The caller must hold mu.
func (f *Fleet) updateBackend(r laburnumregistry.Record) {
	started := !f.balance.Has(r.Heartbeat.Backend, r.Heartbeat.Incarnation)
	f.balance.Set(r)
	f.returns.loads.Keep(r)
	switch {
	case r.AcceptsRequests() && started:
		f.presumeBrittle(r.Heartbeat)
	case r.AcceptsRequests():
	default:
		f.limits.Forget(r.Heartbeat.Backend)
		f.brittle.Forget(r.Heartbeat.Backend, f.timers.Now())
		f.connections.table.Forget(r.Heartbeat.Backend)
		f.wakeQueue()
	}
	f.restrict(r.Heartbeat.Backend)
}

// needsSlot reports whether a request that found no free server should request a slot at a limited
// one. The caller must hold mu.
func (f *Fleet) needsSlot(q *request, query laburnumbalance.Query, now time.Time) bool {
	return f.limits.Len()+f.brittle.Len() > 0 && !q.slotRequested && len(f.balance.LimitedServers(query, now)) > 0
}

// probesLimit reports whether a request should request a slot at a limited backend server in any case,
// to notice the end of its limit. The caller must hold mu.
func (f *Fleet) probesLimit(q *request, query laburnumbalance.Query, now time.Time) bool {
	if f.limits.Len() == 0 || q.slotRequested {
		return false
	}
	for _, s := range f.balance.LimitedServers(query, now) {
		if f.limits.Probe(s.Backend, f.gateways, rand.Float64(), now) {
			q.probes = true
			return true
		}
	}
	return false
}

// slotServers returns the limited backend servers at which it is worth while to request a slot.
func (f *Fleet) slotServers(q *request, wait time.Duration) []laburnumlever.Heartbeat {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	var servers []laburnumlever.Heartbeat
	for _, s := range f.balance.LimitedServers(f.query(q), now) {
		if len(servers) < maxSlotRequests && f.limits.RetryIn(s.Backend, wait, now) == 0 && f.brittle.MayWait(s.Backend, now) {
			servers = append(servers, s)
		}
	}
	return servers
}

// requestSlot requests a slot at the limited backend servers that could serve the request, and sets
// its permit if it gets one that is due by the given time.
func (g *Gateway) requestSlot(ctx context.Context, q *request, until time.Time) {
	q.slotRequested = true
	callerCtx := ctx
	ctx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	wait := max(0, until.Sub(g.timers.Now()))
	if q.probes {
		wait = 0
	}
	servers := g.fleet.slotServers(q, wait)
	for _, server := range servers {
		if g.probeLease(ctx, q, server) {
			return
		}
		if g.fleet.isBrittle(server) {
			continue
		}
		permit, outcome := g.fleet.requestSlotAt(ctx, server, wait)
		g.counters.slots[outcome].Inc(1)
		_ = level.Info(g.logger).Log("event", laburnumlever.EventSlotRequested, "request-id", q.caller.ID, "backend", server.Backend,
			"outcome", outcome, "in-ms", millis(permit.From.Sub(g.timers.Now())))
		if outcome == slotGranted || outcome == slotShared {
			q.permit = permit
			return
		}
	}
	g.awaitLease(callerCtx, q, servers, wait)
}

// requestSlotAt requests a slot at a limited backend server.
func (f *Fleet) requestSlotAt(ctx context.Context, to laburnumlever.Heartbeat, wait time.Duration) (laburnumbalance.Permit, slotOutcome) {
	f.mu.Lock()
	report, limited := f.limits.Report(to.Backend, to.Zone, f.timers.Now())
	f.mu.Unlock()
	if !limited {
		return laburnumbalance.Permit{}, slotGranted // the limit has just ended
	}
	answer, err := f.keepers.Reserve(ctx, laburnumlimit.SlotRequest{Gateway: f.vm, Report: report, Wait: laburnumlever.Duration(wait)})
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	switch {
	case err != nil:
		_ = level.Info(f.logger).Log("event", laburnumlever.EventSlotUnanswered, "backend", to.Backend, "cause", err)
		if f.limits.Share(to.Backend, f.gateways, now) {
			return permit(to.Backend, now, 0), slotShared
		}
		f.limits.Refused(to.Backend, wait, shareRetryIn, now)
		return laburnumbalance.Permit{}, slotUnanswered
	case answer.Granted:
		f.applyLimits([]laburnumlimit.Limit{answer.Limit}, now)
		return permit(to.Backend, now, time.Duration(answer.In)), slotGranted
	default:
		f.applyLimits([]laburnumlimit.Limit{answer.Limit}, now)
		f.limits.Refused(to.Backend, wait, time.Duration(answer.In), now)
		return laburnumbalance.Permit{}, slotRefused
	}
}

func permit(backend laburnumlever.BackendID, now time.Time, in time.Duration) laburnumbalance.Permit {
	from := now.Add(in)
	return laburnumbalance.Permit{Backend: backend, From: from, Until: from.Add(laburnumlimit.Grace)}
}

// limitedRefusal refuses a request that only limited backend servers could serve.
func (g *Gateway) limitedRefusal(q *request) error {
	after := waitPolicy.MinRetryAfter(laburnumbalance.Limited)
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	for _, s := range f.balance.LimitedServers(f.query(q), now) {
		after = max(after, f.limits.RetryIn(s.Backend, 0, now))
		if limit, ok := f.brittle.Limit(s.Backend, s.Incarnation); ok {
			return f.brittleRefusal(limit, now)
		}
	}
	return newRefusal(laburnumlever.RefusedBackendLimited, after, "the limits of all backend servers that could serve the request are used up")
}
