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

func beat(sequence uint64, change ...func(*laburnumlever.Heartbeat)) laburnumlever.Heartbeat {
	h := laburnumlever.Heartbeat{Backend: "i-1", Service: "quotes", Address: "10.0.0.9:80", Zone: "brest", Sequence: sequence, Slots: 24}
	for _, fn := range change {
		fn(&h)
	}
	return h
}

func leaving(h *laburnumlever.Heartbeat) { h.Leaving = true }

// A backend server says that it leaves; an older heartbeat, held up on its way, comes
// after it. Requests must not go there again: it ends while they run.
func TestLateHeartbeatDoesNotUndoLeaving(t *testing.T) {
	table := laburnumregistry.New(period)
	require.True(t, table.Take(beat(1), start))
	require.True(t, table.Take(beat(5, leaving), start.Add(time.Second)))
	require.False(t, table.Take(beat(4), start.Add(2*time.Second)))
	table.Take(beat(6), start.Add(3*time.Second)) // even a newer one that forgets to say it
	r, ok := table.Record("i-1")
	require.True(t, ok)
	require.False(t, r.TakesWork())
}

// A backend server is gone, and a heartbeat that it sent before comes seconds later.
func TestLateHeartbeatDoesNotRaiseTheDead(t *testing.T) {
	table := laburnumregistry.New(period)
	require.True(t, table.Remove("i-1", start))
	require.False(t, table.Take(beat(9), start.Add(time.Second)))
	r, _ := table.Record("i-1")
	require.True(t, r.Gone)
}

// Heartbeats stop for a moment, as at a cut between the backend servers and the control
// VMs, while callers still reach it. It is silent, but work may still go there; the next
// heartbeat makes it whole again, and both are news for the others.
func TestSilenceIsNewsAndEnds(t *testing.T) {
	table := laburnumregistry.New(period)
	table.Take(beat(1), start)
	require.Empty(t, table.Expire(start.Add(3*period)))
	require.Equal(t, []laburnumlever.BackendID{"i-1"}, table.Expire(start.Add(3*period+time.Millisecond)))
	r, _ := table.Record("i-1")
	require.True(t, r.Silent)
	require.True(t, r.TakesWork())
	require.True(t, table.Take(beat(2), start.Add(4*period)))
	r, _ = table.Record("i-1")
	require.False(t, r.Silent)
}

// Every heartbeat that only says "still here" must cost the gateways nothing.
func TestUnchangedHeartbeatIsNoNews(t *testing.T) {
	table := laburnumregistry.New(period)
	table.Take(beat(1), start)
	for i := uint64(2); i < 50; i++ {
		require.False(t, table.Take(beat(i), start.Add(time.Duration(i)*period/2)))
	}
}

// Two control VMs tell a gateway of one backend server, one of them from before it left.
func TestMergeKeepsTheNewest(t *testing.T) {
	table := laburnumregistry.New(period)
	require.True(t, table.Merge(laburnumregistry.Record{Heartbeat: beat(7, leaving)}, start))
	require.False(t, table.Merge(laburnumregistry.Record{Heartbeat: beat(3)}, start))
	require.True(t, table.Merge(laburnumregistry.Record{Heartbeat: beat(3), Gone: true}, start))
	r, _ := table.Record("i-1")
	require.True(t, r.Gone)
}

func TestOverlayGoesBeforeTheHeartbeatUntilANewerOneComes(t *testing.T) {
	h := beat(4, func(h *laburnumlever.Heartbeat) {
		h.Models = []laburnumlever.HeldModel{{Name: "m0", Adapters: []laburnumlever.AdapterName{"a1"}}, {Name: "m1"}}
	})
	o := laburnumregistry.Overlay{
		Backend: "i-1", Fence: 2, Sequence: 4, Withdrawn: []laburnumlever.ModelName{"m1"},
		Adapters: []laburnumlever.HeldModel{{Name: "m0", Adapters: []laburnumlever.AdapterName{"a2"}}},
	}
	require.False(t, o.Holds(h, "m1", ""), "gateways were told to send nothing more for it")
	require.True(t, o.Holds(h, "m0", "a2"), "loaded since the heartbeat")
	require.False(t, o.Holds(h, "m0", "a1"), "given up since the heartbeat")
	h.Sequence = 5
	require.True(t, o.Holds(h, "m0", "a1"), "a newer heartbeat lists it")
}

// A backend server dies without a word. Each of two control VMs notices the silence and
// tells the other, who has the same heartbeat. If they took each other's word on it, it
// would be silent and heard again in turns, and models would be planned onto it for as
// long as it is remembered.
func TestControlVMsAgreeThatADeadServerIsSilent(t *testing.T) {
	one, two := laburnumregistry.New(period), laburnumregistry.New(period)
	one.Take(beat(1), start)
	two.Take(beat(1), start.Add(period))
	changes := 0
	for now := start; now.Before(start.Add(20 * period)); now = now.Add(period / 2) {
		for _, pair := range [][2]*laburnumregistry.Table{{one, two}, {two, one}} {
			changes += len(pair[0].Expire(now))
			r, _ := pair[0].Record("i-1")
			if pair[1].Adopt(r, now) {
				changes++
			}
		}
	}
	require.Equal(t, 2, changes, "each notices the silence once")
	r, _ := one.Record("i-1")
	require.True(t, r.Silent)
	require.True(t, one.Adopt(laburnumregistry.Record{Heartbeat: beat(2)}, start.Add(20*period)), "a newer heartbeat counts")
	r, _ = one.Record("i-1")
	require.False(t, r.Silent)
}

