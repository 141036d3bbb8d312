package laburnumregistry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

// Guards against news of a server's earlier start that removes the start which has the identity now.
func TestRemovalOfAnEarlierStartLeavesTheNewOne(t *testing.T) {
	table := laburnumregistry.New(time.Second)
	now := time.Unix(1_000_000, 0)
	h := laburnumlever.Heartbeat{Backend: "i-1", Service: "quotes", Address: "10.1.0.9:8080", Incarnation: 7, Sequence: 1}
	require.True(t, table.ApplyHeartbeat(h, now))
	require.False(t, table.RemoveStart("i-1", 5, now))
	r, _ := table.Record("i-1")
	require.True(t, r.AcceptsRequests())
	require.True(t, table.RemoveStart("i-1", 7, now))
	require.True(t, table.RemoveStart("i-2", 7, now), "its heartbeats may come later")
	h.Backend = "i-2"
	require.False(t, table.ApplyHeartbeat(h, now))
}
