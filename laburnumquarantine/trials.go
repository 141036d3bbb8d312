package laburnumquarantine

import (
	"maps"
	"math/rand/v2"
	"time"

	"laburnumlever"
)

const (
	// MaxTrial bounds a trial that nobody ends.
	MaxTrial = 10 * time.Second
	// TrialRetry is the time after which it is worth while to ask again for a trial.
	TrialRetry = time.Second
	// maxTrials bounds the trials at once.
	maxTrials = 4096
	// firstTrials is the number of ids at which a keeper may begin.
	firstTrials = 1 << 62
)

// TrialRequest asks whether a copy of a request may be sent now.
type TrialRequest struct {
	Digest laburnumlever.RequestDigest `json:"digest"`
	// Hold is how long the copy may run.
	Hold laburnumlever.Duration `json:"hold"`
	// Part is set for a trial of a refused part; the digest is the part's.
	Part *Part `json:"part,omitempty"`
}

// TrialAnswer answers a TrialRequest. Without a trial another copy is under way.
type TrialAnswer struct {
	Granted bool   `json:"granted,omitempty"`
	Trial   uint64 `json:"trial,omitempty"`
	// RetryIn is the time until the next trial of a part that was refused one.
	RetryIn laburnumlever.Duration `json:"retry-in,omitempty"`
}

// TrialEnd ends a trial.
type TrialEnd struct {
	Digest laburnumlever.RequestDigest `json:"digest"`
	Trial  uint64                      `json:"trial"`
}

// Trials lets one copy of a request that must be alone run at a time.
type Trials struct {
	running map[laburnumlever.RequestDigest]trial
	last    uint64
}

type trial struct {
	id    uint64
	until time.Time
}

// NewTrials returns a keeper that knows of no trial. Its ids begin at random: the ends of an earlier one's trials may still come.
func NewTrials() *Trials {
	return &Trials{running: map[laburnumlever.RequestDigest]trial{}, last: rand.Uint64N(firstTrials)}
}

// Begin begins a trial, unless one is under way.
func (t *Trials) Begin(q TrialRequest, now time.Time) TrialAnswer {
	if len(t.running) >= maxTrials {
		maps.DeleteFunc(t.running, func(_ laburnumlever.RequestDigest, r trial) bool { return !now.Before(r.until) })
	}
	if now.Before(t.running[q.Digest].until) || len(t.running) >= maxTrials {
		return TrialAnswer{}
	}
	t.last++
	t.running[q.Digest] = trial{id: t.last, until: now.Add(max(0, min(MaxTrial, time.Duration(q.Hold))))}
	return TrialAnswer{Granted: true, Trial: t.last}
}

// End ends a trial, unless a later one is under way.
func (t *Trials) End(e TrialEnd) {
	if t.running[e.Digest].id == e.Trial {
		delete(t.running, e.Digest)
	}
}
