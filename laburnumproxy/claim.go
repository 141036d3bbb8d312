package laburnumproxy

import (
	"context"
	"time"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
)

const (
	// claimTimeout bounds the wait for the log before a call is forwarded: longer
	// than a change of leader takes, shorter than a caller's patience.
	claimTimeout = 3 * time.Second
	// recordTimeout bounds the wait for the log before the answer goes out.
	recordTimeout = 5 * time.Second
	// maxRecordedBody is the longest answer that is kept for resends, in bytes.
	maxRecordedBody = 64 << 10
)

// claimAndRun claims the one run of a call in the replicated state, then runs it
// and records what became of it. A VM that dies in between leaves the claim
// without an answer, and a resend is told so and not run.
func (p *Proxy) claimAndRun(ctx context.Context, q *request, out *callerResponse) error {
	result, err := p.claim(ctx, q)
	if err != nil {
		return err
	}
	if result.Code != laburnumlever.ResultOK {
		return p.answerResend(q, out, result)
	}
	q.trace.add(p.timers.Now(), "claimed under its idempotency key")
	recorded := false
	out.record = func(whole *laburnumlever.RecordedAnswer) {
		recorded = true
		if whole != nil && len(whole.Body) > maxRecordedBody {
			whole = nil
		}
		p.record(ctx, q, laburnumlever.OutcomeAnswered, whole)
	}
	err = p.run(ctx, q, out)
	if err != nil && !recorded {
		p.record(ctx, q, q.failureOutcome(err), nil)
	}
	return err
}

// claim proposes the claim. The key is kept apart for each caller's credentials:
// two callers that use the same key must never get each other's answers.
func (p *Proxy) claim(ctx context.Context, q *request) (laburnumlever.Result, error) {
	if !p.breaker.allow(p.timers.Now()) {
		return laburnumlever.Result{}, p.noQuorum(q, "the log has not been in reach since the last try")
	}
	limited, cancel := p.withTimeout(ctx, claimTimeout)
	defer cancel()
	q.claimID = uuid.NewString()
	result, err := p.proposer.Propose(limited, laburnumlever.Command{
		Kind: laburnumlever.CommandClaimRequest,
		Claim: &laburnumlever.ClaimRequest{
			Owner: q.owner, Service: q.service, Key: q.claimKey(), Digest: q.digest(),
			VM: p.views.View().Self.ID, At: p.timers.Now().UnixMilli(), Claim: q.claimID,
		},
	})
	if ctx.Err() == nil { // a caller that went away says nothing about the log
		p.breaker.record(p.timers.Now(), err == nil)
	}
	if err == nil {
		return result, nil
	}
	// Whatever became of the claim, the call itself was not forwarded and now never
	// will be under it, so not-run is true.
	var unknown *laburnumlever.OutcomeUnknownError
	if errors.As(err, &unknown) {
		p.releaseInBackground(p.recordCommand(q, laburnumlever.OutcomeNotRun, nil))
	}
	return result, p.noQuorum(q, err.Error())
}

func (p *Proxy) noQuorum(q *request, why string) error {
	refusal := q.refusal(laburnumlever.RefusedNoQuorum, laburnumlever.OutcomeNotRun, "the call could not be claimed: "+why)
	refusal.RetryAfter = shortRetryAfter
	return refusal
}

func (q *request) claimKey() string {
	return q.credentialsHash + "/" + q.header.Get(headerIdempotencyKey)
}

// digest tells two calls under the same key apart.
func (q *request) digest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(q.method + " " + q.path + "\n") // a hash takes everything
	_, _ = d.Write(q.body)
	return d.Sum64()
}

