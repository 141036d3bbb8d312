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
	// than a leader election takes, shorter than callers usually wait.
	claimTimeout = 3 * time.Second
	// recordTimeout bounds the wait for the log before the response is sent.
	recordTimeout = 5 * time.Second
	// maxRecordedBody is the longest response body recorded for resends, in bytes.
	maxRecordedBody = 64 << 10
)

// claimAndRun claims the call's idempotency key in the replicated state, runs the call and
// records its outcome. If the VM fails in between, the claim has no recorded response; a
// resend then gets outcome-unknown and is not run.
func (p *Proxy) claimAndRun(ctx context.Context, q *request, out *callerResponse) error {
	err := p.claim(ctx, q)
	if result, rejected := laburnumlever.Rejection(err); rejected {
		return p.answerResend(q, out, result)
	}
	if err != nil {
		return err
	}
	q.trace.add(p.timers.Now(), "claimed its idempotency key")
	recorded := false
	out.record = func(response *laburnumlever.RecordedAnswer) {
		recorded = true
		if response != nil && len(response.Body) > maxRecordedBody {
			response = nil
		}
		p.record(ctx, q, laburnumlever.OutcomeAnswered, response)
	}
	err = p.run(ctx, q, out)
	if err != nil && !recorded {
		p.record(ctx, q, q.failureOutcome(err), nil)
	}
	return err
}

// claim proposes the claim. Keys are scoped to the caller's credentials: two callers
// that use the same key must never get each other's responses. Errors: *laburnumlever.CommandRejectedError for
// a key that is claimed already, *laburnumlever.RefusalError.
func (p *Proxy) claim(ctx context.Context, q *request) error {
	if !p.breaker.allow(p.timers.Now()) {
		return p.noQuorum(q, "the log was unreachable at the last attempt")
	}
	limited, cancel := p.withTimeout(ctx, claimTimeout)
	defer cancel()
	q.claimID = uuid.NewString()
	_, err := p.proposer.Propose(limited, laburnumlever.Command{
		Kind: laburnumlever.CommandClaimRequest,
		Claim: &laburnumlever.ClaimRequest{
			Owner: q.owner, Service: q.service, Key: q.claimKey(), Digest: q.digest(),
			VM: p.views.View().Self.ID, At: p.timers.Now().UnixMilli(), Claim: q.claimID,
		},
	})
	_, rejected := laburnumlever.Rejection(err)
	if ctx.Err() == nil { // a disconnected caller is no evidence about the log
		p.breaker.record(p.timers.Now(), err == nil || rejected)
	}
	if err == nil || rejected {
		return err
	}
	// The call has not been forwarded and is refused below, so its outcome is not-run, even if
	// the claim is applied after all. In that case the release frees the key for a resend.
	var unknown *laburnumlever.OutcomeUnknownError
	if errors.As(err, &unknown) {
		p.releaseInBackground(p.recordCommand(q, laburnumlever.OutcomeNotRun, nil))
	}
	return p.noQuorum(q, err.Error())
}

func (p *Proxy) noQuorum(q *request, why string) error {
	refusal := q.refusal(laburnumlever.RefusedNoQuorum, laburnumlever.OutcomeNotRun, "claiming the idempotency key failed: "+why)
	refusal.RetryAfter = shortRetryAfter
	return refusal
}

func (q *request) claimKey() string {
	return q.credentialsHash + "/" + q.header.Get(headerIdempotencyKey)
}

// digest identifies a call's content, to detect another call under the same key.
func (q *request) digest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(q.method + " " + q.path + "\n") // writing to a hash never fails
	_, _ = d.Write(q.body)
	return d.Sum64()
}

// answerResend answers a resend from the state of the existing claim.
func (p *Proxy) answerResend(q *request, out *callerResponse, result laburnumlever.Result) error {
	switch result.Code {
	case laburnumlever.ResultAnswered:
		return p.writeRecordedAnswer(q, out, result)
	case laburnumlever.ResultClaimed:
		return p.refuseInProgress(q, result.Holder)
	case laburnumlever.ResultMismatch:
		return q.refusal(laburnumlever.RefusedKeyMismatch, laburnumlever.OutcomeNotRun, "the idempotency key was already used for a different call")
	case laburnumlever.ResultFull:
		return q.refusal(laburnumlever.RefusedQueueFull, laburnumlever.OutcomeNotRun, "the table of claims, or the owner's share of it, is full")
	default:
		return q.refusal(laburnumlever.RefusedNoQuorum, laburnumlever.OutcomeNotRun, "the claim was rejected: "+result.Code.String()+" "+result.Detail)
	}
}

