package laburnumregistry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

const period = 1200 * time.Millisecond

var start = time.Unix(1_000_000, 0)

func heartbeat(sequence uint64, change ...func(*laburnumlever.Heartbeat)) laburnumlever.Heartbeat {
	h := laburnumlever.Heartbeat{Backend: "i-1", Service: "quotes", Address: "10.0.0.9:80", Zone: "brest", Sequence: sequence, Slots: 24}
	for _, fn := range change {
		fn(&h)
	}
	return h
}

func leaving(h *laburnumlever.Heartbeat) { h.Leaving = true }

// Guards against a late heartbeat that revives a backend server which is leaving.
func TestLateHeartbeatDoesNotUndoLeaving(t *testing.T) {
	table := laburnumregistry.New(period)
	require.True(t, table.ApplyHeartbeat(heartbeat(1), start))
	require.True(t, table.ApplyHeartbeat(heartbeat(5, leaving), start.Add(time.Second)))
	require.False(t, table.ApplyHeartbeat(heartbeat(4), start.Add(2*time.Second)))
	table.ApplyHeartbeat(heartbeat(6), start.Add(3*time.Second)) // a newer heartbeat without the flag
	r, ok := table.Record("i-1")
	require.True(t, ok)
	require.False(t, r.AcceptsRequests())
}

// Guards against a late heartbeat that revives a stopped backend server.
func TestLateHeartbeatDoesNotReviveTombstone(t *testing.T) {
	table := laburnumregistry.New(period)
	require.True(t, table.Remove("i-1", start))
	require.False(t, table.ApplyHeartbeat(heartbeat(9), start.Add(time.Second)))
	r, _ := table.Record("i-1")
	require.True(t, r.Gone)
}

// Guards against removing backend servers from service because the control VMs can't reach them.
func TestSilentServerStillAcceptsRequests(t *testing.T) {
	table := laburnumregistry.New(period)
	table.ApplyHeartbeat(heartbeat(1), start)
	require.Empty(t, table.MarkSilent(start.Add(3*period)))
	require.Equal(t, []laburnumlever.BackendID{"i-1"}, table.MarkSilent(start.Add(3*period+time.Millisecond)))
	r, _ := table.Record("i-1")
	require.True(t, r.Silent)
	require.True(t, r.AcceptsRequests())
	require.True(t, table.ApplyHeartbeat(heartbeat(2), start.Add(4*period)))
	r, _ = table.Record("i-1")
	require.False(t, r.Silent)
}

// Guards against sending unchanged heartbeats on to gateways.
func TestUnchangedHeartbeatIsNoChange(t *testing.T) {
	table := laburnumregistry.New(period)
	table.ApplyHeartbeat(heartbeat(1), start)
	for i := uint64(2); i < 50; i++ {
		require.False(t, table.ApplyHeartbeat(heartbeat(i), start.Add(time.Duration(i)*period/2)))
	}
}

// Guards against an outdated record that revives a backend server which is leaving.
func TestMergeKeepsTheNewest(t *testing.T) {
	table := laburnumregistry.New(period)
	require.True(t, table.Merge(laburnumregistry.Record{Heartbeat: heartbeat(7, leaving)}, start))
	require.False(t, table.Merge(laburnumregistry.Record{Heartbeat: heartbeat(3)}, start))
	require.True(t, table.Merge(laburnumregistry.Record{Heartbeat: heartbeat(3), Gone: true}, start))
	r, _ := table.Record("i-1")
	require.True(t, r.Gone)
}

func TestOverlayOverridesOlderHeartbeats(t *testing.T) {
	h := heartbeat(4, func(h *laburnumlever.Heartbeat) {
		h.Models = []laburnumlever.EngineModel{{Name: "m0", Adapters: []laburnumlever.AdapterName{"a1"}}, {Name: "m1"}}
	})
	o := laburnumregistry.Overlay{
		Backend: "i-1", Fence: 2, Sequence: 4, Withdrawn: []laburnumlever.ModelName{"m1"},
		Adapters: []laburnumlever.EngineModel{{Name: "m0", Adapters: []laburnumlever.AdapterName{"a2"}}},
	}
	require.False(t, o.Holds(h, "m1", ""), "withdrawn from gateways")
	require.True(t, o.Holds(h, "m0", "a2"), "loaded since the heartbeat")
	require.False(t, o.Holds(h, "m0", "a1"), "unloaded since the heartbeat")
	h.Sequence = 5
	require.True(t, o.Holds(h, "m0", "a1"), "a newer heartbeat lists it")
}

// Guards against a stopped backend server that flaps between silent and alive as control VMs merge each other's view.
func TestControlVMsAgreeOnSilence(t *testing.T) {
	one, two := laburnumregistry.New(period), laburnumregistry.New(period)
	one.ApplyHeartbeat(heartbeat(1), start)
	two.ApplyHeartbeat(heartbeat(1), start.Add(period))
	changes := 0
	for now := start; now.Before(start.Add(20 * period)); now = now.Add(period / 2) {
		for _, pair := range [][2]*laburnumregistry.Table{{one, two}, {two, one}} {
			changes += len(pair[0].MarkSilent(now))
			r, _ := pair[0].Record("i-1")
			if pair[1].MergeFromControl(r, now) {
				changes++
			}
		}
	}
	require.Equal(t, 2, changes, "each control VM detects the silence once")
	r, _ := one.Record("i-1")
	require.True(t, r.Silent)
	require.True(t, one.MergeFromControl(laburnumregistry.Record{Heartbeat: heartbeat(2)}, start.Add(20*period)), "a newer heartbeat counts")
	r, _ = one.Record("i-1")
	require.False(t, r.Silent)
}

