package laburnummembership

import (
	"testing"
	"time"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

// newVMWithRestartedBackend returns a VM that knows the second incarnation of a backend server.
func newVMWithRestartedBackend(t *testing.T) (*FleetVM, time.Time) {
	t.Helper()
	f := NewFleet(1, 1, 1)
	n := f.VMs[0]
	a := laburnumlever.Announcement{Backend: "quote-1", Kind: laburnumlever.Engine, Incarnation: 2, Address: "10.0.9.2:9000"}
	require.NoError(t, n.announce(a, f.Now))
	require.NoError(t, n.report(laburnumlever.LoadReport{Backend: "quote-1", Incarnation: 2, Sequence: 1}, f.Now))
	return n, f.Now
}

// Guards against requests sent to the old address of a restarted backend server after a delayed announcement.
func TestAnnouncementOfEarlierIncarnationIsRefused(t *testing.T) {
	n, now := newVMWithRestartedBackend(t)
	late := laburnumlever.Announcement{Backend: "quote-1", Kind: laburnumlever.Engine, Incarnation: 1, Address: "10.0.9.1:9000"}
	var stale *laburnumlever.StaleNewsError
	require.ErrorAs(t, n.announce(late, now), &stale)
	require.Equal(t, "10.0.9.2:9000", n.backends.records["quote-1"].state.Announcement.Address)
}

// Guards against a restarted backend server that gets its old inventory, or seems in contact, by a delayed report.
func TestReportOfEarlierIncarnationIsRefused(t *testing.T) {
	n, now := newVMWithRestartedBackend(t)
	late := laburnumlever.LoadReport{
		Backend: "quote-1", Incarnation: 1, Sequence: 900, InFlight: 40,
		Loaded: []laburnumlever.ModelCopy{{Model: "quotes", Version: "v1", Ready: true}},
	}
	var stale *laburnumlever.StaleNewsError
	require.ErrorAs(t, n.report(late, now), &stale)
	require.Empty(t, n.backends.records["quote-1"].report.Loaded)
	require.NoError(t, n.report(laburnumlever.LoadReport{Backend: "quote-1", Incarnation: 2, Sequence: 2}, now))
}

// Guards against a restarted backend server that gets no work after a delayed leave notice of its previous incarnation.
func TestLeaveOfEarlierIncarnationIsRefused(t *testing.T) {
	n, now := newVMWithRestartedBackend(t)
	var stale *laburnumlever.StaleNewsError
	require.ErrorAs(t, n.leaveBackend("quote-1", 1, now), &stale)
	require.False(t, n.backends.records["quote-1"].state.Leaving)
}

// Guards against requests sent to a leaving process after gossip of a publisher that missed the leave notice.
func TestNewerStateWithoutLeavingDoesNotUndoIt(t *testing.T) {
	n, now := newVMWithRestartedBackend(t)
	require.NoError(t, n.leaveBackend("quote-1", 2, now))
	r := n.backends.records["quote-1"]
	higher := r.state
	higher.StateVersion += 10
	higher.Publisher = "vm-009"
	higher.Leaving = false
	n.backends.merge(higher, now)
	require.True(t, r.state.Leaving)
	require.Equal(t, higher.StateVersion, r.state.StateVersion)
}
