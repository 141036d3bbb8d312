package laburnummembership_test

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnummembership"

	"github.com/stretchr/testify/require"
)

type (
	fleet   = laburnummembership.Fleet
	fleetVM = laburnummembership.FleetVM
)

// newJoinedFleet returns six VMs in three zones that all know each other.
func newJoinedFleet(t *testing.T, seed uint64) *fleet {
	t.Helper()
	f := laburnummembership.NewFleet(6, 3, seed)
	_, ok := f.Until(10*time.Second, func() bool { return f.All(func(n *fleetVM) bool { return n.AliveCount() == 6 }) })
	require.True(t, ok, "join")
	return f
}

// eventually runs the fleet until the condition holds on every VM that is up, and fails after
// limit.
func eventually(t *testing.T, f *fleet, limit time.Duration, what string, holds func(n *fleetVM) bool) {
	t.Helper()
	took, ok := f.Until(limit, func() bool { return f.All(holds) })
	require.True(t, ok, what)
	t.Log(what, took)
}

// never runs the fleet for d and fails as soon as the condition holds on any VM that is up.
func never(t *testing.T, f *fleet, d time.Duration, what string, holds func(n *fleetVM) bool) {
	t.Helper()
	_, ok := f.Until(d, func() bool { return !f.All(func(n *fleetVM) bool { return !holds(n) }) })
	require.False(t, ok, what)
}

func marksAnyDown(f *fleet) func(n *fleetVM) bool {
	return func(n *fleetVM) bool {
		for _, other := range f.VMs {
			if n.State(other) >= laburnumlever.VMDown {
				return true
			}
		}
		return false
	}
}

// Guards against VMs that use a new engine late, or go on using one that is leaving, because gossip is slow.
func TestBackendStateReachesAllVMsWithinThreeSeconds(t *testing.T) {
	for seed := range uint64(40) {
		f := newJoinedFleet(t, 100+seed)
		e := f.AddEngine(1, "zone-1", f.VMs[1], f.VMs[4])
		id := e.Announcement.Backend
		f.Advance(1500 * time.Millisecond) // it has announced and reported by then
		eventually(t, f, 3*time.Second, "inventory", func(n *fleetVM) bool {
			b, _ := f.Backend(n, id)
			return b.Serves("model-006") && b.AcceptsRequests()
		})
		f.ChangeInventory(e)
		changed := e.Report.Loaded
		eventually(t, f, 3*time.Second, "change", func(n *fleetVM) bool {
			b, _ := f.Backend(n, id)
			return sameCopies(b.Report.Loaded, changed)
		})
		e.Leave(f)
		eventually(t, f, 3*time.Second, "leaving", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.Leaving })
	}
}

// sameCopies compares inventories without regard to order, as each VM sorts its own.
func sameCopies(a, b []laburnumlever.ModelCopy) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(l laburnumlever.ModelCopy) bool {
		return !slices.ContainsFunc(b, func(other laburnumlever.ModelCopy) bool { return reflect.DeepEqual(l, other) })
	})
}

// Guards against sending callers and orders to a VM that crashed, and against a restarted VM that stays down.
func TestDeadVMIsMarkedDownAndRejoins(t *testing.T) {
	f := newJoinedFleet(t, 1)
	f.VMs[4].Dead = true
	eventually(t, f, 8*time.Second, "down everywhere", func(n *fleetVM) bool { return n.State(f.VMs[4]) == laburnumlever.VMDown })
	f.Restart(f.VMs[4])
	eventually(t, f, 5*time.Second, "alive again", func(n *fleetVM) bool { return n.AliveCount() == 6 })
}

// Guards against a VM that marks others as down when it resumes after a pause, as all its timers and calls have expired.
func TestResumedVMMarksNobodyDown(t *testing.T) {
	f := newJoinedFleet(t, 2)
	resumed := f.VMs[3]
	e := f.AddEngine(1, "zone-0", resumed, f.VMs[0])
	eventually(t, f, 5*time.Second, "engine known", func(n *fleetVM) bool { _, ok := f.Backend(n, e.Announcement.Backend); return ok })
	resumed.Frozen = true
	f.Advance(30 * time.Second)
	require.Equal(t, laburnumlever.VMDown, f.VMs[0].State(resumed))
	resumed.Frozen = false
	// The faults would appear in the first seconds after resuming. The other VMs hold
	// the resumed VM itself as down until it refutes that.
	_, bad := f.Until(10*time.Second, func() bool {
		b, _ := f.Backend(resumed, e.Announcement.Backend)
		return b.Down || marksAnyDown(f)(resumed)
	})
	require.False(t, bad, "the resumed VM marked others as down")
	eventually(t, f, 5*time.Second, "alive again", func(n *fleetVM) bool { return n.AliveCount() == 6 })
}

