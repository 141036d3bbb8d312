package laburnumorder_test

import (
	"testing"
	"time"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

func twoZones(t tester) *harness {
	w := newZonesHarness(t, []laburnumlever.ZoneName{"a", "b"}, true, true, true, true)
	w.run(3 * time.Minute)
	w.requireReachableIn("a")
	w.requireReachableIn("b")
	return w
}

func (w *harness) requireReachableIn(zone laburnumlever.ZoneName) {
	names := make(map[laburnumlever.ModelName]bool)
	for _, e := range w.engines {
		for _, c := range e.Report().Loaded {
			if c.Ready && e.Announcement().Zone == zone {
				names[c.Model] = true
			}
		}
	}
	require.Len(w.t, names, len(w.catalogue.Models))
}

// Guards against models that stay missing in a partitioned zone with memory for them, and against moves after it heals.
func TestPartitionedZones(t *testing.T) {
	w := twoZones(t)
	a, b := w.vms[0], w.vms[1]
	a.isolated, b.isolated, b.cutFromQuorum = true, true, true
	w.run(time.Minute)
	w.restartEngine(0)
	w.restartEngine(1)
	w.run(3 * time.Minute)
	w.requireReachableIn("a")
	w.requireReachableIn("b")
	a.isolated, b.isolated, b.cutFromQuorum = false, false, false
	before := len(w.orders)
	w.run(5 * time.Minute)
	require.Len(t, w.orders, before)
}

// Guards against zones that wait for each other to repair a model, or load and unload without end, as their views differ.
func TestDivergingViewsConverge(t *testing.T) {
	w := twoZones(t)
	w.vms[0].isolated = true
	w.restartEngine(0)
	w.restartEngine(1)
	w.run(3 * time.Minute)
	w.requireReachableIn("a")
	before := len(w.orders)
	w.run(10 * time.Minute)
	require.Len(t, w.orders, before)
}

// Guards against exceeding the weight store's rate or parallel loads when all zones start cold at once.
func TestColdStartRespectsWeightStoreLimits(t *testing.T) {
	zones := []laburnumlever.ZoneName{"a", "b", "c", "d"}
	w := newZonesHarness(t, zones, true, true, true, true, true, true, true, true)
	w.catalogue.Deployment.WeightStore = laburnumlever.WeightStore{LoadsPerSecond: 1.5, ParallelLoads: 7}
	start, highest := w.timers.Now(), 0
	for range 240 {
		w.run(250 * time.Millisecond)
		loading, loads := 0, 0
		for _, e := range w.engines {
			for _, c := range e.Report().Loaded {
				if !c.Ready {
					loading++
				}
			}
		}
		for _, o := range w.orders {
			if o.Kind == laburnumlever.Load {
				loads++
			}
		}
		highest = max(highest, loading)
		require.LessOrEqual(t, float64(loads), 1.5*w.timers.Now().Sub(start).Seconds())
	}
	w.requireAllReachable()
	require.LessOrEqual(t, highest, 7)
	require.Positive(t, highest)
}

// Guards against endless unloads and loads of the same copy after fast changes of versions and sizes in full memory.
func TestVersionChangesConvergeInFullMemory(t *testing.T) {
	w := newZonesHarness(t, []laburnumlever.ZoneName{"a", "b"}, true, true, true, true)
	w.run(2 * time.Minute)
	w.requireContinuity = true
	w.startVM(0, 2)
	w.change(0, func(m *laburnumlever.Model) { m.Adapters = []laburnumlever.Adapter{{Name: "x", SizeMiB: 9}} })
	w.newVersions()
	w.change(3, func(m *laburnumlever.Model) { m.WeightsMiB = 34 })
	w.startVM(1, 3)
	w.run(20 * time.Second)
	w.change(1, func(m *laburnumlever.Model) { m.WeightsMiB = 32 })
	w.startVM(1, 4)
	w.newVersions()
	w.vms[1].frozen = true
	w.startVM(0, 5)
	w.run(15883 * time.Millisecond)
	w.startVM(0, 6)
	w.newVersions()
	w.change(1, func(m *laburnumlever.Model) { m.Adapters = []laburnumlever.Adapter{{Name: "x", SizeMiB: 3}} })
	w.vms[1].frozen = false
	w.run(5 * time.Minute)
	// The orders of a round must not postpone the inventory read that frees the memory still counted.
	requireCurrent(t, w)
	before := len(w.orders)
	w.run(time.Minute)
	require.Len(t, w.orders, before)
}

// Guards against orders that keep postponing the inventory read, which alone frees the memory counted for settled orders.
func TestInventoryIsReadBetweenOrders(t *testing.T) {
	w := newHarness(t, true)
	w.catalogue = catalogueOf(1, 1).WithRevision(2)
	w.run(time.Minute)
	orders, claims := len(w.orders), w.claims
	const seconds = 30
	for range 2 * seconds {
		w.newVersions()
		w.run(time.Second / 2)
	}
	require.Greater(t, len(w.orders)-orders, seconds/2)
	require.GreaterOrEqual(t, w.claims-claims, seconds/3)
}

// Guards against models that stay missing because a zone with room leaves them to the frozen owner of another zone.
func TestRepairTakenOverFromFrozenOwner(t *testing.T) {
	w := newZonesHarness(t, []laburnumlever.ZoneName{"a", "b"}, true, true, true)
	w.run(time.Minute)
	w.requireAllReachable()
	w.vms[1].frozen = true
	for i := range w.engines {
		w.restartEngine(i)
	}
	w.run(time.Minute)
	w.requireAllReachable()
}
