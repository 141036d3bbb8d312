package laburnummembership_test

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnummembership"

	"github.com/stretchr/testify/require"
)

// sizes returns the fleet sizes to measure, from LABURNUM_VMS.
func sizes(t *testing.T) []int {
	t.Helper()
	chosen := os.Getenv("LABURNUM_VMS")
	if chosen == "" {
		t.Skip("a measurement: set LABURNUM_VMS=6,50,200,780")
	}
	var out []int
	for _, text := range strings.Split(chosen, ",") {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		out = append(out, n)
	}
	return out
}

// fleetOf returns a fleet with the proportions of the design: 2,100 engines to 780 VMs in 7
// zones, each engine with the addresses of two VMs of its zone.
func fleetOf(vms int) (*fleet, []*laburnummembership.Engine) {
	zones := min(7, max(2, vms/2))
	f := laburnummembership.NewFleet(vms, zones, 1)
	var engines []*laburnummembership.Engine
	for i := range vms * 2100 / 780 {
		zone := i % zones
		var near []*fleetVM
		for v := zone; v < vms; v += zones {
			near = append(near, f.VMs[v])
		}
		first := i / zones
		e := f.AddEngine(i, laburnumlever.ZoneName(fmt.Sprintf("zone-%d", zone)), near[first%len(near)], near[(first+1)%len(near)])
		engines = append(engines, e)
	}
	return f, engines
}

// changesPerSecond is the number of inventory changes in the whole fleet: three loads a second,
// the limit of the larger of today's weight stores, each with a change at its start and its
// end.
const changesPerSecond = 6

// Measures the cost of membership for docs/membership-measures.md; it checks nothing.
func TestMeasureCost(t *testing.T) {
	for _, vms := range sizes(t) {
		t.Run(strconv.Itoa(vms), func(t *testing.T) { measure(t, vms) })
	}
}

func measure(t *testing.T, vms int) {
	before := heapBytes()
	f, engines := fleetOf(vms)
	if os.Getenv("LABURNUM_COLD") != "" {
		took, ok := f.Until(2*time.Minute, func() bool {
			return f.All(func(n *fleetVM) bool { return n.AliveCount() == vms && n.BackendCount() == len(engines) })
		})
		t.Logf("%d VMs, %d engines: all known after %v (%v)", vms, len(engines), took, ok)
		return
	}
	t.Logf("%d VMs, %d engines", vms, len(engines))
	f.Advance(2 * time.Second) // every engine has announced and reported by then
	f.ShareAllFacts()
	f.Every(time.Second/changesPerSecond, func() { f.ChangeInventory(engines[f.Random.IntN(len(engines))]) })
	f.Advance(10 * time.Second)
	const window = 10 * time.Second
	f.ResetCounts()
	f.Advance(window)
	var sent, received []int
	var messages int
	var spent time.Duration
	methods := map[string]int{}
	for _, n := range f.VMs {
		sent = append(sent, n.Bytes)
		received = append(received, n.Received)
		messages += n.Messages
		spent += n.Spent
		for m, b := range n.ByMethod {
			methods[m] += b
		}
	}
	slices.Sort(sent)
	slices.Sort(received)
	seconds := int(window / time.Second)
	t.Logf("sent B/s a node: median %d max %d; received: median %d max %d; messages/s %.1f; processor %.3f%% of a core",
		sent[vms/2]/seconds, sent[vms-1]/seconds, received[vms/2]/seconds, received[vms-1]/seconds,
		float64(messages)/float64(vms*seconds), 100*spent.Seconds()/float64(vms*seconds))
	for m, b := range methods {
		t.Logf("  %s: %d B/s a node", m, b/vms/seconds)
	}
	t.Logf("heap a node %d KiB", (heapBytes()-before)/uint64(vms)/1024)
	farAges, far := f.LoadAges()
	t.Logf("age of load, own zone: median %v 95th %v max %v; other zones: median %v 95th %v max %v",
		percentile(farAges, 50), percentile(farAges, 95), percentile(farAges, 100), percentile(far, 50), percentile(far, 95), percentile(far, 100))
	measureTimes(t, f, engines)
}

func measureTimes(t *testing.T, f *fleet, engines []*laburnummembership.Engine) {
	id := engines[1].Announcement.Backend
	engines[1].Leave(f)
	took, ok := f.Until(time.Minute, func() bool {
		return f.All(func(n *fleetVM) bool { b, _ := f.Backend(n, id); return b.Leaving })
	})
	t.Logf("leaving engine known to all after %v (%v)", took, ok)
	silent := engines[2]
	silent.Silent = true
	took, ok = f.Until(time.Minute, func() bool {
		return f.All(func(n *fleetVM) bool { b, _ := f.Backend(n, silent.Announcement.Backend); return b.Down })
	})
	t.Logf("silent engine down for all after %v (%v)", took, ok)
	dead := f.VMs[len(f.VMs)-1]
	dead.Dead = true
	first, ok1 := f.Until(time.Minute, func() bool {
		return !f.All(func(n *fleetVM) bool { return n.State(dead) < laburnumlever.VMDown })
	})
	took, ok = f.Until(time.Minute, func() bool {
		return f.All(func(n *fleetVM) bool { return n.State(dead) >= laburnumlever.VMDown })
	})
	t.Logf("dead VM down for the first after %v (%v), for all after %v (%v)", first, ok1, first+took, ok)
}

func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)].Round(10 * time.Millisecond)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Measures VMs with real sockets in one process, to include the cost of connections and the kernel.
func TestMeasureProcess(t *testing.T) {
	for _, count := range sizes(t) {
		nodes := startNodes(t, count)
		ctx, cancel := context.WithCancel(context.Background())
		for i, n := range nodes {
			for e := range 2 {
				go announceAndReport(ctx, n, laburnumlever.BackendID(fmt.Sprintf("engine-%d-%d", i, e)), laburnumlever.ZoneName(fmt.Sprintf("zone-%d", i%2)))
			}
		}
		time.Sleep(8 * time.Second)
		began, at := processTime(t), time.Now()
		time.Sleep(10 * time.Second)
		share := (processTime(t) - began).Seconds() / time.Since(at).Seconds() / float64(count)
		t.Logf("%d VMs with real sockets in one process: %.2f%% of a core a VM, heap %d KiB a VM, alive on the last %d",
			count, 100*share, heapBytes()/1024/uint64(count), nodes[count-1].alive())
		cancel()
	}
}

func announceAndReport(ctx context.Context, n *node, id laburnumlever.BackendID, zone laburnumlever.ZoneName) {
	a := laburnumlever.Announcement{Backend: id, Zone: zone, Incarnation: 1, Slots: 32}
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		_ = n.membership.Announce(ctx, a)
		_ = n.membership.Report(ctx, laburnumlever.LoadReport{Backend: id, Incarnation: 1, Sequence: sequence, InFlight: int(sequence % 32)})
		<-ticker.C
	}
}

func processTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
