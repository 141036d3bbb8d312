package laburnumdistribution_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdistribution"

	"github.com/stretchr/testify/require"
)

func emptyCatalogue(n uint64) laburnumlever.Catalogue { return laburnumlever.Catalogue{Revision: n} }

func allHold(f *laburnumdistribution.Fleet, n uint64) func() bool {
	return func() bool {
		for i := range f.VMs {
			if f.Revision(i) != n {
				return false
			}
		}
		return true
	}
}

// Guards against a partitioned zone that loses its revision, misses the new one after healing or reverts to an older one.
func TestPartitionedZoneKeepsItsRevisionAndCatchesUp(t *testing.T) {
	f := laburnumdistribution.NewFleet(6, 1)
	f.Publish(0, emptyCatalogue(5))
	_, ok := f.Until(7*time.Second, allHold(f, 5))
	require.True(t, ok)
	inside := func(i int) bool { return i >= 4 }
	f.Blocked = func(from, to int) bool { return inside(from) != inside(to) }
	f.Publish(0, emptyCatalogue(6))
	f.Restart(5)
	_, ok = f.Until(7*time.Second, func() bool {
		return f.Revision(1) == 6 && f.Revision(2) == 6 && f.Revision(3) == 6 && f.Revision(5) == 5
	})
	require.True(t, ok)
	require.EqualValues(t, 5, f.Revision(4))
	f.Blocked = func(_, _ int) bool { return false }
	f.Publish(4, emptyCatalogue(4))
	_, ok = f.Until(7*time.Second, allHold(f, 6))
	require.True(t, ok)
}

// Guards against VMs that report a revision although no VM holds one.
func TestVMsWithoutCatalogueReportNone(t *testing.T) {
	f := laburnumdistribution.NewFleet(2, 2)
	_, ok := f.Until(30*time.Second, func() bool { return f.Revision(0)+f.Revision(1) > 0 })
	require.False(t, ok)
}

// Measures how fast a revision spreads for docs/membership-measures.md; it checks nothing.
func TestMeasureSpread(t *testing.T) {
	chosen := os.Getenv("LABURNUM_VMS")
	if chosen == "" {
		t.Skip("a measurement: set LABURNUM_VMS=6,50,200,780")
	}
	for _, text := range strings.Split(chosen, ",") {
		vms, err := strconv.Atoi(text)
		require.NoError(t, err)
		for _, loss := range []float64{0, 0.05, 0.3} {
			measureSpread(t, vms, loss)
		}
	}
}

func measureSpread(t *testing.T, vms int, loss float64) {
	const runs = 5
	var times []time.Duration
	var bytes, bodies, busiest int
	for seed := range uint64(runs) {
		f := laburnumdistribution.NewFleet(vms, seed)
		f.Publish(0, emptyCatalogue(1))
		_, ok := f.Until(time.Minute, allHold(f, 1))
		require.True(t, ok)
		f.Loss = loss
		clear(f.Bytes)
		clear(f.Bodies)
		f.Publish(int(seed)%vms, designCatalogue().WithRevision(2))
		took, ok := f.Until(time.Minute, allHold(f, 2))
		require.True(t, ok)
		times = append(times, took)
		busiest = max(busiest, slices.Max(f.Bytes))
		for i := range f.Bytes {
			bytes += f.Bytes[i]
			bodies += f.Bodies[i]
		}
	}
	slices.Sort(times)
	t.Logf("%d VMs, loss %.0f%%: all hold it after median %v max %v; bytes a VM for one revision %d (busiest %d), bodies a VM %.2f",
		vms, 100*loss, times[runs/2].Round(time.Millisecond), times[runs-1].Round(time.Millisecond), bytes/vms/runs, busiest,
		float64(bodies)/float64(vms*runs))
}

// designCatalogue returns a catalogue with as many models as the design allows for.
func designCatalogue() laburnumlever.Catalogue {
	c := laburnumlever.Catalogue{}
	for i := range 370 {
		m := laburnumlever.Model{
			Name: laburnumlever.ModelName(fmt.Sprintf("model-%d", i*7919%370)), Owner: laburnumlever.OwnerName(fmt.Sprintf("owner-%d", i%40)),
			Class: "interactive", Version: "v3", Versions: []laburnumlever.Version{"v1", "v2", "v3"},
			WeightsMiB: 9000 + i*31, KVReserveMiB: 2000 + i*7, Limits: laburnumlever.Limits{RequestsPerSecond: float64(i), InFlight: 10 + i},
		}
		for a := range 3 {
			m.Adapters = append(m.Adapters, laburnumlever.Adapter{Name: laburnumlever.AdapterName(fmt.Sprintf("adapter-%d-%d", i, a)), SizeMiB: 40 + i%90})
		}
		c.Models = append(c.Models, m)
	}
	return c
}

func TestDesignCatalogueIsLargeEnoughToMeasure(t *testing.T) {
	raw, err := json.Marshal(designCatalogue())
	require.NoError(t, err)
	require.Greater(t, len(raw), 100<<10)
	t.Log(len(raw))
}
