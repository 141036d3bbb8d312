package laburnumorder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnumorder"
	"laburnumlever/laburnumtimer"
)

// idleFleet answers every claim with the engine's reported copies.
type idleFleet struct{ view laburnumlever.View }

func (q *idleFleet) View() *laburnumlever.View { return &q.view }

func (q *idleFleet) Claim(_ context.Context, to laburnumlever.Announcement, fence uint64) (laburnumlever.Inventory, error) {
	for _, b := range q.view.Backends {
		if b.Announcement.Backend == to.Backend {
			return laburnumlever.Inventory{Backend: to.Backend, Incarnation: 1, Fence: fence, Loaded: b.Report.Loaded, Accelerators: to.Accelerators}, nil
		}
	}
	return laburnumlever.Inventory{}, &laburnumlever.NotFoundError{Kind: "engine", Name: string(to.Backend)}
}

func (q *idleFleet) Order(context.Context, laburnumlever.Announcement, laburnumlever.Order) (laburnumlever.OrderAnswer, error) {
	return laburnumlever.OrderAnswer{}, &laburnumlever.NotSentError{}
}

func (q *idleFleet) Propose(context.Context, laburnumlever.Command) (laburnumlever.Result, error) {
	return laburnumlever.Result{Code: laburnumlever.ResultOK, Fence: 1}, nil
}

// BenchmarkOwnerRound measures one tick of an owner when nothing changes: it applies the
// view, checks the engines of its zone and runs one planning round over the whole fleet.
func BenchmarkOwnerRound(b *testing.B) {
	for _, size := range [][2]int{{20, 30}, {300, 130}, {2100, 370}} {
		b.Run(fmt.Sprintf("engines=%d", size[0]), func(b *testing.B) {
			q := &idleFleet{}
			q.view.Catalogue = catalogueOf(size[1], 20000)
			for i := range size[0] {
				a := laburnumlever.Announcement{
					Backend: laburnumlever.BackendID(fmt.Sprintf("e%04d", i)), Zone: laburnumlever.ZoneName(fmt.Sprintf("z%d", i%7)),
					Incarnation: 1, ChecksFencing: true, TokensPerSecond: 1000,
				}
				var loaded []laburnumlever.ModelCopy
				for j := range 8 {
					id := laburnumlever.AcceleratorID(fmt.Sprint(j))
					a.Accelerators = append(a.Accelerators, laburnumlever.Accelerator{ID: id, MemoryMiB: 24000})
					m := q.view.Catalogue.Models[(i*8+j)%size[1]]
					loaded = append(loaded, laburnumlever.ModelCopy{Model: m.Name, Version: m.Version, PartMiB: m.PartMiB(), Ready: true, Accelerators: []laburnumlever.AcceleratorID{id}})
				}
				q.view.Backends = append(q.view.Backends, laburnumlever.Backend{
					Announcement: a, Report: laburnumlever.LoadReport{Backend: a.Backend, Incarnation: 1, Loaded: loaded},
				})
			}
			timers := laburnumtimer.NewManual(time.Unix(1000, 0))
			loop := laburnumeventloop.New()
			owner := laburnumorder.New(loop, timers, q, q, q, laburnumlever.VM{ID: "vm", Zone: "z0"},
				laburnumorder.WithRunner(func(work func()) { work() }))
			owner.Start()
			tick := func() {
				timers.Advance(500 * time.Millisecond)
				loop.Drain()
			}
			for range 20 {
				tick()
			}
			for b.Loop() {
				tick()
			}
		})
	}
}