// writeRecordedAnswer writes the recorded response, or refuses if none was recorded.
func (p *Proxy) writeRecordedAnswer(q *request, out *callerResponse, result laburnumlever.Result) error {
	if result.Outcome != laburnumlever.OutcomeAnswered || result.Answer == nil {
		return q.refusal(laburnumlever.RefusedOutcomeUnknown, laburnumlever.OutcomeUnknown,
			"the call may have been sent before, but its response is not recorded; it is not run again")
	}
	q.trace.add(p.timers.Now(), "answered from the recorded response")
	p.counters.fromRecord.Inc(1)
	return out.writeRecorded(result.Answer)
}

// refuseInProgress refuses a resend whose first call has no recorded response yet. If the VM
// that holds the claim is down, none will follow and the outcome is unknown.
func (p *Proxy) refuseInProgress(q *request, holder laburnumlever.VMID) error {
	if holder != "" && !p.isUp(holder) {
		return q.refusal(laburnumlever.RefusedOutcomeUnknown, laburnumlever.OutcomeUnknown,
			"the VM that claimed the idempotency key is down; the call is not run again")
	}
	return q.refusal(laburnumlever.RefusedKeyInProgress, laburnumlever.OutcomeUnknown, "the first call with this idempotency key has no recorded response yet")
}

func (p *Proxy) isUp(id laburnumlever.VMID) bool {
	for _, vm := range p.views.View().VMs {
		if vm.ID == id {
			return vm.State == laburnumlever.VMAlive || vm.State == laburnumlever.VMSuspect
		}
	}
	return p.views.View().Self.ID == id
}

// record writes the outcome of a claimed call to the replicated state. If that fails, the
// claim has no recorded response and a resend is refused with an unknown outcome.
func (p *Proxy) record(ctx context.Context, q *request, outcome laburnumlever.RequestOutcome, response *laburnumlever.RecordedAnswer) {
	ctx, cancel := p.withTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if outcome == laburnumlever.OutcomeAnswered && response == nil {
		outcome = laburnumlever.OutcomeUnknown // the response is too long to be recorded
	}
	_, err := p.proposer.Propose(ctx, p.recordCommand(q, outcome, response))
	if err != nil && !recordedBefore(err, outcome) {
		p.counters.recordsFailed.Inc(1)
		_ = level.Warn(p.logger).Log("event", laburnumlever.EventAnswerNotRecorded, "request-id", q.id, "err", err)
	}
}

// recordedBefore reports whether a record was rejected since the same one came before: the log repeats a command whose
// answer was lost.
func recordedBefore(err error, outcome laburnumlever.RequestOutcome) bool {
	result, rejected := laburnumlever.Rejection(err)
	if outcome == laburnumlever.OutcomeNotRun {
		return rejected && result.Code == laburnumlever.ResultUnknown
	}
	return rejected && result.Code == laburnumlever.ResultAnswered && result.Outcome == outcome
}

func (p *Proxy) recordCommand(q *request, outcome laburnumlever.RequestOutcome, response *laburnumlever.RecordedAnswer) laburnumlever.Command {
	return laburnumlever.Command{
		Kind: laburnumlever.CommandRecordAnswer,
		Answer: &laburnumlever.RecordAnswer{
			Service: q.service, Owner: q.owner, Key: q.claimKey(), VM: p.views.View().Self.ID, Claim: q.claimID,
			Outcome: outcome, Answer: response,
		},
	}
}

// failureOutcome returns the outcome to record for a call that failed.
func (q *request) failureOutcome(err error) laburnumlever.RequestOutcome {
	if q.maybeSent {
		return laburnumlever.OutcomeUnknown
	}
	return q.asRefusal(err).Outcome
}

// withTimeout is context.WithTimeout with the proxy's timers.
func (p *Proxy) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := p.timers.After(d, func(time.Time) { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// writeRecorded writes a recorded response to the caller.
func (o *callerResponse) writeRecorded(a *laburnumlever.RecordedAnswer) error {
	o.started = true
	o.firstByteAt = o.timers.Now()
	for name, value := range a.Header {
		o.w.Header().Set(name, value)
	}
	o.w.WriteHeader(a.Status)
	return o.write(a.Body)
}
