package laburnumretry

import "laburnumlever"

// maxTries bounds the attempts of a request that fail to connect.
const maxTries = 4

// Stage is how far a failed attempt got.
type Stage int

// The stages.
const (
	// StageNotSent means that no byte went out.
	StageNotSent Stage = iota
	// StageNotRun means that the backend server reports that it did not run it.
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
	// Touched tells that an earlier attempt may have run.
	Touched bool
	// Started tells that the caller has received a part of the answer.
	Started bool
	// Repeatable and Resumable are the route's.
	Repeatable, Resumable bool
	// Sends counts the attempts that were sent, Tries also those that failed to connect.
	Sends, Tries int
	// MaxSends is the route's limit of Sends.
	MaxSends int
}

// Next tells whether another attempt is safe and allowed, and whether it is charged to the
// retry budget: one that was never sent is free.
func (a Attempt) Next() (reason laburnumlever.RetryReason, charged, ok bool) {
	switch {
	case a.forbidden():
		return 0, false, false
	case a.neverSent():
		return laburnumlever.RetryNotSent, false, true
	case a.Started:
		return laburnumlever.RetryStreamResumed, true, true
	case a.Stage == StageUnknown:
		return laburnumlever.RetryIdempotentAfterSend, true, true
	default:
		return laburnumlever.RetryBackendSaidNotRun, true, true
	}
}

// neverSent tells whether no backend server has seen the request yet.
func (a Attempt) neverSent() bool { return a.Stage == StageNotSent && !a.Touched && a.Sends == 0 }

func (a Attempt) forbidden() bool {
	mayHaveRun := a.Touched || a.Stage == StageUnknown
	return a.Tries >= maxTries || a.Sends >= max(1, a.MaxSends) && !a.neverSent() ||
		a.Started && !a.Resumable || mayHaveRun && !a.Repeatable
}
