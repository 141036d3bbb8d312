package laburnumorder_test

import (
	"strings"
	"testing"
	"time"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

// Guards against models that stay missing, or two owners, after a zone starts cold with two VMs.
func TestAllModelsBecomeReachable(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newHarness(t, checks, checks)
		w.run(2 * time.Minute)
		w.requireAllReachable()
		require.NotEqual(t, w.vms[0].owner.Owns(), w.vms[1].owner.Owns())
		owner := w.vms[0].owner
		require.Positive(t, owner.LoadsDone())
		e, ok := owner.Explain("m0")
		require.True(t, ok)
		require.Contains(t, e.Lines[1], "ready: version v1 on")
	}
}

// Guards against missing models and over-committed memory when an order or its answer is lost, delayed or duplicated.
func TestLostDelayedAndDuplicatedOrders(t *testing.T) {
	for name, fault := range map[string]orderFault{"lost": orderLost, "answer lost": answerLost, "late": orderDelayed, "twice": orderDuplicated} {
		for _, checks := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				w := newHarness(t, checks, checks)
				w.orderFault, w.delay = fault, maxOrderDelay-time.Second
				w.runUntilOrder()
				w.orderFault = orderDelivered
				w.newVersions()
				w.run(25 * time.Second)
				w.newVersions()
				w.run(4 * time.Minute)
				w.requireAllReachable()
			})
		}
	}
}

// Guards against a new owner that ignores orders of the old one still in flight.
func TestOwnerKilledWithOrderInFlight(t *testing.T) {
	for name, fault := range map[string]orderFault{"between intent and send": orderLost, "between send and answer": orderDelayed} {
		for _, checks := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				w := newHarness(t, checks, checks)
				w.orderFault, w.delay = fault, 20*time.Second
				w.runUntilOrder()
				w.startVM(0, 2)
				w.orderFault = orderDelivered
				w.newVersions()
				w.run(3 * time.Minute)
				w.requireAllReachable()
				require.Empty(t, w.quorum.intents)
			})
		}
	}
}

// Guards against an order that a frozen owner sends when it resumes, after another owner has filled the memory.
func TestFrozenOwnerResumesAndSends(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newHarness(t, checks)
		w.catalogue = catalogueOf(2, 60)
		first, second := w.vms[0], w.vms[1]
		first.manualWork, second.cutFromQuorum = true, true
		// Calls run one at a time until the next call is the first order.
		for range 2000 {
			w.run(250 * time.Millisecond)
			if aboutToOrder(w, first, checks) {
				break
			}
			first.workOnce(0)
		}
		require.True(t, aboutToOrder(w, first, checks))
		require.Empty(t, w.orders)
		second.cutFromQuorum = false
		first.frozen = true
		w.newVersions()
		w.run(2 * time.Minute)
		w.requireAllReachable()
		sentBefore := len(w.orders)
		first.frozen, first.manualWork = false, false
		w.run(2 * time.Minute)
		if !checks {
			require.Len(t, w.orders, sentBefore, "order sent after the lease had expired")
		}
		w.requireAllReachable()
		require.False(t, first.owner.Owns())
	}
}

// aboutToOrder reports whether the VM's next call sends an order.
func aboutToOrder(w *harness, v *vm, checks bool) bool {
	e, _ := v.owner.Explain("m0")
	begun := len(e.Lines) > 1 && strings.HasPrefix(e.Lines[len(e.Lines)-1], "moved")
	return begun && len(v.work) > 0 && (checks || len(w.quorum.intents) > 0)
}

// Guards against models missing in a zone that is cut off, and against its orders to engines that check no fencing numbers.
func TestZoneCutFromQuorum(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newHarness(t, checks, checks)
		w.run(2 * time.Minute)
		for _, v := range w.vms {
			v.cutFromQuorum = true
		}
		w.run(time.Minute)
		before := len(w.orders)
		w.restartEngine(0)
		w.run(2 * time.Minute)
		if checks {
			w.requireAllReachable()
			require.Greater(t, len(w.orders), before)
			continue
		}
		require.Len(t, w.orders, before)
		for _, v := range w.vms {
			v.cutFromQuorum = false
		}
		w.run(3 * time.Minute)
		w.requireAllReachable()
	}
}

// Guards against orders from an owner that was never granted the lease, even to engines that check fencing numbers.
func TestNoOrdersWithoutLease(t *testing.T) {
	w := newHarness(t, true, false)
	for _, v := range w.vms {
		v.cutFromQuorum = true
	}
	w.run(5 * time.Minute)
	require.Empty(t, w.orders)
}

// Guards against orders to an engine that announces that it checks fencing numbers but does not.
func TestEngineIgnoringFencingNumberGetsNoOrders(t *testing.T) {
	w := newHarness(t, false)
	w.ignoreFencing = true
	w.run(2 * time.Minute)
	require.Empty(t, w.orders)
}

// Guards against loading into memory that is in use, because engines report copies from before a restart or a load.
func TestStaleReportsAndRestarts(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newHarness(t, checks, checks)
		for _, v := range w.vms {
			v.View()
			v.staleReports = true
		}
		w.run(time.Minute)
		w.restartEngine(1)
		w.run(2 * time.Minute)
		w.restartEngine(0)
		w.run(2 * time.Minute)
		w.requireAllReachable()
	}
}

// Guards against missing models and over-committed memory when the catalogue changes during loads or an accelerator fails.
func TestCatalogueChangesUnderLoad(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newHarness(t, checks, checks, checks)
		w.requireContinuity = true
		w.run(50 * time.Second)
		changes := []func(c *laburnumlever.Catalogue){
			func(c *laburnumlever.Catalogue) { c.Models[0].WeightsMiB = 70 },
			func(c *laburnumlever.Catalogue) { c.Models[2].WeightsMiB = 40 },
			func(c *laburnumlever.Catalogue) { c.Models[1].Version = "v2" },
			func(c *laburnumlever.Catalogue) { c.Models = c.Models[:3] },
			func(c *laburnumlever.Catalogue) {
				c.Models[2].Adapters = []laburnumlever.Adapter{{Name: "x", SizeMiB: 10}}
			},
		}
		for _, change := range changes {
			models := append([]laburnumlever.Model(nil), w.catalogue.Models...)
			w.catalogue.Models = models
			change(&w.catalogue)
			w.catalogue = w.catalogue.WithRevision(w.catalogue.Revision + 1)
			w.run(3 * time.Second)
		}
		w.run(2 * time.Minute)
		w.newVersions()
		w.run(4 * time.Minute)
		requireCurrent(t, w)
		w.requireContinuity = false
		w.engines[0].FailAccelerator("a1")
		w.run(5 * time.Minute)
		w.requireAllReachable()
		requireCurrent(t, w)
	}
}

// requireCurrent checks that all copies match the catalogue's version, size and adapters.
func requireCurrent(t tester, w *harness) {
	for _, e := range w.engines {
		for _, c := range e.Report().Loaded {
			m, ok := w.catalogue.Model(c.Model)
			require.True(t, ok, c.Model)
			require.Equal(t, m.Version, c.Version)
			require.Equal(t, m.PartMiB(), c.PartMiB)
			require.Len(t, c.Adapters, len(m.Adapters))
		}
	}
}
