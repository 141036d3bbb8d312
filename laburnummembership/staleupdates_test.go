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

// A backend server has restarted at another address when a delayed announcement of its previous
// incarnation arrives. Guards against sending requests to the old address, which may belong to
// another process by now.
func TestAnnouncementOfEarlierIncarnationIsRefused(t *testing.T) {
	n, now := newVMWithRestartedBackend(t)
	late := laburnumlever.Announcement{Backend: "quote-1", Kind: laburnumlever.Engine, Incarnation: 1, Address: "10.0.9.1:9000"}
	var stale *laburnumlever.StaleNewsError
	require.ErrorAs(t, n.announce(late, now), &stale)
	require.Equal(t, "10.0.9.2:9000", n.backends.records["quote-1"].state.Announcement.Address)
}

// Guards against a delayed load report of the previous incarnation giving the new process the
// old inventory, and making it appear to be in contact.
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

// Guards against a delayed leave notice of the previous incarnation: the new process would get
// no work until its next restart.
func TestLeaveOfEarlierIncarnationIsRefused(t *testing.T) {
	n, now := newVMWithRestartedBackend(t)
	var stale *laburnumlever.StaleNewsError
	require.ErrorAs(t, n.leaveBackend("quote-1", 1, now), &stale)
	require.False(t, n.backends.records["quote-1"].state.Leaving)
}

// A publisher that was cut off gossips a newer state without Leaving, while another VM has
// received the leave notice. Guards against that state undoing the leaving: requests would go
// to a process about to end.
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