// answerResend answers a resend from what is recorded.
func (p *Proxy) answerResend(q *request, out *callerResponse, result laburnumlever.Result) error {
	switch result.Code {
	case laburnumlever.ResultAnswered:
		return p.writeRecordedAnswer(q, out, result)
	case laburnumlever.ResultClaimed:
		return p.refuseInProgress(q, result.Holder)
	case laburnumlever.ResultMismatch:
		return q.refusal(laburnumlever.RefusedKeyMismatch, laburnumlever.OutcomeNotRun, "the key was used before with another call")
	case laburnumlever.ResultFull:
		return q.refusal(laburnumlever.RefusedQueueFull, laburnumlever.OutcomeNotRun, "no room for another claim")
	default:
		return q.refusal(laburnumlever.RefusedNoQuorum, laburnumlever.OutcomeNotRun, "the claim was refused: "+result.Code.String()+" "+result.Detail)
	}
}

// writeRecordedAnswer gives the recorded answer.
func (p *Proxy) writeRecordedAnswer(q *request, out *callerResponse, result laburnumlever.Result) error {
	if result.Outcome != laburnumlever.OutcomeAnswered || result.Answer == nil {
		return q.refusal(laburnumlever.RefusedOutcomeUnknown, laburnumlever.OutcomeUnknown,
			"the call was sent once and its answer is not known; it is not run again")
	}
	q.trace.add(p.timers.Now(), "answered from the record")
	p.counters.fromRecord.Inc(1)
	return out.writeRecorded(result.Answer)
}

// refuseInProgress answers a resend whose first call has no answer yet. If the VM that
// runs it is gone, no answer will come: the call may have run.
func (p *Proxy) refuseInProgress(q *request, holder laburnumlever.VMID) error {
	if holder != "" && !p.isUp(holder) {
		return q.refusal(laburnumlever.RefusedOutcomeUnknown, laburnumlever.OutcomeUnknown,
			"the VM that sent the call is gone; it is not run again")
	}
	return q.refusal(laburnumlever.RefusedKeyInProgress, laburnumlever.OutcomeUnknown, "the call is being run")
}

func (p *Proxy) isUp(id laburnumlever.VMID) bool {
	for _, vm := range p.views.View().VMs {
		if vm.ID == id {
			return vm.State == laburnumlever.VMAlive || vm.State == laburnumlever.VMSuspect
		}
	}
	return p.views.View().Self.ID == id
}

// record tells the replicated state what became of a claimed call. A failure to
// record leaves the claim without an answer, which a resend is told as unknown.
func (p *Proxy) record(ctx context.Context, q *request, outcome laburnumlever.RequestOutcome, whole *laburnumlever.RecordedAnswer) {
	ctx, cancel := p.withTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if outcome == laburnumlever.OutcomeAnswered && whole == nil {
		outcome = laburnumlever.OutcomeUnknown // too long to be kept
	}
	_, err := p.proposer.Propose(ctx, p.recordCommand(q, outcome, whole))
	if err != nil {
		p.counters.recordsFailed.Inc(1)
		_ = level.Warn(p.logger).Log("event", laburnumlever.EventAnswerNotRecorded, "request-id", q.id, "err", err)
	}
}

func (p *Proxy) recordCommand(q *request, outcome laburnumlever.RequestOutcome, whole *laburnumlever.RecordedAnswer) laburnumlever.Command {
	return laburnumlever.Command{
		Kind: laburnumlever.CommandRecordAnswer,
		Answer: &laburnumlever.RecordAnswer{
			Service: q.service, Owner: q.owner, Key: q.claimKey(), VM: p.views.View().Self.ID, Claim: q.claimID,
			Outcome: outcome, Answer: whole,
		},
	}
}

// failureOutcome is what may be recorded of a call that failed.
func (q *request) failureOutcome(err error) laburnumlever.RequestOutcome {
	if q.maybeSent {
		return laburnumlever.OutcomeUnknown
	}
	return q.asRefusal(err).Outcome
}

// withTimeout is context.WithTimeout on the timer service.
func (p *Proxy) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := p.timers.After(d, func(time.Time) { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// writeRecorded gives a kept answer to the caller.
func (o *callerResponse) writeRecorded(a *laburnumlever.RecordedAnswer) error {
	o.started = true
	o.firstByteAt = o.timers.Now()
	for name, value := range a.Header {
		o.w.Header().Set(name, value)
	}
	o.w.WriteHeader(a.Status)
	return o.write(a.Body)
}
