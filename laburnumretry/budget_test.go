package laburnumretry_test

import (
	"testing"

	"laburnumlever"
	"laburnumlever/laburnumretry"

	"github.com/stretchr/testify/require"
)

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		s        laburnumretry.FailedRequest
		reason   laburnumlever.RetryReason
		decision laburnumretry.Decision
	}{
		"not sent": {
			laburnumretry.FailedRequest{Reason: laburnumlever.RefusedBackendUnreachable, AtMostOnce: true, Attempts: 1},
			laburnumlever.RetryNotSent, laburnumretry.Retry,
		},
		"sent, may run once": {
			laburnumretry.FailedRequest{Reason: laburnumlever.RefusedBackendUnreachable, Outcome: laburnumlever.OutcomeUnknown, AtMostOnce: true, Attempts: 1},
			laburnumlever.RetryIdempotentAfterSend, laburnumretry.GiveUp,
		},
		"sent, idempotent": {
			laburnumretry.FailedRequest{Reason: laburnumlever.RefusedBackendError, Outcome: laburnumlever.OutcomeUnknown, Attempts: 1},
			laburnumlever.RetryIdempotentAfterSend, laburnumretry.Retry,
		},
		"third attempt": {
			laburnumretry.FailedRequest{Reason: laburnumlever.RefusedBackendUnreachable, Attempts: 3},
			laburnumlever.RetryNotSent, laburnumretry.GiveUp,
		},
		"started answer that is not a stream": {
			laburnumretry.FailedRequest{Reason: laburnumlever.RefusedBackendUnreachable, Outcome: laburnumlever.OutcomeUnknown, Started: true, Attempts: 1},
			0, laburnumretry.GiveUp,
		},
		"stream on an engine that resumes": {
			laburnumretry.FailedRequest{Reason: laburnumlever.RefusedBrokenStream, Started: true, Stream: true, CanResume: true, Attempts: 1},
			laburnumlever.RetryStreamResumed, laburnumretry.Retry,
		},
		"caller gone": {laburnumretry.FailedRequest{Reason: laburnumlever.RefusedCallerGone, Attempts: 1}, 0, laburnumretry.GiveUp},
	} {
		t.Run(name, func(t *testing.T) {
			reason, decision := laburnumretry.NewBudget().Decide(c.s)
			require.Equal(t, c.decision, decision)
			require.Equal(t, c.reason, reason)
		})
	}
}

// Guards against an overload that persists long after a burst because each refusal causes further requests.
func TestRetriesStayAShareOfTheTraffic(t *testing.T) {
	budget := laburnumretry.NewBudget()
	retries := 0
	const requests = 10_000
	for range requests {
		budget.FirstAttempt()
		for attempts := 1; ; attempts++ {
			_, decision := budget.Decide(laburnumretry.FailedRequest{Reason: laburnumlever.RefusedBackendBusy, Attempts: attempts})
			if decision != laburnumretry.Retry {
				break
			}
			retries++
		}
	}
	require.LessOrEqual(t, retries, requests/10+5)
	require.Greater(t, retries, requests/11)
}
