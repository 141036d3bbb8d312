package laburnumretry

import "laburnumlever"

// maxTries bounds the attempts of one request that reach nobody: each costs a dial
// timeout at most.
const maxTries = 4

// Stage is how far a failed attempt came.
type Stage int

// The stages.
const (
	// StageNotSent means that no byte went out.
	StageNotSent Stage = iota
	// StageNotRun means that the backend server says that it did not run it.
	StageNotRun
	// StageUnknown means that it may have run.
	StageUnknown
)

// String names the stage in logs.
func (s Stage) String() string {
	switch s {
	case StageNotSent:
		return "not-sent"
	case StageNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Attempt is a request of a route whose last attempt has failed.
type Attempt struct {
	Stage Stage
	// Touched tells that an attempt before may have run.
	Touched bool
	// Started tells that the caller has a part of the answer.
	Started bool
	// Repeatable and Resumable are the route's.
	Repeatable, Resumable bool
	// Sends counts the backend servers that it was sent to, Tries also those that
	// could not be reached.
	Sends, Tries int
	// MaxSends is the route's bound on Sends.
	MaxSends int
}

// Next tells whether another attempt would be true and allowed, and whether the
// budget has to pay for it: an attempt that was never sent has cost nobody
// anything.
func (a Attempt) Next() (reason laburnumlever.RetryReason, paid, ok bool) {
	switch {
	case a.forbidden():
		return 0, false, false
	case a.unsent():
		return laburnumlever.RetryNotSent, false, true
	case a.Started:
		return laburnumlever.RetryStreamResumed, true, true
	case a.Stage == StageUnknown:
		return laburnumlever.RetryIdempotentAfterSend, true, true
	default:
		return laburnumlever.RetryBackendSaidNotRun, true, true
	}
}

// unsent tells whether no backend server has seen the request yet.
func (a Attempt) unsent() bool { return a.Stage == StageNotSent && !a.Touched && a.Sends == 0 }

func (a Attempt) forbidden() bool {
	mayHaveRun := a.Touched || a.Stage == StageUnknown
	return a.Tries >= maxTries || a.Sends >= max(1, a.MaxSends) && !a.unsent() ||
		a.Started && !a.Resumable || mayHaveRun && !a.Repeatable
}
