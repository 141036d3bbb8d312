package laburnumregistry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

func versioned(id laburnumlever.BackendID, incarnation, sequence uint64, software laburnumlever.SoftwareVersion) laburnumlever.Heartbeat {
	return laburnumlever.Heartbeat{Backend: id, Service: "quotes", Incarnation: incarnation, Sequence: sequence, Software: software}
}

// Guards against a service that seems to have one version while streams of another one still run.
func TestSoftwareOfServersThatLeftIsKnown(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := laburnumregistry.New(time.Second)
	require.Empty(t, table.Software("quotes"))
	table.ApplyHeartbeat(versioned("i-1", 1, 1, "v1"), now)
	table.ApplyHeartbeat(versioned("i-2", 1, 1, "v2"), now)
	table.ApplyHeartbeat(versioned("i-1", 1, 2, "v1"), now)
	require.Equal(t, []laburnumlever.SoftwareVersion{"v1", "v2"}, table.Software("quotes"))
	table.Remove("i-1", now)
	require.Equal(t, []laburnumlever.SoftwareVersion{"v1", "v2"}, table.Software("quotes"))
	table.Prune(now.Add(time.Hour))
	require.Equal(t, []laburnumlever.SoftwareVersion{"v2"}, table.Software("quotes"))
	require.Empty(t, table.Software("booking"))
}

// Guards against a server that restarts under its identity with another version, so that the earlier one is forgotten.
func TestSoftwareOfAnEarlierIncarnationIsKnown(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table, other := laburnumregistry.New(time.Second), laburnumregistry.New(time.Second)
	table.ApplyHeartbeat(versioned("i-1", 1, 1, "v1"), now)
	table.ApplyHeartbeat(versioned("i-1", 2, 1, "v2"), now)
	require.Equal(t, []laburnumlever.SoftwareVersion{"v1", "v2"}, table.Software("quotes"))
	r, _ := table.Record("i-1")
	require.True(t, other.Merge(r, now))
	require.Equal(t, []laburnumlever.SoftwareVersion{"v1", "v2"}, other.Software("quotes"))
	table.ApplyHeartbeat(versioned("i-1", 2, 2, "v2"), now)
	require.Equal(t, []laburnumlever.SoftwareVersion{"v1", "v2"}, table.Software("quotes"))
}

// Guards against a control VM of an earlier build that relays heartbeats without the version.
func TestHeartbeatWithoutAVersionKeepsTheKnownOne(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := laburnumregistry.New(time.Second)
	table.ApplyHeartbeat(versioned("i-1", 1, 1, "v1"), now)
	require.False(t, table.ApplyHeartbeat(versioned("i-1", 1, 2, ""), now))
	require.Equal(t, []laburnumlever.SoftwareVersion{"v1"}, table.Software("quotes"))
	table.ApplyHeartbeat(versioned("i-1", 2, 1, ""), now)
	require.Equal(t, []laburnumlever.SoftwareVersion{"", "v1"}, table.Software("quotes"), "another incarnation may be of another version")
	require.True(t, table.ApplyHeartbeat(versioned("i-1", 2, 2, "v2"), now))
	require.Contains(t, table.Software("quotes"), laburnumlever.SoftwareVersion("v2"))
}

// Guards against a server that has said in an answer that it leaves, and is used again at its next heartbeat.
func TestServerThatSaidThatItLeavesStaysLeaving(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table, gateway, control := laburnumregistry.New(time.Second), laburnumregistry.New(time.Second), laburnumregistry.New(time.Second)
	for _, other := range []*laburnumregistry.Table{table, gateway, control} {
		other.ApplyHeartbeat(versioned("i-1", 1, 1, "v1"), now)
	}
	r, changed := table.MarkLeaving("i-1", 1)
	require.True(t, changed)
	_, changed = table.MarkLeaving("i-1", 1)
	require.False(t, changed)
	_, changed = table.MarkLeaving("i-1", 2)
	require.False(t, changed, "another incarnation")
	table.ApplyHeartbeat(versioned("i-1", 1, 2, "v1"), now)
	kept, _ := table.Record("i-1")
	require.False(t, kept.AcceptsRequests())
	require.True(t, gateway.Merge(r, now), "told to others with the same heartbeat")
	require.True(t, control.MergeFromControl(r, now))
	require.False(t, control.MergeFromControl(r, now))
	for _, other := range []*laburnumregistry.Table{gateway, control} {
		kept, _ := other.Record("i-1")
		require.False(t, kept.AcceptsRequests())
	}
	table.ApplyHeartbeat(versioned("i-1", 2, 1, "v1"), now)
	kept, _ = table.Record("i-1")
	require.True(t, kept.AcceptsRequests(), "it ends with the incarnation")
}
