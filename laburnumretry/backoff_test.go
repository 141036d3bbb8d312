package laburnumretry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumretry"
)

// Guards against retries at a short fixed interval while the resource stays unavailable.
func TestBackoffDoublesUpToItsMaximum(t *testing.T) {
	b := laburnumretry.Backoff{Least: 2 * time.Millisecond, Most: 50 * time.Millisecond}
	retries := 0
	for waited := time.Duration(0); waited < time.Second; waited += b.Next() {
		retries++
	}
	require.Less(t, retries, 30)
	require.Equal(t, 50*time.Millisecond, b.Next())
	first := laburnumretry.Backoff{Least: 2 * time.Millisecond, Most: 50 * time.Millisecond}
	require.Equal(t, 2*time.Millisecond, first.Next(), "most adapters are available at once")
}

// Guards against a VM that is passed over for long since one answer was late, or since many calls failed at the same moment.
func TestOneLateAnswerIsSoonForgiven(t *testing.T) {
	start := time.Unix(1_790_000_000, 0)
	b := laburnumretry.NewBackoffs(100*time.Millisecond, time.Second)
	for range 10 {
		b.Failed("a", start, start.Add(time.Millisecond))
	}
	require.False(t, b.Allows("a", start.Add(50*time.Millisecond)))
	require.True(t, b.Allows("b", start))
	require.True(t, b.Allows("a", start.Add(200*time.Millisecond)))
	b.Succeeded("a")
	require.True(t, b.Allows("a", start))
}

// Guards against a VM that never answers, and is called again and again.
func TestAddressThatNeverAnswersIsCalledRarely(t *testing.T) {
	b := laburnumretry.NewBackoffs(100*time.Millisecond, time.Second)
	calls, start := 0, time.Unix(1_790_000_000, 0)
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if b.Allows("a", now) {
			calls++
			b.Failed("a", now, now)
		}
	}
	require.LessOrEqual(t, calls, 4+10, "after 0, 0.1, 0.3, 0.7, 1.5 s, and then each second")
}