// A control VM has called a backend server silent. Another's word that it is not, sent
// before that one had noticed and about the same heartbeat, comes afterwards. Taken, the
// dead one would be given models again until the next silence.
func TestAnothersWordOnAnOldHeartbeatIsNoNews(t *testing.T) {
	one, two := laburnumregistry.New(period), laburnumregistry.New(period)
	one.Take(beat(1), start)
	two.Take(beat(1), start)
	onItsWay, _ := two.Record("i-1")
	require.Len(t, one.Expire(start.Add(4*period)), 1)
	require.False(t, one.Adopt(onItsWay, start.Add(4*period)))
	r, _ := one.Record("i-1")
	require.True(t, r.Silent)
}

// Releases replace backend servers day after day, each start under a new identity. Those
// gone for minutes must not be kept, and one that lives must, however long it is known.
func TestGoneBackendServersAreForgotten(t *testing.T) {
	table := laburnumregistry.New(period)
	other := func(h *laburnumlever.Heartbeat) { h.Backend = "i-2" }
	table.Take(beat(1), start)
	table.Take(beat(1, other), start)
	table.Remove("i-1", start.Add(time.Second))
	require.Empty(t, table.Forget(start.Add(time.Minute)), "a late heartbeat must still find it gone")
	require.Equal(t, []laburnumlever.BackendID{"i-1"}, table.Forget(start.Add(3*time.Minute)))
	require.Len(t, table.Records(), 1)
	require.Empty(t, table.Forget(start.Add(time.Hour)), "one whose silence nobody has noticed is kept")
	table.Expire(start.Add(time.Hour))
	require.Equal(t, []laburnumlever.BackendID{"i-2"}, table.Forget(start.Add(time.Hour)))
}

// A backend server speaks to one control VM, and the others are told only that it is alive.
// It does not fall silent there; a word from before its last heartbeat, or about one that
// is gone, counts for nothing.
func TestWordThatABackendServerIsAliveKeepsItHeard(t *testing.T) {
	const period = time.Second
	now := time.Unix(1_000_000, 0)
	table := laburnumregistry.New(period)
	h := laburnumlever.Heartbeat{Backend: "i-1", Service: "quotes", Sequence: 5}
	require.True(t, table.Take(h, now))
	for sequence := uint64(6); sequence < 20; sequence++ {
		now = now.Add(period)
		require.False(t, table.Alive("i-1", 0, sequence, now))
		require.Empty(t, table.Expire(now))
	}
	for range 4 {
		now = now.Add(period)
		require.False(t, table.Alive("i-1", 0, 7, now), "an old word")
	}
	require.Equal(t, []laburnumlever.BackendID{"i-1"}, table.Expire(now))
	require.True(t, table.Alive("i-1", 0, 20, now), "heard again, which is news")
	require.True(t, table.Remove("i-1", now))
	require.False(t, table.Alive("i-1", 0, 21, now))
	require.False(t, table.Alive("i-2", 0, 1, now), "not known here yet")
}

// An engine crashes and starts again under its identity. Its words begin at one again; taken
// for late ones, it would be unknown for as long as it ran before. Words of the earlier
// start, and that it has ended, come late and say nothing of the new one.
func TestStartUnderTheSameIdentityIsAnother(t *testing.T) {
	born := func(at uint64) func(*laburnumlever.Heartbeat) {
		return func(h *laburnumlever.Heartbeat) { h.Born = at }
	}
	table := laburnumregistry.New(period)
	require.True(t, table.Take(beat(40, born(100)), start))
	require.True(t, table.Take(beat(1, born(200)), start))
	require.False(t, table.Take(beat(41, born(100)), start), "a late word of the earlier start")
	require.False(t, table.Alive("i-1", 100, 50, start))
	gone := laburnumregistry.Record{Heartbeat: beat(41, born(100)), Gone: true}
	require.False(t, table.Merge(gone, start), "the earlier start's end")
	r, _ := table.Record("i-1")
	require.Equal(t, laburnumregistry.Record{Heartbeat: beat(1, born(200))}, r)
	require.True(t, table.Remove("i-1", start))
	require.False(t, table.Take(beat(2, born(200)), start), "its own end is final")
	require.True(t, table.Take(beat(1, born(300)), start))
	require.True(t, table.Merge(laburnumregistry.Record{Heartbeat: beat(9, born(400)), Gone: true}, start))
	require.False(t, table.Take(beat(8, born(400)), start))
}
