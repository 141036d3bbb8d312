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

// newJoinedFleet is a fleet of six VMs in three zones that all know each other.
func newJoinedFleet(t *testing.T, seed uint64) *fleet {
	t.Helper()
	f := laburnummembership.NewFleet(6, 3, seed)
	_, ok := f.Until(10*time.Second, func() bool { return f.All(func(n *fleetVM) bool { return n.Knows() == 6 }) })
	require.True(t, ok, "join")
	return f
}

func eventually(t *testing.T, f *fleet, limit time.Duration, what string, holds func(n *fleetVM) bool) {
	t.Helper()
	took, ok := f.Until(limit, func() bool { return f.All(holds) })
	require.True(t, ok, what)
	t.Log(what, took)
}

// never runs the fleet and fails as soon as a VM that is up shows the condition.
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

// An operator adds an engine and callers ask for what it holds; later it leaves.
// Through any VM, the engine must be used, and no longer be used, within three seconds.
func TestBackendStateReachesAllVMsWithinThreeSeconds(t *testing.T) {
	for seed := range uint64(40) {
		f := newJoinedFleet(t, 100+seed)
		e := f.AddEngine(1, "zone-1", f.VMs[1], f.VMs[4])
		id := e.Announcement.Backend
		f.Advance(1500 * time.Millisecond) // it has announced and reported by then
		eventually(t, f, 3*time.Second, "inventory", func(n *fleetVM) bool {
			b, _ := f.Backend(n, id)
			return b.Serves("model-006") && b.TakesWork()
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

// sameCopies compares inventories whatever their order, which is the VM's own.
func sameCopies(a, b []laburnumlever.Loaded) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(l laburnumlever.Loaded) bool {
		return !slices.ContainsFunc(b, func(other laburnumlever.Loaded) bool { return reflect.DeepEqual(l, other) })
	})
}

// A VM dies without a word. Callers and orders would go on being sent to it until
// the others hold it down; once it is started again it must be alive for all at once.
func TestDeadVMIsMarkedDownAndRejoins(t *testing.T) {
	f := newJoinedFleet(t, 1)
	f.VMs[4].Dead = true
	eventually(t, f, 8*time.Second, "down everywhere", func(n *fleetVM) bool { return n.State(f.VMs[4]) == laburnumlever.VMDown })
	f.Restart(f.VMs[4])
	eventually(t, f, 5*time.Second, "alive again", func(n *fleetVM) bool { return n.Knows() == 6 })
}

// A VM is frozen (SIGSTOP) for half a minute. The others hold it down; when it
// wakes, all its timers have run out and all its calls have failed, and it would
// declare every other VM and all its backend servers down.
func TestResumedVMMarksNobodyDown(t *testing.T) {
	f := newJoinedFleet(t, 2)
	resumed := f.VMs[3]
	e := f.AddEngine(1, "zone-0", resumed, f.VMs[0])
	eventually(t, f, 5*time.Second, "engine known", func(n *fleetVM) bool { _, ok := f.Backend(n, e.Announcement.Backend); return ok })
	resumed.Frozen = true
	f.Advance(30 * time.Second)
	require.Equal(t, laburnumlever.VMDown, f.VMs[0].State(resumed))
	resumed.Frozen = false
	// The first seconds after the waking are the moment in question; the others hold
	// the sleeper itself down until it refutes that.
	_, bad := f.Until(10*time.Second, func() bool {
		b, _ := f.Backend(resumed, e.Announcement.Backend)
		return b.Down || marksAnyDown(f)(resumed)
	})
	require.False(t, bad, "the woken VM declared others down")
	eventually(t, f, 5*time.Second, "alive again", func(n *fleetVM) bool { return n.Knows() == 6 })
}

// Links break in one direction: from one VM to another, from one VM to all, or
// from all to one. A membership that trusts a single prober would take healthy VMs down,
// and with them their backend servers, again and again.
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
			never(t, f, time.Minute, "a VM whose links work was held down", func(n *fleetVM) bool {
				for _, other := range f.VMs {
					if other != f.VMs[1] && n != f.VMs[1] && n.State(other) >= laburnumlever.VMDown {
						return true
					}
				}
				return false
			})
			f.Blocked = func(_, _ *fleetVM) bool { return false }
			eventually(t, f, 10*time.Second, "healed", func(n *fleetVM) bool { return n.Knows() == 6 })
		})
	}
}

// A zone is cut off for ten minutes and both sides hold each other down. Meanwhile
// engines start on both sides. Each side must go on with its own list, and after the heal
// everybody must know everybody, though nobody probes a VM that is down.
func TestPartitionedZoneKeepsItsMembersAndHeals(t *testing.T) {
	f := newJoinedFleet(t, 4)
	inside := func(n *fleetVM) bool { return n == f.VMs[0] || n == f.VMs[3] }
	f.Blocked = func(from, to *fleetVM) bool { return inside(from) != inside(to) }
	eventually(t, f, 15*time.Second, "both sides down for each other", func(n *fleetVM) bool {
		if inside(n) {
			return n.Knows() == 2
		}
		return n.Knows() == 4
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
		return n.Knows() == 6 && knowsIn && knowsOut
	})
}

