package laburnumgateway

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumtimer"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

const (
	// noBackendRetry is when it is worth asking again where nothing can do the
	// request: a load from an engine's disk takes about that long.
	noBackendRetry = time.Second
	// drainRetry sends callers of a VM that ends to another at once.
	drainRetry = 50 * time.Millisecond
	// fullRetry is when a place may be free again where all are taken.
	fullRetry = 500 * time.Millisecond
	// adapterWait bounds the wait for an adapter, which is loaded in some ten
	// milliseconds; beyond it something is wrong.
	adapterWait = 400 * time.Millisecond
	// adapterPause is between two questions for an adapter: a place for one comes
	// free when an engine has loaded a model, or another adapter falls out of use.
	adapterPause = 2 * time.Millisecond
)

// failure is an attempt that brought no whole answer.
type failure struct {
	stage  laburnumretry.Stage
	reason laburnumlever.RefusalReason
	cause  error
	// taken tells that the engine had no place when it was asked for one first.
	taken bool
}

// run attempts the request until it is answered or given up. The error is a
// *laburnumlever.RefusalError or a *CallerGoneError.
func (g *Gateway) run(ctx context.Context, q *request, out *answer) error {
	for {
		ticket, err := g.place(ctx, q)
		if err != nil {
			return err
		}
		fail := g.try(ctx, q, out, ticket)
		if fail == nil {
			return nil
		}
		if fail.taken {
			// Nothing went wrong and nothing was sent: it is no try, and the next place may
			// be anywhere.
			q.tries--
			g.timers.After(takenRetry, func(time.Time) { g.fleet.retryWaiting() })
			continue
		}
		_ = level.Info(g.logger).Log("event", laburnumlever.EventAttemptFailed, "request-id", q.caller.ID, "backend", ticket.Backend.Backend,
			"stage", fail.stage.String(), "reason", fail.reason, "cause", fail.cause)
		q.avoid = append(q.avoid, ticket.Backend.Backend)
		if fail.stage == laburnumretry.StageUnknown {
			q.touched = true
		}
		if out.started {
			q.brokeAt = out.lastAt
		}
		if reason, ok := g.again(ctx, q, out, fail); ok {
			g.counters.retries[reason].Inc(1)
			continue
		}
		return g.refusal(ctx, fail)
	}
}

// refusal is what a failed attempt means for the caller.
func (g *Gateway) refusal(ctx context.Context, fail *failure) error {
	var gone *CallerGoneError
	if errors.As(fail.cause, &gone) {
		return gone
	}
	if ctx.Err() != nil && !expired(ctx) {
		return &CallerGoneError{Cause: ctx.Err()}
	}
	refusal := &laburnumlever.RefusalError{Reason: fail.reason, RetryAfter: fullRetry, Detail: fail.cause.Error()}
	if expired(ctx) {
		refusal.Reason, refusal.RetryAfter = laburnumlever.RefusedDeadline, 0
	}
	if fail.stage == laburnumretry.StageUnknown {
		refusal.Outcome, refusal.RetryAfter = laburnumlever.OutcomeUnknown, 0
	}
	return refusal
}

// again tells whether another attempt is to be made, and pays for it.
func (g *Gateway) again(ctx context.Context, q *request, out *answer, fail *failure) (laburnumlever.RetryReason, bool) {
	var gone *CallerGoneError
	if ctx.Err() != nil || errors.As(fail.cause, &gone) {
		return 0, false
	}
	reason, paid, ok := laburnumretry.Attempt{
		Stage: fail.stage, Touched: q.touched, Started: out.started, Repeatable: q.route.Repeatable(),
		Resumable: q.route.Resumable, Sends: q.sends, Tries: q.tries, MaxSends: q.route.MaxAttempts,
	}.Next()
	if ok && paid && !g.mayRepeat(q) {
		fail.reason = laburnumlever.RefusedRetryBudget
		return 0, false
	}
	return reason, ok
}

// place finds a backend server, waiting for a place and having an adapter loaded if
// need be.
func (g *Gateway) place(ctx context.Context, q *request) (*laburnumbalance.Ticket, error) {
	start := g.timers.Now()
	until := waitTerms.WaitUntil(q.times())
	defer func() { q.waited += g.timers.Now().Sub(start) }()
	for {
		ticket, verdict := g.fleet.await(ctx, q, until)
		if verdict == laburnumbalance.Found {
			return ticket, nil
		}
		if verdict != laburnumbalance.AdapterAbsent || g.adapters == nil {
			return nil, noPlace(verdict)
		}
		err := g.needAdapter(ctx, q)
		if !g.timers.Now().Before(until) {
			return nil, adapterAbsent(err)
		}
		if ctx.Err() != nil || !laburnumtimer.Wait(ctx.Done(), g.timers, adapterPause) {
			return nil, refuse(laburnumlever.RefusedNoBackend, noBackendRetry, "adapter not there in time")
		}
	}
}

// adapterAbsent is a refusal for want of an adapter; the cause is nil where an engine has
// it that can't be reached from here.
func adapterAbsent(cause error) error {
	detail := "no engine that can be reached holds the adapter"
	if cause != nil {
		detail = "adapter: " + cause.Error()
	}
	return refuse(laburnumlever.RefusedNoBackend, noBackendRetry, detail)
}

func noPlace(verdict laburnumbalance.Verdict) error {
	switch verdict {
	case laburnumbalance.Full:
		return refuse(laburnumlever.RefusedQueueFull, fullRetry, "all backend servers that could do it are full")
	case laburnumbalance.NoServer:
		return refuse(laburnumlever.RefusedNoBackend, noBackendRetry, "no backend server of the service takes work")
	case laburnumbalance.AdapterAbsent:
		return refuse(laburnumlever.RefusedNoBackend, noBackendRetry, "no engine holds the adapter")
	default:
		return refuse(laburnumlever.RefusedNoBackend, noBackendRetry, "no engine holds the model")
	}
}

func (g *Gateway) needAdapter(ctx context.Context, q *request) error {
	ctx, cancel := context.WithTimeout(ctx, adapterWait)
	defer cancel()
	ids, err := g.adapters.Need(ctx, laburnumlever.AdapterNeed{
		Service: q.service.Name, Model: q.caller.Model, Adapter: q.caller.Adapter, Except: g.fleet.useless(q),
	})
	if err != nil {
		return err
	}
	g.fleet.added(ids, q.caller.Model, q.caller.Adapter)
	return nil
}