// Guards against an outdated record that undoes a control VM's detection of silence.
func TestOutdatedRecordDoesNotClearSilence(t *testing.T) {
	one, two := laburnumregistry.New(period), laburnumregistry.New(period)
	one.ApplyHeartbeat(heartbeat(1), start)
	two.ApplyHeartbeat(heartbeat(1), start)
	outdated, _ := two.Record("i-1")
	require.Len(t, one.MarkSilent(start.Add(4*period)), 1)
	require.False(t, one.MergeFromControl(outdated, start.Add(4*period)))
	r, _ := one.Record("i-1")
	require.True(t, r.Silent)
}

// Guards against a table that grows with every release, and against dropping live servers.
func TestTombstonesAndSilentRecordsArePruned(t *testing.T) {
	table := laburnumregistry.New(period)
	other := func(h *laburnumlever.Heartbeat) { h.Backend = "i-2" }
	table.ApplyHeartbeat(heartbeat(1), start)
	table.ApplyHeartbeat(heartbeat(1, other), start)
	table.Remove("i-1", start.Add(time.Second))
	require.Empty(t, table.Prune(start.Add(time.Minute)), "a late heartbeat must still find the tombstone")
	require.Equal(t, []laburnumlever.BackendID{"i-1"}, table.Prune(start.Add(3*time.Minute)))
	require.Len(t, table.Records(), 1)
	require.Empty(t, table.Prune(start.Add(time.Hour)), "a record not yet marked silent is kept")
	table.MarkSilent(start.Add(time.Hour))
	require.Equal(t, []laburnumlever.BackendID{"i-2"}, table.Prune(start.Add(time.Hour)))
}

// Guards against a backend server marked silent that another control VM hears, or kept alive by late relayed heartbeats.
func TestRelayedHeartbeatsPreventSilence(t *testing.T) {
	const period = time.Second
	now := time.Unix(1_000_000, 0)
	table := laburnumregistry.New(period)
	h := laburnumlever.Heartbeat{Backend: "i-1", Service: "quotes", Sequence: 5}
	require.True(t, table.ApplyHeartbeat(h, now))
	for sequence := uint64(6); sequence < 20; sequence++ {
		now = now.Add(period)
		require.False(t, table.KeepAlive("i-1", 0, sequence, now))
		require.Empty(t, table.MarkSilent(now))
	}
	for range 4 {
		now = now.Add(period)
		require.False(t, table.KeepAlive("i-1", 0, 7, now), "an old sequence")
	}
	require.Equal(t, []laburnumlever.BackendID{"i-1"}, table.MarkSilent(now))
	require.True(t, table.KeepAlive("i-1", 0, 20, now), "no longer silent, which is a change")
	require.True(t, table.Remove("i-1", now))
	require.False(t, table.KeepAlive("i-1", 0, 21, now))
	require.False(t, table.KeepAlive("i-2", 0, 1, now), "unknown backend server")
}

// Guards against discarding heartbeats of a restarted engine as late ones of its earlier incarnation.
func TestRestartReplacesEarlierIncarnation(t *testing.T) {
	incarnation := func(at uint64) func(*laburnumlever.Heartbeat) {
		return func(h *laburnumlever.Heartbeat) { h.Incarnation = at }
	}
	table := laburnumregistry.New(period)
	require.True(t, table.ApplyHeartbeat(heartbeat(40, incarnation(100)), start))
	require.True(t, table.ApplyHeartbeat(heartbeat(1, incarnation(200)), start))
	require.False(t, table.ApplyHeartbeat(heartbeat(41, incarnation(100)), start), "a late one of the earlier incarnation")
	require.False(t, table.KeepAlive("i-1", 100, 50, start))
	gone := laburnumregistry.Record{Heartbeat: heartbeat(41, incarnation(100)), Gone: true}
	require.False(t, table.Merge(gone, start), "a tombstone of the earlier incarnation")
	r, _ := table.Record("i-1")
	require.Equal(t, laburnumregistry.Record{Heartbeat: heartbeat(1, incarnation(200))}, r)
	require.True(t, table.Remove("i-1", start))
	require.False(t, table.ApplyHeartbeat(heartbeat(2, incarnation(200)), start), "its own tombstone is final")
	require.True(t, table.ApplyHeartbeat(heartbeat(1, incarnation(300)), start))
	require.True(t, table.Merge(laburnumregistry.Record{Heartbeat: heartbeat(9, incarnation(400)), Gone: true}, start))
	require.False(t, table.ApplyHeartbeat(heartbeat(8, incarnation(400)), start))
}

// Guards against another writer's heartbeat under a server's identity that takes the server away from its service.
func TestServiceOfAStartDoesNotChange(t *testing.T) {
	table := laburnumregistry.New(time.Second)
	now := time.Unix(1_000_000, 0)
	h := laburnumlever.Heartbeat{Backend: "i-1", Service: "quotes", Address: "10.1.0.9:8080", Incarnation: 5, Sequence: 1}
	require.True(t, table.ApplyHeartbeat(h, now))
	h.Service, h.Sequence = "no such", 2
	require.False(t, table.ApplyHeartbeat(h, now))
	r, _ := table.Record("i-1")
	require.Equal(t, laburnumlever.ServiceName("quotes"), r.Heartbeat.Service)
}