// A backend server is killed, hung or cut off: its announcements stop. Every VM
// must stop sending it work within a few seconds. When it comes back it must be used
// again, and what it held before the restart must be forgotten: requests sent to
// a model it no longer holds would fail.
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
		return b.TakesWork() && b.Announcement.Incarnation == e.Announcement.Incarnation && len(b.Report.Loaded) == 0
	})
}

// The VM that speaks for an engine no longer hears it, or dies, while another VM still
// hears it. Taking its word alone would take a healthy engine out of every VM's routing.
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
				e.Hears = func(n *fleetVM) bool { return n != f.VMs[1] }
			}
			never(t, f, time.Minute, "a living engine was held down", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.Down })
			sequence := e.Report.Sequence
			eventually(t, f, 2*time.Second, "load goes on", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.Report.Sequence > sequence })
		})
	}
}

// An engine leaves but goes on announcing while it finishes its requests, and a VM
// that was cut off brings back news from before. Work sent to it would be cut off.
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
	never(t, f, 30*time.Second, "old news won", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return !b.Leaving && n != f.VMs[5] })
	eventually(t, f, 0, "leaving on the healed VM", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.Leaving })
	e.Restart()
	eventually(t, f, 3*time.Second, "new incarnation takes work", func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.TakesWork() })
}

// A third of all messages are lost. Nobody may be held down for that, and load must
// still arrive within a second in the zone of the engine.
func TestMessageLossMarksNobodyDown(t *testing.T) {
	for seed := range uint64(4) {
		f := newJoinedFleet(t, 8+seed)
		e := f.AddEngine(1, "zone-1", f.VMs[1], f.VMs[4])
		f.Loss = 0.3
		f.Advance(5 * time.Second)
		never(t, f, 2*time.Minute, "held down", marksAnyDown(f))
		b, ok := f.Backend(f.VMs[4], e.Announcement.Backend)
		require.True(t, ok)
		require.Less(t, f.Now.Sub(b.ReportedAt), time.Second)
	}
}

// A VM is taken away for good. Its record must not stay in every VM's memory for
// ever, and news of it, still going round, must not bring it back.
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

// An engine reports once and is then quiet for long, at a moment when messages are
// lost. Rows of load are passed on only a few times, as a newer one normally follows
// at once; a VM that missed the last one must still get it.
func TestLastLoadReachesEveryVM(t *testing.T) {
	for seed := range uint64(10) {
		f := newJoinedFleet(t, 20+seed)
		e := f.AddEngine(1, "zone-1", f.VMs[1])
		eventually(t, f, 5*time.Second, "known", func(n *fleetVM) bool { _, ok := f.Backend(n, e.Announcement.Backend); return ok })
		reports := e.Report.Sequence
		eventually(t, f, 2*time.Second, "reports", func(*fleetVM) bool { return e.Report.Sequence > reports })
		e.Quiet = true
		f.Loss = 0.8
		f.Advance(time.Second)
		f.Loss = 0
		eventually(t, f, 10*time.Second, "last load", func(n *fleetVM) bool {
			b, _ := f.Backend(n, e.Announcement.Backend)
			return b.Report.Sequence == e.Report.Sequence
		})
	}
}

// Engines load and unload in a row while messages are lost, so that some VMs miss one
// change and get the next. A VM that applied it to an older state would route to
// copies that are gone, or not know of those that are there.
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
	eventually(t, f, 10*time.Second, "the whole inventory", func(n *fleetVM) bool {
		b, _ := f.Backend(n, e.Announcement.Backend)
		return sameCopies(b.Report.Loaded, e.Report.Loaded)
	})
}

// A model's demand rises at one VM's callers. The VM that places for the zone must
// see it though no caller asks that VM itself; and when the asking VM dies, its
// demand must stop to count.
func TestDemandReachesTheZoneOwner(t *testing.T) {
	f := newJoinedFleet(t, 50)
	f.SetOwner(f.VMs[1])
	f.Advance(2 * time.Second)
	rows := []laburnumlever.ModelDemand{{Model: "m", VM: "vm-004", Sequence: 1, RequestsPerSecond: 7}}
	f.VMs[4].Demands(rows)
	f.Advance(2 * time.Second)
	require.Equal(t, rows, f.DemandAt(f.VMs[1]))
	f.VMs[4].Dead = true
	f.Advance(20 * time.Second)
	require.Empty(t, f.DemandAt(f.VMs[1]))
}