// Guards against healthy VMs marked as down because a single prober has broken links in one direction.
func TestAsymmetricLinkFailuresMarkNoOtherVMDown(t *testing.T) {
	cuts := map[string]func(f *fleet) func(from, to *fleetVM) bool{
		"one to one": func(f *fleet) func(from, to *fleetVM) bool {
			return func(from, to *fleetVM) bool { return from == f.VMs[1] && to == f.VMs[2] }
		},
		"one to all": func(f *fleet) func(from, to *fleetVM) bool {
			return func(from, _ *fleetVM) bool { return from == f.VMs[1] }
		},
		"all to one": func(f *fleet) func(from, to *fleetVM) bool {
			return func(_, to *fleetVM) bool { return to == f.VMs[1] }
		},
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			f := newJoinedFleet(t, 3)
			f.Blocked = cut(f)
			never(t, f, time.Minute, "a VM with working links was marked as down", func(n *fleetVM) bool {
				for _, other := range f.VMs {
					if other != f.VMs[1] && n != f.VMs[1] && n.State(other) >= laburnumlever.VMDown {
						return true
					}
				}
				return false
			})
			f.Blocked = func(_, _ *fleetVM) bool { return false }
			eventually(t, f, 10*time.Second, "healed", func(n *fleetVM) bool { return n.AliveCount() == 6 })
		})
	}
}

// Guards against a partitioned zone that loses its own state, or never reconnects as VMs that are down are not probed.
func TestPartitionedZoneKeepsItsMembersAndHeals(t *testing.T) {
	f := newJoinedFleet(t, 4)
	inside := func(n *fleetVM) bool { return n == f.VMs[0] || n == f.VMs[3] }
	f.Blocked = func(from, to *fleetVM) bool { return inside(from) != inside(to) }
	eventually(t, f, 15*time.Second, "each side holds the other as down", func(n *fleetVM) bool {
		if inside(n) {
			return n.AliveCount() == 2
		}
		return n.AliveCount() == 4
	})
	in := f.AddEngine(1, "zone-0", f.VMs[0], f.VMs[3])
	out := f.AddEngine(2, "zone-1", f.VMs[1], f.VMs[4])
	f.Advance(10 * time.Minute)
	_, ok := f.Backend(f.VMs[3], in.Announcement.Backend)
	require.True(t, ok)
	f.Blocked = func(_, _ *fleetVM) bool { return false }
	eventually(t, f, 15*time.Second, "healed", func(n *fleetVM) bool {
		_, knowsIn := f.Backend(n, in.Announcement.Backend)
		_, knowsOut := f.Backend(n, out.Announcement.Backend)
		return n.AliveCount() == 6 && knowsIn && knowsOut
	})
}

// Guards against requests for a silent backend server, or for models that it no longer holds after a restart.
func TestSilentBackendIsMarkedDownAndRestartsEmpty(t *testing.T) {
	f := newJoinedFleet(t, 5)
	e := f.AddEngine(1, "zone-1", f.VMs[1], f.VMs[4])
	id := e.Announcement.Backend
	eventually(t, f, 5*time.Second, "inventory known", func(n *fleetVM) bool {
		b, _ := f.Backend(n, id)
		return b.Serves("model-006")
	})
	e.Silent = true
	eventually(t, f, 5*time.Second, "down", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.Down })
	e.Restart()
	eventually(t, f, 5*time.Second, "new incarnation", func(n *fleetVM) bool {
		b, _ := f.Backend(n, id)
		return b.AcceptsRequests() && b.Announcement.Incarnation == e.Announcement.Incarnation && len(b.Report.Loaded) == 0
	})
}

// Guards against marking a healthy engine as down because the VM that publishes it lost contact or crashed.
func TestAnotherVMTakesOverPublishingABackend(t *testing.T) {
	for _, name := range []string{"link broken", "publisher dead"} {
		t.Run(name, func(t *testing.T) {
			f := newJoinedFleet(t, 6)
			e := f.AddEngine(1, "zone-1", f.VMs[1], f.VMs[4])
			id := e.Announcement.Backend
			eventually(t, f, 5*time.Second, "known", func(n *fleetVM) bool { _, ok := f.Backend(n, id); return ok })
			if name == "publisher dead" {
				f.VMs[1].Dead = true
			} else {
				e.Reaches = func(n *fleetVM) bool { return n != f.VMs[1] }
			}
			never(t, f, time.Minute, "a running engine was marked as down", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.Down })
			sequence := e.Report.Sequence
			eventually(t, f, 2*time.Second, "load is still published", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.Report.Sequence > sequence })
		})
	}
}

