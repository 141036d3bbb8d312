// Package laburnumretry decides whether a failed attempt is followed by another.
//
// The load pattern it answers: backend servers that fail because they are
// overloaded. Without a bound each failure brings more work: three attempts a
// request make three times the load at the moment when there is least room, and
// what was a short overload lasts. The budget is a share of the traffic: every
// first attempt pays a tenth of a retry in, every retry takes one out. A tenth
// is enough for single servers that die (one of ten or more), and adds at most a
// tenth to a saturated fleet. Retries never stack: a request has at most three
// attempts, and a retry pays nothing in.
//
// # Usage
//
//	budget := laburnumretry.NewBudget()
//	budget.FirstAttempt()
//	reason, verdict := budget.Decide(laburnumretry.Situation{…})
//	if verdict == laburnumretry.Again { … }
//
// A Budget is not safe for concurrent use. It needs no clock: traffic itself
// fills it.
package laburnumretry

import "laburnumlever"

const (
	// perRequest is what one first attempt pays in.
	perRequest = 0.1
	// maxSaved bounds a burst of retries after a quiet hour.
	maxSaved = 20
	// initial lets a VM that has just started survive the death of one server.
	initial = 5
	// maxAttempts of one request, the first included.
	maxAttempts = 3
)

// Verdict says what to do after a failed attempt.
type Verdict int

// The verdicts.
const (
	// GiveUp means that another attempt is not allowed or brings nothing.
	GiveUp Verdict = iota
	// Again means that another attempt may be made; it has been paid for.
	Again
	// OverBudget means that only the budget forbids it.
	OverBudget
)

// Situation is a request whose attempt has failed.
type Situation struct {
	Reason  laburnumlever.RefusalReason
	Outcome laburnumlever.RequestOutcome
	// Once tells that the request may run at most once.
	Once bool
	// Started tells that the caller has been given a part of the answer.
	Started bool
	// Stream tells that the answer is a stream of tokens, which can be resumed
	// or replayed from where it broke.
	Stream bool
	// CanResume tells that the backend server resumes streams itself.
	CanResume bool
	// Attempts made until now.
	Attempts int
}

// Budget is the balance of one VM.
type Budget struct{ saved float64 }

// NewBudget returns a budget for a VM that has just started.
func NewBudget() *Budget { return &Budget{saved: initial} }

// FirstAttempt pays in for a request that starts.
func (b *Budget) FirstAttempt() { b.saved = min(maxSaved, b.saved+perRequest) }

// Decide says whether to try again and why, and pays for it.
func (b *Budget) Decide(s Situation) (laburnumlever.RetryReason, Verdict) {
	reason, ok := allowed(s)
	if !ok || s.Attempts >= maxAttempts {
		return reason, GiveUp
	}
	if b.saved < 1 {
		return reason, OverBudget
	}
	b.saved--
	return reason, Again
}

// allowed tells whether another attempt could be true and useful.
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
