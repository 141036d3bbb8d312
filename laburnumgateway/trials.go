package laburnumgateway

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumquarantine"
)

// trialEndDelay is the time after the crash of a server until the next trial: by then the crash is counted.
const trialEndDelay = time.Second

// TrialKeepers are the control VMs that let one copy of a request at a time run, on all gateways together.
type TrialKeepers interface {
	// BeginTrial asks for a trial. It returns the address of the control VM that answered.
	BeginTrial(ctx context.Context, q laburnumquarantine.TrialRequest) (laburnumquarantine.TrialAnswer, string, error)
	// EndTrial tells the control VM at the address that a trial has ended. It does not block.
	EndTrial(address string, e laburnumquarantine.TrialEnd)
}

// WithTrialKeepers sets the control VMs that grant trials; by default there are none.
func WithTrialKeepers(keepers TrialKeepers) FleetOption {
	return func(f *Fleet) { f.trialKeepers = keepers }
}

// noTrialKeepers are no control VMs.
type noTrialKeepers struct{}

func (noTrialKeepers) BeginTrial(context.Context, laburnumquarantine.TrialRequest) (laburnumquarantine.TrialAnswer, string, error) {
	return laburnumquarantine.TrialAnswer{}, "", &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
}

func (noTrialKeepers) EndTrial(string, laburnumquarantine.TrialEnd) {}

// requestTrial is a trial that a request holds.
type requestTrial struct {
	laburnumquarantine.TrialEnd
	// keeper is the address of the control VM that granted it; empty for one of this gateway's own.
	keeper string
}

// beginTrial refuses a request that must be alone while another copy of it is under way.
func (g *Gateway) beginTrial(ctx context.Context, q *request) error {
	f := g.fleet
	digest, part, needed := f.neededTrial(q)
	if !needed {
		return nil
	}
	if !f.reserveTrial(digest) {
		return trialRefusal(part, laburnumquarantine.TrialRetry)
	}
	ask := laburnumquarantine.TrialRequest{Digest: digest, Part: part, Hold: laburnumlever.Duration(q.remaining(g.timers.Now()))}
	// Not ended with the caller's context: the answer may hold a trial, which must be ended.
	answer, keeper, err := f.trialKeepers.BeginTrial(context.WithoutCancel(ctx), ask)
	// Without a control VM each gateway tries one copy of a request by itself, but no refused part.
	if err == nil && !answer.Granted || err != nil && part != nil {
		f.releaseTrial(digest)
		return trialRefusal(part, max(laburnumquarantine.TrialRetry, time.Duration(answer.RetryIn)))
	}
	q.trial = &requestTrial{TrialEnd: laburnumquarantine.TrialEnd{Digest: digest, Trial: answer.Trial}, keeper: keeper}
	return nil
}

func trialRefusal(part *laburnumquarantine.Part, after time.Duration) error {
	if part != nil {
		return partRefusal(part.ID, after)
	}
	return newRefusal(laburnumlever.RefusedUnderTrial, laburnumquarantine.TrialRetry,
		"several copies of the request were on backend servers that crashed; another copy is being tried")
}

// endTrial ends the request's trial, if it holds one, after an attempt.
func (g *Gateway) endTrial(q *request, fail *failure) {
	if q.trial == nil {
		return
	}
	t := *q.trial
	q.trial = nil
	end := func(time.Time) {
		g.fleet.releaseTrial(t.Digest)
		if t.keeper != "" {
			g.fleet.trialKeepers.EndTrial(t.keeper, t.TrialEnd)
		}
	}
	if fail != nil && fail.broken {
		g.timers.After(trialEndDelay, end)
		return
	}
	end(g.timers.Now())
}

// neededTrial returns of what a request must be a trial, if of anything: of a refused part, or of the request itself.
func (f *Fleet) neededTrial(q *request) (laburnumlever.RequestDigest, *laburnumquarantine.Part, bool) {
	if !f.quarantineListed.Load() {
		return laburnumlever.RequestDigest{}, nil, false
	}
	parts, digests := q.sharedParts(), q.digestsOfParts()
	f.mu.Lock()
	now := f.timers.Now()
	for i, digest := range digests {
		if f.quarantine.State(digest, now).Refused() {
			f.mu.Unlock()
			return digest, &parts[i], true
		}
	}
	f.mu.Unlock()
	return q.digest(), nil, f.mustBeAlone(q)
}

// mustBeAlone reports whether only one copy of a request may run at a time.
func (f *Fleet) mustBeAlone(q *request) bool {
	if !f.quarantineListed.Load() {
		return false
	}
	digest := q.digest()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Alone(digest) && !f.answered.Contains(digest, f.timers.Now())
}

// reserveTrial reports whether no other request of this gateway has a trial of the digest.
func (f *Fleet) reserveTrial(digest laburnumlever.RequestDigest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.trials[digest]; ok {
		return false
	}
	f.trials[digest] = struct{}{}
	return true
}

func (f *Fleet) releaseTrial(digest laburnumlever.RequestDigest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.trials, digest)
}