// Guards against an older state that undoes the leaving of an engine, whose new requests would be cut off.
func TestLeavingIsStickyUntilANewIncarnation(t *testing.T) {
	f := newJoinedFleet(t, 7)
	e := f.AddEngine(1, "zone-1", f.VMs[1], f.VMs[4])
	id := e.Announcement.Backend
	eventually(t, f, 5*time.Second, "known", func(n *fleetVM) bool { _, ok := f.Backend(n, id); return ok })
	f.Blocked = func(from, to *fleetVM) bool { return from == f.VMs[5] || to == f.VMs[5] }
	f.Advance(time.Second)
	e.Leave(f)
	eventually(t, f, 3*time.Second, "leaving", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.Leaving || n == f.VMs[5] })
	f.Advance(20 * time.Second)
	f.Blocked = func(_, _ *fleetVM) bool { return false }
	never(t, f, 30*time.Second, "an older state undid the leaving", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return !b.Leaving && n != f.VMs[5] })
	eventually(t, f, 0, "leaving on the healed VM", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.Leaving })
	e.Restart()
	eventually(t, f, 3*time.Second, "new incarnation takes work", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.AcceptsRequests() })
}

// Guards against VMs marked as down, or load that arrives late, because a third of all messages is lost.
func TestMessageLossMarksNobodyDown(t *testing.T) {
	for seed := range uint64(4) {
		f := newJoinedFleet(t, 8+seed)
		e := f.AddEngine(1, "zone-1", f.VMs[1], f.VMs[4])
		f.Loss = 0.3
		f.Advance(5 * time.Second)
		never(t, f, 2*time.Minute, "marked as down", marksAnyDown(f))
		b, ok := f.Backend(f.VMs[4], e.Announcement.Backend)
		require.True(t, ok)
		require.Less(t, f.Now.Sub(b.ReportedAt), time.Second)
	}
}

// Guards against records of removed VMs that stay in memory forever, or that late gossip restores.
func TestRemovedVMIsForgotten(t *testing.T) {
	f := newJoinedFleet(t, 9)
	gone := f.VMs[5]
	gone.Dead = true
	f.ForgetAfter(10 * time.Minute)
	f.Advance(9 * time.Minute)
	require.Len(t, f.VMs[0].Members(), 6)
	f.Advance(5 * time.Minute)
	for _, n := range f.VMs[:5] {
		require.Len(t, n.Members(), 5)
	}
}

// Guards against a VM that keeps an older load after it missed the last report of an engine.
func TestLastLoadReachesEveryVM(t *testing.T) {
	for seed := range uint64(10) {
		f := newJoinedFleet(t, 20+seed)
		e := f.AddEngine(1, "zone-1", f.VMs[1])
		eventually(t, f, 5*time.Second, "known", func(n *fleetVM) bool { _, ok := f.Backend(n, e.Announcement.Backend); return ok })
		reports := e.Report.Sequence
		eventually(t, f, 2*time.Second, "reports", func(*fleetVM) bool { return e.Report.Sequence > reports })
		e.NoReports = true
		// Each row is sent only a few times, so some VMs miss it.
		f.Loss = 0.8
		f.Advance(time.Second)
		f.Loss = 0
		eventually(t, f, 10*time.Second, "last load", func(n *fleetVM) bool {
			b, _ := f.Backend(n, e.Announcement.Backend)
			return b.Report.Sequence == e.Report.Sequence
		})
	}
}

// Guards against inventories that are wrong for good because a delta was applied after a lost one.
func TestInventoryDeltasConverge(t *testing.T) {
	f := newJoinedFleet(t, 40)
	e := f.AddEngine(1, "zone-1", f.VMs[1], f.VMs[4])
	f.Advance(5 * time.Second)
	f.Loss = 0.4
	for range 60 {
		f.ChangeInventory(e)
		f.Advance(700 * time.Millisecond)
	}
	f.Loss = 0
	eventually(t, f, 10*time.Second, "complete inventory", func(n *fleetVM) bool {
		b, _ := f.Backend(n, e.Announcement.Backend)
		return sameCopies(b.Report.Loaded, e.Report.Loaded)
	})
}

// Guards against a zone owner that misses demand arriving at other VMs, or still counts that of a VM that crashed.
func TestDemandReachesTheZoneOwner(t *testing.T) {
	f := newJoinedFleet(t, 50)
	f.SetOwner(f.VMs[1])
	f.Advance(2 * time.Second)
	rows := []laburnumlever.ModelDemand{{Model: "m", VM: "vm-004", Sequence: 1, RequestsPerSecond: 7}}
	f.VMs[4].SetDemand(rows)
	f.Advance(2 * time.Second)
	require.Equal(t, rows, f.DemandAt(f.VMs[1]))
	f.VMs[4].Dead = true
	f.Advance(20 * time.Second)
	require.Empty(t, f.DemandAt(f.VMs[1]))
}
