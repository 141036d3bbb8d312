package laburnumretry_test

import (
	"testing"

	"laburnumlever"
	"laburnumlever/laburnumretry"

	"github.com/stretchr/testify/require"
)

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		s       laburnumretry.Situation
		reason  laburnumlever.RetryReason
		verdict laburnumretry.Verdict
	}{
		"not sent": {
			laburnumretry.Situation{Reason: laburnumlever.RefusedBackendUnreachable, Once: true, Attempts: 1},
			laburnumlever.RetryNotSent, laburnumretry.Again,
		},
		"sent, may run once": {
			laburnumretry.Situation{Reason: laburnumlever.RefusedBackendUnreachable, Outcome: laburnumlever.OutcomeUnknown, Once: true, Attempts: 1},
			laburnumlever.RetryIdempotentAfterSend, laburnumretry.GiveUp,
		},
		"sent, idempotent": {
			laburnumretry.Situation{Reason: laburnumlever.RefusedBackendError, Outcome: laburnumlever.OutcomeUnknown, Attempts: 1},
			laburnumlever.RetryIdempotentAfterSend, laburnumretry.Again,
		},
		"third attempt": {
			laburnumretry.Situation{Reason: laburnumlever.RefusedBackendUnreachable, Attempts: 3},
			laburnumlever.RetryNotSent, laburnumretry.GiveUp,
		},
		"started answer that is not a stream": {
			laburnumretry.Situation{Reason: laburnumlever.RefusedBackendUnreachable, Outcome: laburnumlever.OutcomeUnknown, Started: true, Attempts: 1},
			0, laburnumretry.GiveUp,
		},
		"stream on an engine that resumes": {
			laburnumretry.Situation{Reason: laburnumlever.RefusedBrokenStream, Started: true, Stream: true, CanResume: true, Attempts: 1},
			laburnumlever.RetryStreamResumed, laburnumretry.Again,
		},
		"caller gone": {laburnumretry.Situation{Reason: laburnumlever.RefusedCallerGone, Attempts: 1}, 0, laburnumretry.GiveUp},
	} {
		t.Run(name, func(t *testing.T) {
			reason, verdict := laburnumretry.NewBudget().Decide(c.s)
			require.Equal(t, c.verdict, verdict)
			require.Equal(t, c.reason, reason)
		})
	}
}

// Guards against an overload that persists long after a burst because each refusal causes two more
// requests: while every engine refuses, retries must stay below a tenth of the traffic.
func TestRetriesStayAShareOfTheTraffic(t *testing.T) {
	budget := laburnumretry.NewBudget()
	retries := 0
	const requests = 10_000
	for range requests {
		budget.FirstAttempt()
		for attempts := 1; ; attempts++ {
			_, verdict := budget.Decide(laburnumretry.Situation{Reason: laburnumlever.RefusedBackendBusy, Attempts: attempts})
			if verdict != laburnumretry.Again {
				break
			}
			retries++
		}
	}
	require.LessOrEqual(t, retries, requests/10+5)
	require.Greater(t, retries, requests/11)
}
