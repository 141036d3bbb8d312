package laburnumgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two models take like memory, and one reads prompts ten times as fast. Most prompts are
// read behind others; the estimate must be near the models' own times, or the quick one is
// given engines that the slow one needs.
func TestPaceIsTheModelsOwnDespiteBusyEngines(t *testing.T) {
	p := paces{}
	for i := range 60 {
		wait := time.Duration(i%7) * 15 * time.Millisecond
		p.add("quick", paceStep+wait+1000*3*time.Microsecond, 1000)
		p.add("slow", paceStep+wait+1000*28*time.Microsecond, 1000)
	}
	require.InDelta(t, 3, p.of("quick").Seconds()*1e6, 0.5)
	require.InDelta(t, 28, p.of("slow").Seconds()*1e6, 3)
}

// A few prompts, or short ones, tell nothing: the network's delay would decide.
func TestFewMeasuresTellNoPace(t *testing.T) {
	p := paces{}
	p.add("m0", 30*time.Millisecond, 1000)
	require.Zero(t, p.of("m0"))
	for range 40 {
		p.add("m1", 30*time.Millisecond, paceTokens-1)
	}
	require.Zero(t, p.of("m1"))
}
