package laburnumdemand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against read times that include queueing at busy engines, so that fast and slow models look alike.
func TestReadTimeExcludesQueueingAtBusyEngines(t *testing.T) {
	times := ReadTimes{}
	for i := range 60 {
		wait := time.Duration(i%7) * 15 * time.Millisecond
		times.Add("quick", startOverhead+wait+1000*3*time.Microsecond, 1000)
		times.Add("slow", startOverhead+wait+1000*28*time.Microsecond, 1000)
	}
	require.InDelta(t, 3, times.Of("quick").Seconds()*1e6, 0.5)
	require.InDelta(t, 28, times.Of("slow").Seconds()*1e6, 3)
}

// Guards against read times from too few or too short prompts, which mostly measure the network delay.
func TestReadTimeIsUnknownWithoutEnoughSamples(t *testing.T) {
	times := ReadTimes{}
	times.Add("m0", 30*time.Millisecond, 1000)
	require.Zero(t, times.Of("m0"))
	for range 40 {
		times.Add("m1", 30*time.Millisecond, minPromptTokens-1)
	}
	require.Zero(t, times.Of("m1"))
}
