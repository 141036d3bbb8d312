package laburnumdirector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers that are refused without a word of the load that is under way for them, or told of one that has ended.
func TestLoadsUnderWayAreTold(t *testing.T) {
	w := newCluster(t, 8, 5, 1)
	w.sendHeartbeats()
	told := map[string]bool{}
	for range 150 {
		w.advance(100 * time.Millisecond)
		for _, o := range w.directors[0].overlays {
			for _, l := range o.Loading {
				require.Positive(t, l.ReadyIn)
				told[string(l.Model)] = true
			}
		}
	}
	require.Len(t, told, 8)
	for _, o := range w.directors[0].overlays {
		require.Empty(t, o.Loading, "all loads have ended")
	}
}
