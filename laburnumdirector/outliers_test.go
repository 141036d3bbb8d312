package laburnumdirector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

// Guards against a failing backend server that each gateway has to detect on its own.
func TestOutliersAreSentToGateways(t *testing.T) {
	w := newCluster(t, 2, 3, 1)
	w.sendHeartbeats()
	n := w.directors[0]
	n.director.SetRecord(laburnumregistry.Record{Heartbeat: laburnumlever.Heartbeat{Backend: "plain-1", Service: "bookings", Sequence: 1}})
	w.advance(8 * time.Second)
	for _, id := range []laburnumlever.BackendID{"plain-1", "i-1"} {
		report := laburnumlever.GatewayReport{Outcomes: []laburnumlever.BackendOutcome{{Backend: id, Failed: 1}}}
		n.director.SetGatewayReport("gateway-1", report)
		w.advance(100 * time.Millisecond)
		require.Zero(t, n.overlays[id].Outliers, "a single failure may be caused by the request")
		n.director.SetGatewayReport("gateway-2", report)
		w.advance(100 * time.Millisecond)
		require.EqualValues(t, 1, n.overlays[id].Outliers)
	}
	require.Zero(t, n.overlays["i-0"].Outliers)
}
