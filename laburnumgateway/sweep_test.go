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

// A control VM that is cut off from the backend servers calls one silent, and for minutes
// there is no other news of it, since its heartbeats say the same to the others. Callers are
// served by it all the while. A gateway hears no heartbeats itself, so it must not forget it;
// one that is gone it must.
func TestSweepKeepsSilentBackends(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Unix(1_000_000, 0))
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1)
	fleet.LearnRoutes(testRoutes())
	h := laburnumlever.Heartbeat{Backend: "i-1", Service: "booking", Address: "10.0.0.9:80", Zone: "brest", Sequence: 1, Slots: 8}
	fleet.Learn("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{{Heartbeat: h, Silent: true}}})
	timers.Advance(10 * time.Minute)
	fleet.Sweep()
	require.True(t, fleet.Ready(), "its only backend server is still known")
	fleet.Learn("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{{Heartbeat: h, Gone: true}}})
	require.False(t, fleet.Ready())
}
