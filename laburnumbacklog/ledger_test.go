package laburnumbacklog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumbacklog"
)

var start = time.Unix(1_790_000_000, 0)

// hold has an answer hold as many bytes as there is room for if the budget has no end.
func hold(l *laburnumbacklog.Ledger, a *laburnumbacklog.Answer, want int) int {
	n, _ := l.Room(a, want, 1<<40)
	l.Hold(a, n)
	return n
}

// Guards against one caller that takes the memory of all, and against a budget that loses or gains bytes.
func TestOneSlowCallerHoldsNoMoreThanItsShare(t *testing.T) {
	l := laburnumbacklog.New()
	a := l.Begin(time.Minute, start)
	require.Equal(t, laburnumbacklog.MaxAnswer, hold(l, a, 2*laburnumbacklog.MaxAnswer))
	require.True(t, a.Full())
	require.EqualValues(t, 100, l.Release(a, 100))
	require.EqualValues(t, laburnumbacklog.MaxAnswer-laburnumbacklog.FreeAnswer-100, l.End(a), "the rest")
	require.Zero(t, l.Held())
	require.Zero(t, l.Len())
}

// Guards against a spent budget that keeps a new answer from waiting for its room.
func TestSpentBudgetLeavesEachAnswerItsFreePart(t *testing.T) {
	l := laburnumbacklog.New()
	a := l.Begin(time.Minute, start)
	n, charge := l.Room(a, 10*laburnumbacklog.FreeAnswer, 0)
	require.Equal(t, laburnumbacklog.FreeAnswer, n)
	require.Zero(t, charge)
	l.Hold(a, n)
	n, charge = l.Room(a, 100, 40)
	require.Equal(t, 40, n)
	require.EqualValues(t, 40, charge)
	n, _ = l.Room(a, 100, -1)
	require.Zero(t, n, "overdrawn by others")
}

// Guards against slow readers that are ended in a crowd of callers of which some read nothing.
func TestCrowdOfSlowCallersLosesThoseThatHoldMostForLongest(t *testing.T) {
	l := laburnumbacklog.New()
	reads, small, large, late := l.Begin(time.Minute, start), l.Begin(time.Minute, start), l.Begin(time.Minute, start), l.Begin(time.Minute, start.Add(4*time.Second))
	for a, bytes := range map[*laburnumbacklog.Answer]int{reads: 1 << 20, small: 10 << 10, large: 100 << 10, late: 1 << 20} {
		hold(l, a, bytes)
	}
	now := start.Add(laburnumbacklog.MinSilence - 1)
	require.Nil(t, l.Victim(now))
	now = start.Add(6 * time.Second)
	l.Delivered(reads, 1, now.Add(-time.Second))
	for _, want := range []*laburnumbacklog.Answer{large, small, nil} {
		got := l.Victim(now)
		require.Same(t, want, got)
		if got != nil {
			l.End(got)
		}
	}
}

// Guards against callers that are ended although they take something now and then, and those that are kept although they don't.
func TestPausesAreNoSilence(t *testing.T) {
	l := laburnumbacklog.New()
	pauses, silent := l.Begin(10*time.Second, start), l.Begin(10*time.Second, start)
	for second := range 30 {
		now := start.Add(time.Duration(second) * time.Second)
		l.Delivered(pauses, uint64(second/9), now)
		if second < 10 {
			require.Empty(t, l.Silent(now))
		} else {
			require.Equal(t, []*laburnumbacklog.Answer{silent}, l.Silent(now))
		}
	}
}
