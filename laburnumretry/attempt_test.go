package laburnumretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

func TestNextAttempt(t *testing.T) {
	for _, tt := range []struct {
		name        string
		give        Attempt
		want        laburnumlever.RetryReason
		wantCharged bool
		wantOK      bool
	}{
		{"nothing was sent: free", Attempt{Stage: StageNotSent, Tries: 1, MaxSends: 1}, laburnumlever.RetryNotSent, false, true},
		{"four dials failed", Attempt{Stage: StageNotSent, Tries: 4, MaxSends: 2}, 0, false, false},
		{"a booking may have run", Attempt{Stage: StageUnknown, Sends: 1, Tries: 1, MaxSends: 3}, 0, false, false},
		{"a booking may have run before the last was not sent", Attempt{Stage: StageNotSent, Touched: true, Sends: 1, Tries: 2, MaxSends: 3}, 0, false, false},
		{"a booking was turned away", Attempt{Stage: StageNotRun, Sends: 1, Tries: 1, MaxSends: 2}, laburnumlever.RetryBackendSaidNotRun, true, true},
		{"the route allows one", Attempt{Stage: StageNotRun, Sends: 1, Tries: 1, MaxSends: 1}, 0, false, false},
		{"a look-up was lost", Attempt{Stage: StageUnknown, Repeatable: true, Sends: 1, Tries: 1, MaxSends: 2}, laburnumlever.RetryIdempotentAfterSend, true, true},
		{"a stream broke off", Attempt{Stage: StageUnknown, Started: true, Repeatable: true, Resumable: true, Sends: 1, Tries: 1, MaxSends: 2}, laburnumlever.RetryStreamResumed, true, true},
		{"a part of an answer that can't go on", Attempt{Stage: StageUnknown, Started: true, Repeatable: true, Sends: 1, Tries: 1, MaxSends: 2}, 0, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			reason, charged, ok := tt.give.Next()
			require.Equal(t, tt.wantOK, ok)
			require.Equal(t, tt.wantCharged, charged)
			require.Equal(t, tt.want, reason)
		})
	}
}

// All engines fail at once and every request asks for a repeat, through six gateways
// that don't talk to each other. Without a common bound the fleet would get twice its
// load at the worst moment. In every span of a window the retries of all together
// must stay within the share and the slack.
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
				continue // the load falls to a tenth
			}
			w.Request(now)
			n++
			if w.Repeat(now, gateways) {
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
		require.LessOrEqual(t, float64(m), ratio*float64(n)+slack, "span that ends at step %d", end)
	}
}

// The time of day jumps back and forth by hours while requests fail. The window must
// count by the steady clock, or each jump would empty it and grant the slack anew.
func TestWindowUsesTheMonotonicClock(t *testing.T) {
	w := NewWindow(10*time.Second, 0, 20)
	start := time.Now()
	granted := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if w.Repeat(now, 1) {
			granted++
		}
	}
	require.Equal(t, 10, granted)
}
