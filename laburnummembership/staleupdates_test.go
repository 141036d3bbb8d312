package laburnummembership

import (
	"testing"
	"time"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

// newVMWithRestartedBackend is a VM that knows the second start of a backend server.
func newVMWithRestartedBackend(t *testing.T) (*FleetVM, time.Time) {
	t.Helper()
	f := NewFleet(1, 1, 1)
	n := f.VMs[0]
	a := laburnumlever.Announcement{Backend: "quote-1", Kind: laburnumlever.Engine, Incarnation: 2, Address: "10.0.9.2:9000"}
	require.NoError(t, n.announce(a, f.Now))
	require.NoError(t, n.report(laburnumlever.LoadReport{Backend: "quote-1", Incarnation: 2, Sequence: 1}, f.Now))
	return n, f.Now
}

// A backend server crashes and starts again elsewhere. An announcement of its first
// life was held up and arrives afterwards. Taken, it would send callers to the address
// of the dead process, which may be another's by now.
func TestAnnouncementOfEarlierIncarnationIsRefused(t *testing.T) {
	n, now := newVMWithRestartedBackend(t)
	late := laburnumlever.Announcement{Backend: "quote-1", Kind: laburnumlever.Engine, Incarnation: 1, Address: "10.0.9.1:9000"}
	var stale *laburnumlever.StaleNewsError
	require.ErrorAs(t, n.announce(late, now), &stale)
	require.Equal(t, "10.0.9.2:9000", n.backends.records["quote-1"].state.Announcement.Address)
}

// The same with a load report: it would show the new process as holding what the old one
// held, and as heard from though nothing came from it.
func TestReportOfEarlierIncarnationIsRefused(t *testing.T) {
	n, now := newVMWithRestartedBackend(t)
	late := laburnumlever.LoadReport{
		Backend: "quote-1", Incarnation: 1, Sequence: 900, InFlight: 40,
		Loaded: []laburnumlever.Loaded{{Model: "quotes", Version: "v1", Ready: true}},
	}
	var stale *laburnumlever.StaleNewsError
	require.ErrorAs(t, n.report(late, now), &stale)
	require.Empty(t, n.backends.records["quote-1"].report.Loaded)
	require.NoError(t, n.report(laburnumlever.LoadReport{Backend: "quote-1", Incarnation: 2, Sequence: 2}, now))
}

// The same with the word that it leaves: the new process would get no work for as long as
// it lives.
func TestLeaveOfEarlierIncarnationIsRefused(t *testing.T) {
	n, now := newVMWithRestartedBackend(t)
	var stale *laburnumlever.StaleNewsError
	require.ErrorAs(t, n.leaveBackend("quote-1", 1, now), &stale)
	require.False(t, n.backends.records["quote-1"].state.Leaving)
}

// A VM that was cut off goes on speaking for a backend server that tells another VM
// meanwhile that it leaves. After the cut its news are the higher ones and say nothing of
// leaving. Taken as they are, callers would be sent to a process that ends under them.
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
