package laburnumroles

import (
	"context"
	"encoding/json"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// trialAttempts is the number of control VMs that are asked for a trial.
	trialAttempts = 2
	// trialEndRetryDelay is the time until the end of a trial that a control VM didn't answer is sent again, trialEndTime how
	// long it is sent.
	trialEndRetryDelay = 100 * time.Millisecond
	trialEndTime       = 3 * time.Second
)

// trialKeepers asks control VMs for trials of suspected requests.
type trialKeepers struct {
	calls  *keeperCalls
	logger log.Logger
	// controls returns the peer addresses of the control VMs for a request, best first.
	controls func(laburnumlever.RequestDigest) []string
}

var _ laburnumgateway.TrialKeepers = (*trialKeepers)(nil)

// BeginTrial implements laburnumgateway.TrialKeepers. Errors: *laburnumlever.NotFoundError while no control VM answers,
// and those of a call to another VM.
func (k *trialKeepers) BeginTrial(ctx context.Context, q laburnumquarantine.TrialRequest) (laburnumquarantine.TrialAnswer, string, error) {
	var err error = &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
	for _, address := range k.calls.answering(k.controls(q.Digest), trialAttempts) {
		var answer laburnumquarantine.TrialAnswer
		if err = k.calls.call(ctx, address, methodTrialBegin, q, &answer); err == nil {
			return answer, address, nil
		}
	}
	return laburnumquarantine.TrialAnswer{}, "", err
}

// EndTrial implements laburnumgateway.TrialKeepers. The end is sent until it arrives: while the trial stands, no other copy
// can show that the request is sound.
func (k *trialKeepers) EndTrial(address string, e laburnumquarantine.TrialEnd) {
	until := k.calls.timers.Now().Add(trialEndTime)
	go func() {
		for {
			var answer struct{}
			err := k.calls.call(context.Background(), address, methodTrialEnd, e, &answer)
			if err == nil {
				return
			}
			_ = level.Debug(k.logger).Log("event", laburnumlever.EventQuarantineNotReported, "address", address, "cause", err)
			if isUnknownMethod(err) || !k.calls.timers.Now().Before(until) {
				return // it ends by itself
			}
			laburnumtimer.Wait(nil, k.calls.timers, trialEndRetryDelay)
		}
	}()
}

func (q *quarantine) handleTrialBegin(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var ask laburnumquarantine.TrialRequest
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodTrialBegin, Cause: err}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.timers.Now()
	if ask.Part != nil {
		if wait := q.parts.TrialIn(*ask.Part, now); wait > 0 {
			return laburnumquarantine.TrialAnswer{RetryIn: laburnumlever.Duration(wait)}, nil
		}
	}
	return q.trials.Begin(ask, now), nil
}

func (q *quarantine) handleTrialEnd(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var end laburnumquarantine.TrialEnd
	if err := json.Unmarshal(params, &end); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodTrialEnd, Cause: err}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.trials.End(end)
	return struct{}{}, nil
}
