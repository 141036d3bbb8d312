package laburnumgateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"
)

// Guards against dropping a healthy backend server that a partitioned control VM reports as silent.
func TestSweepKeepsSilentBackends(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Unix(1_000_000, 0))
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1)
	fleet.HandleRoutes(testRoutes())
	h := laburnumlever.Heartbeat{Backend: "i-1", Service: "booking", Address: "10.0.0.9:80", Zone: "brest", Sequence: 1, Slots: 8}
	fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{{Heartbeat: h, Silent: true}}})
	timers.Advance(10 * time.Minute)
	fleet.Sweep()
	require.True(t, fleet.Ready(), "the only backend server must still be known")
	fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{{Heartbeat: h, Gone: true}}})
	require.False(t, fleet.Ready())
}
