package laburnumretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

// Guards against non-idempotent requests that run twice, and against free or unlimited retries.
func TestNextAttempt(t *testing.T) {
	for _, tt := range []struct {
		name        string
		give        Attempt
		want        laburnumlever.RetryReason
		wantCharged bool
		wantOK      bool
	}{
		{"never sent: free of charge", Attempt{Stage: StageNotSent, Tries: 1, MaxSent: 1}, laburnumlever.RetryNotSent, false, true},
		{"four connections failed", Attempt{Stage: StageNotSent, Tries: 4, MaxSent: 2}, 0, false, false},
		{"non-idempotent request may have run", Attempt{Stage: StageUnknown, Sent: 1, Tries: 1, MaxSent: 3}, 0, false, false},
		{"earlier attempt of a non-idempotent request may have run", Attempt{Stage: StageNotSent, MayHaveRun: true, Sent: 1, Tries: 2, MaxSent: 3}, 0, false, false},
		{"non-idempotent request was refused", Attempt{Stage: StageNotRun, Sent: 1, Tries: 1, MaxSent: 2}, laburnumlever.RetryBackendSaidNotRun, true, true},
		{"route allows one attempt", Attempt{Stage: StageNotRun, Sent: 1, Tries: 1, MaxSent: 1}, 0, false, false},
		{"idempotent request may have run", Attempt{Stage: StageUnknown, Idempotent: true, Sent: 1, Tries: 1, MaxSent: 2}, laburnumlever.RetryIdempotentAfterSend, true, true},
		{"resumable stream broke", Attempt{Stage: StageUnknown, Started: true, Idempotent: true, Resumable: true, Sent: 1, Tries: 1, MaxSent: 2}, laburnumlever.RetryStreamResumed, true, true},
		{"started answer that can't be resumed", Attempt{Stage: StageUnknown, Started: true, Idempotent: true, Sent: 1, Tries: 1, MaxSent: 2}, 0, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			reason, charged, ok := tt.give.Next()
			require.Equal(t, tt.wantOK, ok)
			require.Equal(t, tt.wantCharged, charged)
			require.Equal(t, tt.want, reason)
		})
	}
}

// Guards against retries of gateways that don't communicate, which together double the load while all engines fail.
func TestWindowsOfAllGatewaysShareOneLimit(t *testing.T) {
	const (
		gateways = 6
		ratio    = 0.2
		slack    = 52.0
		length   = 10 * time.Second
		step     = 50 * time.Millisecond
	)
	windows := make([]*Window, gateways)
	for i := range windows {
		windows[i] = NewWindow(length, ratio, slack)
	}
	var requests, retries []int
	now := time.Unix(1000, 0)
	for i := range 1200 {
		now = now.Add(step)
		n, m := 0, 0
		for g, w := range windows {
			if i%600 > 300 && (i+g)%10 != 0 {
				continue // the load drops to a tenth
			}
			w.CountRequest(now)
			n++
			if w.AllowRetry(now, gateways) {
				m++
			}
		}
		requests, retries = append(requests, n), append(retries, m)
	}
	span := int(length / step)
	for end := span; end <= len(requests); end++ {
		n, m := 0, 0
		for i := end - span; i < end; i++ {
			n, m = n+requests[i], m+retries[i]
		}
		require.LessOrEqual(t, float64(m), ratio*float64(n)+slack, "window that ends at step %d", end)
	}
}

// Guards against a retry window that follows the wall clock, whose jumps would grant the slack again.
func TestWindowUsesTheMonotonicClock(t *testing.T) {
	w := NewWindow(10*time.Second, 0, 20)
	start := time.Now()
	granted := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if w.AllowRetry(now, 1) {
			granted++
		}
	}
	require.Equal(t, 10, granted)
}
