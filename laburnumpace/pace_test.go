package laburnumpace_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumpace"
)

var start = time.Unix(1_000_000, 0)

// Guards against streams that pause since a long prompt is read between two of their events on a slow machine.
func TestPromptsThatPauseStreamsOnASlowMachine(t *testing.T) {
	const long = 40 * time.Millisecond
	for _, c := range []struct {
		name         string
		pace         float64
		running      int
		reading, age time.Duration
		overrun      time.Duration
	}{
		{"short prompt, slow machine", 2.5, 3, 10 * time.Millisecond, 0, 0},
		{"long prompt, usual machine", 1, 3, long, 0, 0},
		{"long prompt, slow machine", 2.5, 3, long, 0, 75 * time.Millisecond},
		{"prompt that is too long anywhere", 1, 3, time.Second, 0, 0},
		{"slow a while ago", 2.5, 3, long, laburnumpace.FreshTime + 1, 0},
		{"no stream runs", 2.5, 0, long, 0, 0},
		{"all is cached", 9, 3, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			prompt := laburnumpace.Prompt{Reading: c.reading, Interval: 50 * time.Millisecond, Target: 200 * time.Millisecond}
			require.Equal(t, c.overrun, laburnumpace.Told{}.With(c.pace, c.running, start).Overrun(prompt, start.Add(c.age)))
		})
	}
}

// Guards against a slow machine that is forgotten within its minute, or never, and a few paces or streams that count for all.
func TestServiceKnowsItsSlowestMachineAndMostStreams(t *testing.T) {
	var service laburnumpace.Service
	for i := range 40 {
		require.Equal(t, i < 32, math.IsInf(service.Slowest(), 1))
		service.Tell(2.5, start)
	}
	for minute := range 2 {
		require.InDelta(t, 2.5, service.Slowest(), 0)
		service.Tell(1, start.Add(time.Duration(minute+1)*time.Minute))
	}
	require.InDelta(t, 1, service.Slowest(), 0)
	for _, gap := range []time.Duration{50, 400, 50, 40, 300} {
		service.StreamBegun(laburnumpace.Gaps * gap)
	}
	require.Equal(t, time.Duration(50), service.Interval())
}
