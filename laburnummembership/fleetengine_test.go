package laburnummembership

import (
	"fmt"
	"slices"
	"time"

	"laburnumlever"
)

// Engine is a simulated backend server that announces and reports to some VMs.
type Engine struct {
	Announcement laburnumlever.Announcement
	Report       laburnumlever.LoadReport
	To           []*FleetVM
	// A Silent engine sends nothing, one with NoReports only announcements.
	Silent, NoReports bool
	// Reaches tells which of the VMs its messages reach.
	Reaches func(n *FleetVM) bool
}

// AddEngine starts an engine with the given VMs as its addresses.
func (f *Fleet) AddEngine(i int, zone laburnumlever.ZoneName, to ...*FleetVM) *Engine {
	id := laburnumlever.BackendID(fmt.Sprintf("engine-%04d", i))
	e := &Engine{To: to, Reaches: func(*FleetVM) bool { return true }}
	e.Announcement = laburnumlever.Announcement{
		Backend: id, Zone: zone, Incarnation: uint64(f.Now.UnixMilli()), Slots: 32,
		Address:       fmt.Sprintf("10.1.%d.%d:8000", i/200, i%200),
		ChecksFencing: true, CanResume: true,
		PrefillTokensPerSecond: 20000, TokensPerSecond: 3300,
	}
	for a := range 8 {
		e.Announcement.Accelerators = append(e.Announcement.Accelerators,
			laburnumlever.Accelerator{ID: laburnumlever.AcceleratorID(fmt.Sprintf("a%d", a)), MemoryMiB: 81920})
	}
	e.Report = laburnumlever.LoadReport{Backend: id, Incarnation: e.Announcement.Incarnation}
	for m := range 6 {
		e.Report.Loaded = append(e.Report.Loaded, laburnumlever.ModelCopy{
			Model:   laburnumlever.ModelName(fmt.Sprintf("model-%03d", (i*6+m)%370)),
			Version: "v1", Accelerators: []laburnumlever.AcceleratorID{"a0"}, PartMiB: 9000, Ready: true,
		})
	}
	f.Every(time.Second, func() {
		e.sendTo(func(n *FleetVM) { _ = n.announce(e.Announcement, f.Now) }, f)
	})
	f.Every(500*time.Millisecond, func() {
		if e.NoReports {
			return
		}
		e.Report.Sequence++
		e.Report.InFlight = f.Random.IntN(32)
		e.sendTo(func(n *FleetVM) { _ = n.report(e.Report, f.Now) }, f)
	})
	return e
}

func (e *Engine) sendTo(fn func(n *FleetVM), f *Fleet) {
	for _, n := range e.To {
		if !e.Silent && !n.Dead && !n.Frozen && e.Reaches(n) {
			f.step(n, func() { fn(n) })
		}
	}
}

// Every runs fn once per period, from a random offset on.
func (f *Fleet) Every(period time.Duration, fn func()) {
	var repeat func()
	repeat = func() {
		fn()
		f.after(period, repeat)
	}
	f.after(time.Duration(f.Random.Int64N(int64(period))), repeat)
}

// Restart gives the engine a new incarnation with nothing loaded.
func (e *Engine) Restart() {
	e.Announcement.Incarnation++
	e.Report = laburnumlever.LoadReport{Backend: e.Report.Backend, Incarnation: e.Announcement.Incarnation}
	e.Silent = false
}

// Leave notifies the engine's first VM that the engine is leaving.
func (e *Engine) Leave(f *Fleet) {
	n := e.To[0]
	f.step(n, func() { _ = n.leaveBackend(e.Announcement.Backend, e.Announcement.Incarnation, f.Now) })
}

// Members returns all known VMs in any state.
func (n *FleetVM) Members() []laburnumlever.VM { return n.vmList() }

// BackendCount returns how many backend servers this VM knows with their inventory.
func (n *FleetVM) BackendCount() (count int) {
	for _, r := range n.backends.records {
		if r.inventorySequence > 0 {
			count++
		}
	}
	return count
}

// ResetCounts resets the counters of all VMs.
func (f *Fleet) ResetCounts() {
	for _, n := range f.VMs {
		n.Bytes, n.Received, n.Messages, n.Spent = 0, 0, 0, 0
		n.ByMethod = map[string]int{}
	}
}

// LoadAges returns the ages of all load known on all VMs, sorted: of backend servers of the
// same zone and of other zones.
func (f *Fleet) LoadAges() (near, far []time.Duration) {
	for _, n := range f.VMs {
		for _, r := range n.backends.records {
			if r.reportedAt.IsZero() {
				continue
			}
			age := f.Now.Sub(r.reportedAt)
			if r.zone() == n.self.Zone {
				near = append(near, age)
			} else {
				far = append(far, age)
			}
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	return near, far
}

// ShareAllFacts gives every VM all facts at once, instead of a cold start of the fleet.
func (f *Fleet) ShareAllFacts() {
	var all packedUpdates
	for _, n := range f.VMs {
		all.VMs = append(all.VMs, n.self)
		for _, r := range n.backends.records {
			if r.state.Publisher == n.self.ID && r.inventorySequence > 0 {
				all.Backends = append(all.Backends, r.state)
				all.Inventories = append(all.Inventories, r.fullInventory())
			}
		}
	}
	for _, n := range f.VMs {
		n.joined = true
		n.mergeFacts(all, f.Now, relayNone, map[string]bool{})
		n.bulkQueue, n.factQueue = newUpdateQueue(), newUpdateQueue()
	}
}

// ChangeInventory replaces one of an engine's copies by another model.
func (f *Fleet) ChangeInventory(e *Engine) {
	loaded := slices.Clone(e.Report.Loaded)
	i := f.Random.IntN(len(loaded))
	loaded[i].Model = laburnumlever.ModelName(fmt.Sprintf("model-%03d", f.Random.IntN(370)))
	loaded[i].Ready = !loaded[i].Ready
	e.Report.Loaded = loaded
}

// SetOwner makes a VM the owner of its zone.
func (f *Fleet) SetOwner(n *FleetVM) {
	f.step(n, func() {
		next := n.self
		next.OwnsZone = true
		n.setSelf(next)
	})
}

// SetDemand sets a VM's own demand.
func (n *FleetVM) SetDemand(rows []laburnumlever.ModelDemand) { n.demand.setOwn(rows) }

// DemandAt returns all demand known to a VM.
func (f *Fleet) DemandAt(n *FleetVM) []laburnumlever.ModelDemand { return n.demand.list(f.Now) }
