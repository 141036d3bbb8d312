// Package laburnumretry decides whether a failed attempt is retried.
//
// Load pattern: backend servers fail because they are overloaded. Without a limit retries
// multiply the load when there is least capacity, so that a short overload lasts. A retry
// budget is a share of the traffic: each first attempt adds a tenth of a retry, each retry
// takes one. A request has at most three attempts, and retries add nothing.
//
// # Usage
//
//	budget := laburnumretry.NewBudget()
//	budget.FirstAttempt()
//	reason, verdict := budget.Decide(laburnumretry.Situation{…})
//	if verdict == laburnumretry.Again { … }
//
// A Budget is not safe for concurrent use. It needs no clock.
package laburnumretry

import "laburnumlever"

const (
	// earnedPerRequest is the share of a retry that a first attempt adds.
	earnedPerRequest = 0.1
	// maxBalance bounds a burst of retries after a quiet time.
	maxBalance = 20
	// initialBalance covers the failure of one server right after a start.
	initialBalance = 5
	// maxAttempts of one request, the first included.
	maxAttempts = 3
)

// Verdict is what to do after a failed attempt.
type Verdict int

// The verdicts.
const (
	// GiveUp means that another attempt is not allowed or useless.
	GiveUp Verdict = iota
	// Again means that another attempt may be made; it has been charged.
	Again
	// OverBudget means that only the budget forbids another attempt.
	OverBudget
)

// Situation is a request with a failed attempt.
type Situation struct {
	Reason  laburnumlever.RefusalReason
	Outcome laburnumlever.RequestOutcome
	// Once tells that the request may run at most once.
	Once bool
	// Started tells that the caller has received a part of the answer.
	Started bool
	// Stream tells that the answer is a stream of tokens, which can be resumed.
	Stream bool
	// CanResume tells that the backend server resumes streams.
	CanResume bool
	// Attempts is the number of attempts so far.
	Attempts int
}

// Budget is the retry budget of a VM.
type Budget struct{ balance float64 }

// NewBudget makes the budget of a VM that has just started.
func NewBudget() *Budget { return &Budget{balance: initialBalance} }

// FirstAttempt adds the share of a new request.
func (b *Budget) FirstAttempt() { b.balance = min(maxBalance, b.balance+earnedPerRequest) }

// Decide tells whether to retry and why, and charges the retry.
func (b *Budget) Decide(s Situation) (laburnumlever.RetryReason, Verdict) {
	reason, ok := allowed(s)
	if !ok || s.Attempts >= maxAttempts {
		return reason, GiveUp
	}
	if b.balance < 1 {
		return reason, OverBudget
	}
	b.balance--
	return reason, Again
}

// allowed tells whether another attempt is safe and useful.
func allowed(s Situation) (laburnumlever.RetryReason, bool) {
	if !retryable(s.Reason) {
		return 0, false
	}
	switch {
	case s.Started && !s.Stream:
		return 0, false
	case s.Started && s.CanResume:
		return laburnumlever.RetryStreamResumed, true
	case s.Started:
		return laburnumlever.RetryStreamReplayed, true
	case s.Outcome == laburnumlever.OutcomeNotRun && s.Reason == laburnumlever.RefusedBackendBusy:
		return laburnumlever.RetryBackendSaidNotRun, true
	case s.Outcome == laburnumlever.OutcomeNotRun:
		return laburnumlever.RetryNotSent, true
	default:
		return laburnumlever.RetryIdempotentAfterSend, !s.Once
	}
}

func retryable(reason laburnumlever.RefusalReason) bool {
	switch reason {
	case laburnumlever.RefusedBackendBusy, laburnumlever.RefusedBackendUnreachable, laburnumlever.RefusedBackendError,
		laburnumlever.RefusedBrokenStream, laburnumlever.RefusedCrossedAnswer:
		return true
	default:
		return false
	}
}
