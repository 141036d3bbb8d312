package laburnumpace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumpace"
)

var start = time.Unix(1_000_000, 0)

// Guards against a pace of seconds ago, which says nothing any more, that keeps prompts from an engine.
func TestPaceCountsForAShortTime(t *testing.T) {
	told := laburnumpace.Told{}.With(2.5, 3, start)
	require.InDelta(t, 2.5, told.Pace(start.Add(laburnumpace.FreshTime)), 0)
	require.True(t, told.Slow(start))
	later := start.Add(laburnumpace.FreshTime + time.Millisecond)
	require.InDelta(t, 1, told.Pace(later), 0)
	require.False(t, told.Slow(later))
	require.False(t, laburnumpace.Told{}.Fresh(start))
}

// Guards against streams that pause since a long prompt is read between two of their events on a slow machine.
func TestPromptsThatPauseStreamsOnASlowMachine(t *testing.T) {
	for _, c := range []struct {
		name    string
		pace    float64
		running int
		reading time.Duration
		target  time.Duration
		overrun time.Duration
	}{
		{"short prompt, slow machine", 2.5, 3, 10 * time.Millisecond, 200 * time.Millisecond, 0},
		{"long prompt, usual machine", 1, 3, 40 * time.Millisecond, 200 * time.Millisecond, 0},
		{"long prompt, slow machine", 2.5, 3, 40 * time.Millisecond, 200 * time.Millisecond, 75 * time.Millisecond},
		{"no stream runs", 2.5, 0, 40 * time.Millisecond, 200 * time.Millisecond, 0},
		{"no target", 2.5, 3, 40 * time.Millisecond, 0, 0},
		{"all is cached", 9, 3, 0, 200 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			prompt := laburnumpace.Prompt{Reading: c.reading, Interval: 50 * time.Millisecond, Target: c.target}
			require.Equal(t, c.overrun, laburnumpace.Told{}.With(c.pace, c.running, start).Overrun(prompt, start))
		})
	}
}

// Guards against a usual interval that a few paused streams set, or streams that are too short to tell.
func TestUsualIntervalIsThatOfMostStreams(t *testing.T) {
	var service laburnumpace.Service
	for range 3 {
		service.StreamEnded(500*time.Millisecond, 11)
		service.StreamEnded(time.Minute, 2)
	}
	require.Zero(t, service.Interval())
	service.StreamEnded(5*time.Second, 11)
	require.Equal(t, 50*time.Millisecond, service.Interval())
}

// Guards against questions that are asked for ever after one slow machine, and against forgetting it within its minute.
func TestSlowestPaceIsForgottenAfterMinutes(t *testing.T) {
	var service laburnumpace.Service
	service.Tell(2.5, start)
	for minute := range 2 {
		require.InDelta(t, 2.5, service.Slowest(), 0)
		service.Tell(1, start.Add(time.Duration(minute+1)*time.Minute))
	}
	require.InDelta(t, 1, service.Slowest(), 0)
}
