package laburnumgateway

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumslotqueue"
	"laburnumlever/laburnumtimer"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

const (
	drainRetryAfter    = 50 * time.Millisecond  // minimum Retry-After: another gateway can serve the request
	adapterLoadTimeout = 400 * time.Millisecond // many times the usual load time of an adapter
)

// failure is the outcome of an attempt without a complete answer.
type failure struct {
	stage  laburnumretry.Stage
	reason laburnumlever.RefusalReason
	cause  error
	// begun is set if the backend server had begun to answer.
	begun bool
	// broken is set if the backend server ended the connection, end if this VM did.
	broken bool
	end    attemptEnd
	// refused is the refusal of a request that may not be sent any more; nil for none.
	refused error
	// slotRefused is set if the engine refused the reservation because it had no free slot, unsent if the backend server must
	// not be sent anything any more, passedOver if another one should be picked since this one is slow.
	slotRefused, unsent, passedOver bool
}

// picksAgain reports whether the attempt ended before anything was sent, by what the backend server or the fleet says of it.
func (fail *failure) picksAgain() bool { return fail.slotRefused || fail.unsent || fail.passedOver }

// run makes attempts until the request is answered or refused. The error is a
// *laburnumlever.RefusalError or a *CallerGoneError.
func (g *Gateway) run(ctx context.Context, q *request, out *answer) error {
	defer g.fleet.returnLease(q, nil)
	defer g.fleet.streams.remove(q)
	if err := g.findVersion(ctx, q); err != nil {
		return err
	}
	for {
		ticket, err := g.acquire(ctx, q)
		if err != nil {
			return err
		}
		if err := g.admit(ctx, q); err != nil {
			g.fleet.cancelSlot(ticket)
			return err
		}
		fail := g.attempt(ctx, q, out, ticket)
		g.fleet.returnLease(q, fail)
		g.endTrial(q, fail)
		if fail == nil {
			return nil
		}
		if fail.refused != nil {
			return fail.refused
		}
		if fail.picksAgain() {
			q.tries-- // the request was not sent
			if !fail.passedOver {
				g.fleet.scheduleQueueRetry()
			}
			continue
		}
		g.logFailedAttempt(q, ticket, fail)
		q.avoid = append(q.avoid, ticket.Backend.Backend)
		if fail.stage == laburnumretry.StageUnknown {
			q.mayHaveRun = true
		}
		if out.started {
			q.brokenAt = out.lastAt
		}
		if reason, ok := g.shouldRetry(ctx, q, out, fail); ok {
			g.counters.retries[reason].Inc(1)
			continue
		}
		return g.refusal(ctx, fail)
	}
}

// admit decides whether a request that has a slot may be sent. The error is a *laburnumlever.RefusalError.
func (g *Gateway) admit(ctx context.Context, q *request) error {
	if err := g.beginTrial(ctx, q); err != nil {
		return err
	}
	err := g.payQuota(ctx, q)
	if err != nil {
		g.endTrial(q, nil)
	}
	return err
}

func (g *Gateway) logFailedAttempt(q *request, ticket *laburnumbalance.Ticket, fail *failure) {
	fields := []any{
		"event", laburnumlever.EventAttemptFailed, "request-id", q.caller.ID, "backend", ticket.Backend.Backend,
		"software", ticket.Backend.Software, "stage", fail.stage.String(), "reason", fail.reason, "via", q.via, "cause", fail.cause,
	}
	var status *AnswerStatusError
	if errors.As(fail.cause, &status) && status.Rest > 0 {
		fields = append(fields, "rest-ms", millis(status.Rest))
	}
	if fail.stage == laburnumretry.StageUnknown {
		fields = append(fields, "begun", fail.begun, "ended-by", fail.end, "digest", q.digest(), "parts", q.caller.SharedParts())
	}
	_ = level.Info(g.logger).Log(fields...)
}

// refusal converts a failed attempt to the error for the caller.
func (g *Gateway) refusal(ctx context.Context, fail *failure) error {
	var gone *CallerGoneError
	if errors.As(fail.cause, &gone) {
		return gone
	}
	if ctx.Err() != nil && !deadlineExceeded(ctx) {
		return &CallerGoneError{Cause: ctx.Err()}
	}
	refusal := &laburnumlever.RefusalError{Reason: fail.reason, RetryAfter: waitPolicy.MinRetryAfter(laburnumbalance.Full), Detail: fail.cause.Error()}
	if deadlineExceeded(ctx) {
		refusal.Reason, refusal.RetryAfter = laburnumlever.RefusedDeadline, 0
	}
	if fail.stage == laburnumretry.StageUnknown {
		refusal.Outcome, refusal.RetryAfter = laburnumlever.OutcomeUnknown, 0
	}
	return refusal
}

// shouldRetry decides whether to make another attempt, and why. It charges the retry budget.
func (g *Gateway) shouldRetry(ctx context.Context, q *request, out *answer, fail *failure) (laburnumlever.RetryReason, bool) {
	var gone *CallerGoneError
	if ctx.Err() != nil || errors.As(fail.cause, &gone) {
		return 0, false
	}
	if out.events > 0 && q.software == "" {
		q.obstacle = laburnumretry.ObstacleVersion // no other server is known to run the same software
		return 0, false
	}
	failed := q.attempted(fail.stage, out)
	failed.Suspect = fail.broken && g.fleet.quarantineState(q) != laburnumquarantine.Cleared
	q.obstacle = failed.Obstacle()
	reason, paid, ok := failed.Next()
	if ok && paid && !fail.end.paid() && !g.chargeRetry(q.service.Name) {
		q.obstacle = laburnumretry.ObstacleBudget
		fail.reason = laburnumlever.RefusedRetryBudget
		return 0, false
	}
	return reason, ok
}

