// Package laburnumretry decides whether a failed attempt is retried.
//
// Load pattern: backend servers fail because they are overloaded. Without a limit, retries multiply
// the load when capacity is lowest, so that a short overload persists. A retry budget is a share of
// the traffic: each first attempt adds a tenth of a retry to the balance, each retry takes one from
// it and adds nothing. A request has at most three attempts.
//
// # Usage
//
//	budget := laburnumretry.NewBudget()
//	budget.FirstAttempt()
//	reason, decision := budget.Decide(laburnumretry.FailedRequest{…})
//	if decision == laburnumretry.Retry { … }
//
// A Budget is not safe for concurrent use. It reads no clock.
package laburnumretry

import "laburnumlever"

const (
	// earnedPerRequest is the share of a retry that a first attempt adds.
	earnedPerRequest = 0.1
	// maxBalance limits the burst of retries after a time with few failures.
	maxBalance = 20
	// initialBalance covers the failure of one server right after the VM's start.
	initialBalance = 5
	// maxAttempts is the limit of a request's attempts, including the first.
	maxAttempts = 3
)

// Decision is what to do after a failed attempt.
type Decision int

// The decisions.
const (
	// GiveUp means that another attempt is not allowed or would not help.
	GiveUp Decision = iota
	// Retry means that another attempt may be made; it has been charged to the budget.
	Retry
	// OverBudget means that another attempt would be allowed, but the budget is used up.
	OverBudget
)

// FailedRequest describes a request whose last attempt has failed.
type FailedRequest struct {
	// Reason is why the last attempt failed.
	Reason laburnumlever.RefusalReason
	// Outcome tells whether the request may have run.
	Outcome laburnumlever.RequestOutcome
	// AtMostOnce tells that the request may run at most once.
	AtMostOnce bool
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

// NewBudget returns the budget of a VM that has just started.
func NewBudget() *Budget { return &Budget{balance: initialBalance} }

// FirstAttempt adds the share of a retry that a new request earns.
func (b *Budget) FirstAttempt() { b.balance = min(maxBalance, b.balance+earnedPerRequest) }

// Decide tells whether to retry the request and why, and charges the retry to the budget.
func (b *Budget) Decide(f FailedRequest) (laburnumlever.RetryReason, Decision) {
	reason, ok := allowed(f)
	if !ok || f.Attempts >= maxAttempts {
		return reason, GiveUp
	}
	if b.balance < 1 {
		return reason, OverBudget
	}
	b.balance--
	return reason, Retry
}

// allowed tells whether another attempt is safe and may help, and the reason for the retry.
func allowed(f FailedRequest) (laburnumlever.RetryReason, bool) {
	if !retryable(f.Reason) {
		return 0, false
	}
	switch {
	case f.Started && !f.Stream:
		return 0, false
	case f.Started && f.CanResume:
		return laburnumlever.RetryStreamResumed, true
	case f.Started:
		return laburnumlever.RetryStreamReplayed, true
	case f.Outcome == laburnumlever.OutcomeNotRun && f.Reason == laburnumlever.RefusedBackendBusy:
		return laburnumlever.RetryBackendSaidNotRun, true
	case f.Outcome == laburnumlever.OutcomeNotRun:
		return laburnumlever.RetryNotSent, true
	default:
		return laburnumlever.RetryIdempotentAfterSend, !f.AtMostOnce
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
