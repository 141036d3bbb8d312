package laburnumorder_test

import (
	"testing"
	"time"

	"laburnumlever"

	"pgregory.net/rapid"
)

// Guards against over-committed memory under random faults, and against missing models after they end.
func TestRandomScheduleNeverOverCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newHarness(t, true, false, rapid.Bool().Draw(t, "third engine checks"))
		incarnation := uint64(1)
		actions := map[string]func(*rapid.T){
			"time":   func(t *rapid.T) { w.run(time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms")) * time.Millisecond) },
			"freeze": func(t *rapid.T) { v := w.drawVM(t); v.frozen = !v.frozen },
			"cut":    func(t *rapid.T) { v := w.drawVM(t); v.cutFromQuorum = !v.cutFromQuorum },
			"stale":  func(t *rapid.T) { v := w.drawVM(t); v.staleReports = !v.staleReports },
			"hold":   func(t *rapid.T) { v := w.drawVM(t); v.manualWork = !v.manualWork },
			"work": func(t *rapid.T) {
				if v := w.drawVM(t); !v.frozen {
					v.workOnce(rapid.IntRange(0, 3).Draw(t, "piece"))
				}
			},
			"network": func(t *rapid.T) {
				w.orderFault = orderFault(rapid.IntRange(int(orderDelivered), int(orderDuplicated)).Draw(t, "fate"))
				w.delay = time.Duration(rapid.IntRange(1, int(maxOrderDelay/time.Second)-1).Draw(t, "delay")) * time.Second
			},
			"kill": func(t *rapid.T) {
				incarnation++
				w.startVM(rapid.IntRange(0, 1).Draw(t, "vm"), incarnation)
			},
			"accelerator": func(*rapid.T) { w.engines[2].FailAccelerator("a1") },
			"restart":     func(t *rapid.T) { w.restartEngine(rapid.IntRange(0, 2).Draw(t, "engine")) },
			"catalogue":   w.drawChange,
			"versions":    func(*rapid.T) { w.newVersions() },
		}
		t.Repeat(actions)
		w.orderFault = orderDelivered
		for i := range w.vms {
			w.vms[i].frozen, w.vms[i].cutFromQuorum, w.vms[i].staleReports, w.vms[i].manualWork = false, false, false, false
		}
		w.run(6 * time.Minute)
		w.requireAllReachable()
	})
}

// Guards against two zones that both unload their copies of a model because each relies on the other's.
func TestRandomViewsLoseNoModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newZonesHarness(t, []laburnumlever.ZoneName{"a", "b"}, true, true, true, true)
		w.run(2 * time.Minute)
		w.requireAllReachable()
		w.requireContinuity = true
		incarnation := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"time":      func(t *rapid.T) { w.run(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond) },
			"alone":     func(t *rapid.T) { v := w.drawVM(t); v.isolated = !v.isolated },
			"stale":     func(t *rapid.T) { v := w.drawVM(t); v.staleReports = !v.staleReports },
			"freeze":    func(t *rapid.T) { v := w.drawVM(t); v.frozen = !v.frozen },
			"catalogue": w.drawChange,
			"versions":  func(*rapid.T) { w.newVersions() },
			"kill": func(t *rapid.T) {
				incarnation++
				w.startVM(rapid.IntRange(0, 1).Draw(t, "vm"), incarnation)
			},
		})
		for _, v := range w.vms {
			v.isolated, v.staleReports, v.frozen = false, false, false
		}
		w.run(5 * time.Minute)
		requireCurrent(t, w)
	})
}

func (w *harness) drawVM(t *rapid.T) *vm { return w.vms[rapid.IntRange(0, 1).Draw(t, "vm")] }

// drawChange changes one model. Each model always fits on one accelerator.
func (w *harness) drawChange(t *rapid.T) {
	w.change(rapid.IntRange(0, len(w.catalogue.Models)-1).Draw(t, "model"), func(m *laburnumlever.Model) {
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			m.WeightsMiB = rapid.IntRange(20, 60).Draw(t, "mib")
		case 1:
			m.Version = laburnumlever.Version(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"))
		default:
			m.Adapters = []laburnumlever.Adapter{{Name: "x", SizeMiB: rapid.IntRange(1, 10).Draw(t, "adapter")}}
		}
	})
}