// attempted returns the request's state after an attempt that got to a stage.
func (q *request) attempted(stage laburnumretry.Stage, out *answer) laburnumretry.Attempt {
	return laburnumretry.Attempt{
		Stage: stage, MayHaveRun: q.mayHaveRun, Started: out.started, Idempotent: q.route.Repeatable(),
		Resumable: q.route.Resumable, Sent: q.sent, Tries: q.tries, MaxSent: q.route.MaxAttempts,
	}
}

// acquire reserves a slot on a backend server. If needed, it has the adapter loaded and queues the
// request.
func (g *Gateway) acquire(ctx context.Context, q *request) (*laburnumbalance.Ticket, error) {
	start := g.timers.Now()
	until := waitPolicy.QueueDeadline(q.queueTimes())
	backoff := laburnumslotqueue.AdapterBackoff()
	g.fleet.returnLease(q, nil)
	q.permit, q.slotRequested, q.probes = laburnumbalance.Permit{}, false, false
	defer func() { q.waited += g.timers.Now().Sub(start) }()
	for {
		if err := g.checkWait(ctx, q); err != nil {
			return nil, err
		}
		ticket, verdict := g.fleet.awaitSlot(ctx, q, until)
		if err := g.fleet.refuseAfter(verdict, q); err != nil {
			g.fleet.cancelSlot(ticket)
			return nil, err
		}
		if verdict == laburnumbalance.Found {
			return ticket, nil
		}
		extended, again := g.fleet.awaitsLoad(q, verdict, until)
		if until = extended; again {
			continue
		}
		if verdict == laburnumbalance.Limited {
			if q.slotRequested {
				return nil, g.limitedRefusal(q)
			}
			g.requestSlot(ctx, q, until)
			continue
		}
		if verdict != laburnumbalance.AdapterAbsent || g.adapters == nil {
			g.countNoSlot(q, verdict)
			g.fleet.expectSlot(q, verdict)
			return nil, g.noSlotRefusal(q, verdict)
		}
		if err := g.awaitAdapter(ctx, q, until, &backoff); err != nil {
			return nil, err
		}
	}
}

// awaitAdapter has an adapter loaded and waits before the next look for a slot. The error is a *laburnumlever.RefusalError.
func (g *Gateway) awaitAdapter(ctx context.Context, q *request, until time.Time, backoff *laburnumretry.Backoff) error {
	err := g.loadAdapter(ctx, q)
	if !g.timers.Now().Before(until) {
		return adapterAbsentRefusal(err)
	}
	if ctx.Err() != nil || !laburnumtimer.Wait(ctx.Done(), g.timers, backoff.Next()) {
		return noBackendRefusal(laburnumbalance.AdapterAbsent, "the adapter was not loaded in time")
	}
	return nil
}

// checkWait returns an error if the request need not wait for a slot: its caller has left, or its stream can't go on. The error is a
// *laburnumlever.RefusalError or a *CallerGoneError.
func (g *Gateway) checkWait(ctx context.Context, q *request) error {
	if g.fleet.versionGone(q) {
		return cannotGoOn(laburnumlever.RefusedStreamVersionGone, "no backend server runs software version "+string(q.software)+", which began the stream")
	}
	return g.checkCaller(ctx, q)
}

// adapterAbsentRefusal refuses a request whose adapter was not available in time. A nil cause means
// that the adapter is loaded, but only on engines that this gateway can't connect to.
func adapterAbsentRefusal(cause error) error {
	detail := "no reachable engine holds the adapter"
	if cause != nil {
		detail = "loading the adapter failed: " + cause.Error()
	}
	return noBackendRefusal(laburnumbalance.AdapterAbsent, detail)
}

func noBackendRefusal(verdict laburnumbalance.Verdict, detail string) error {
	return newRefusal(laburnumlever.RefusedNoBackend, waitPolicy.MinRetryAfter(verdict), detail)
}

func (g *Gateway) noSlotRefusal(q *request, verdict laburnumbalance.Verdict) error {
	switch verdict {
	case laburnumbalance.Full:
		if q.lackedConnection || g.fleet.lacksConnections(q) {
			return g.connectionRefusal(q)
		}
		return newRefusal(laburnumlever.RefusedQueueFull, waitPolicy.MinRetryAfter(verdict), "all backend servers that could serve the request are full")
	case laburnumbalance.NoServer:
		return noBackendRefusal(verdict, "no backend server of the service accepts requests")
	case laburnumbalance.AdapterAbsent:
		return noBackendRefusal(verdict, "no engine holds the adapter")
	default:
		return noBackendRefusal(verdict, "no engine holds the model")
	}
}

func (g *Gateway) loadAdapter(ctx context.Context, q *request) error {
	ctx, cancel := context.WithTimeout(ctx, adapterLoadTimeout)
	defer cancel()
	ids, err := g.adapters.EnsureLoaded(ctx, laburnumlever.AdapterRequest{
		Service: q.service.Name, Model: q.caller.Model, Adapter: q.caller.Adapter, Except: g.fleet.unusableEngines(q),
	})
	if err != nil {
		return err
	}
	g.fleet.addAdapter(ids, q.caller.Model, q.caller.Adapter)
	return nil
}
