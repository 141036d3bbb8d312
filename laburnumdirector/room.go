package laburnumdirector

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumroom"

	"github.com/go-kit/log/level"
)

// OnRoom sets the callback for the shares of slots that less urgent requests leave free; without one none are decided. Call it before
// Start. The callback runs on the control thread.
func (d *Director) OnRoom(fn func(laburnumroom.Level)) { d.onRoom = fn }

func (d *Director) onRoomReport(vm laburnumlever.VMID, report laburnumlever.RoomReport, now time.Time) {
	if d.onRoom != nil && d.lease.held && !report.IsZero() {
		d.room.Report(vm, report, now)
	}
}

// decideRoom publishes the levels that have changed or must be renewed. Unlike orders they need no delay after a takeover: gateways
// follow the newest lease that they know of.
func (d *Director) decideRoom(now time.Time) {
	if d.onRoom == nil || !d.lease.held {
		return
	}
	for _, decision := range d.room.Decide(now) {
		if decision.Changed {
			d.logRoom(decision)
		}
		d.onRoom(decision.Level)
	}
}

func (d *Director) logRoom(decision laburnumroom.Decision) {
	_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventRoomChanged, "service", decision.Level.Service, "headroom", decision.Level.ByRank(),
		"surging", decision.Level.Surging, "fence", decision.Level.Fence, "sequence", decision.Level.Sequence, "pressures", decision.Pressures)
	d.cfg.scope.Counter("room_changes").Inc(1)
}
