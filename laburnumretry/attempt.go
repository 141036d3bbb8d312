package laburnumretry

import "laburnumlever"

// maxTries is the limit of a request's attempts, including those that failed to connect.
const maxTries = 4

// Stage is how far a failed attempt got.
type Stage int

// The stages.
const (
	// StageNotSent means that no byte of the request was sent.
	StageNotSent Stage = iota
	// StageNotRun means that the backend server reports that it did not run the request.
	StageNotRun
	// StageUnknown means that the request may have run.
	StageUnknown
)

// String returns the name of the stage for logs.
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

// Attempt is the last, failed attempt of a request, and the request's state after it.
type Attempt struct {
	// Stage is how far the last attempt got.
	Stage Stage
	// MayHaveRun tells that an earlier attempt may have run.
	MayHaveRun bool
	// Started tells that the caller has received a part of the answer.
	Started bool
	// Idempotent and Resumable are properties of the route.
	Idempotent, Resumable bool
	// Sent counts the attempts that were sent, Tries also those that failed to connect.
	Sent, Tries int
	// MaxSent is the route's limit of Sent.
	MaxSent int
	// Suspect tells that the request may have crashed the backend server, as it did others before.
	Suspect bool
}

//go:generate go tool -modfile=../tools/go.mod enumer -type=Obstacle -transform=kebab -trimprefix=Obstacle -text -output=obstacle_gen.go

// Obstacle is why a request is not attempted again.
type Obstacle int

// The obstacles.
const (
	// ObstacleNone means that another attempt is safe and allowed.
	ObstacleNone Obstacle = iota
	// ObstacleSuspect means that the request may crash servers.
	ObstacleSuspect
	// ObstacleTries means that too many attempts were made.
	ObstacleTries
	// ObstacleSends means that the route allows no more servers.
	ObstacleSends
	// ObstacleStarted means that the caller has a part of an answer that can't be resumed.
	ObstacleStarted
	// ObstacleMayHaveRun means that the request may have run, and must not run again.
	ObstacleMayHaveRun
	// ObstacleBudget means that the retry budget is used up.
	ObstacleBudget
	// ObstacleVersion means that the software version that began the stream is not known.
	ObstacleVersion
)

// Next tells whether another attempt is safe and allowed, and whether it is charged to the
// retry budget: a request that was never sent is retried free of charge.
func (a Attempt) Next() (reason laburnumlever.RetryReason, charged, ok bool) {
	switch {
	case a.Obstacle() != ObstacleNone:
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

// neverSent tells whether no backend server has received the request yet.
func (a Attempt) neverSent() bool { return a.Stage == StageNotSent && !a.MayHaveRun && a.Sent == 0 }

// Obstacle returns why another attempt is unsafe or not allowed, apart from the retry budget.
func (a Attempt) Obstacle() Obstacle {
	mayHaveRun := a.MayHaveRun || a.Stage == StageUnknown
	switch {
	case a.Suspect:
		return ObstacleSuspect
	case a.Tries >= maxTries:
		return ObstacleTries
	case a.Sent >= max(1, a.MaxSent) && !a.neverSent():
		return ObstacleSends
	case a.Started && !a.Resumable:
		return ObstacleStarted
	case mayHaveRun && !a.Idempotent:
		return ObstacleMayHaveRun
	default:
		return ObstacleNone
	}
}
