package laburnumorder

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

// lease is what an owner knows of its zone's lease.
type lease struct {
	// fence is the number of the last grant; 0 when none, or when the lease is
	// known to be another's. It outlives the lease's time: see mayOrder.
	fence uint64
	until deadline
	// busy tells that a lease command is under way.
	busy bool
	next time.Time
}

// deadline is when the lease can no longer be relied on. Workers read it just
// before a send, so it is atomic.
type deadline struct{ at atomic.Pointer[time.Time] }

func (d *deadline) set(at time.Time) { d.at.Store(&at) }

// over is how long the deadline has passed. It is measured on the monotonic clock
// and on the wall clock, and the worse counts: while a VM is suspended its
// monotonic clock may stand still, and it would wake up believing in a lease that has
// long been another's.
func (d *deadline) over(now time.Time) time.Duration {
	at := d.at.Load()
	if at == nil {
		return time.Hour
	}
	return max(now.Sub(*at), now.Round(0).Sub(at.Round(0)))
}

func (d *deadline) live(now time.Time) bool { return d.over(now) < 0 }

func (o *Owner) leaseName() string { return "zone/" + string(o.self.Zone) }

// keepLease acquires the lease or renews it when it is time.
func (o *Owner) keepLease(now time.Time) {
	if o.lease.busy || now.Before(o.lease.next) {
		return
	}
	kind := laburnumlever.CommandAcquireLease
	if o.lease.fence != 0 {
		kind = laburnumlever.CommandRenewLease
	}
	o.lease.busy = true
	o.lease.next = now.Add(o.ttl / renewalsPerTTL)
	cmd := laburnumlever.Command{Kind: kind, Lease: o.leaseCommand(o.lease.fence)}
	o.call(func(ctx context.Context) {
		asked := o.timers.Now()
		result, err := o.proposer.Propose(ctx, cmd)
		o.loop.Post(o, leaseAnswered{kind: kind, asked: asked, result: result, err: err})
	})
}

func (o *Owner) leaseCommand(fence uint64) *laburnumlever.LeaseCommand {
	return &laburnumlever.LeaseCommand{
		Name: o.leaseName(), Holder: o.self.ID, Incarnation: o.self.Incarnation,
		Fence: fence, TTL: laburnumlever.Duration(o.ttl),
	}
}

func (o *Owner) onLease(ev leaseAnswered) {
	o.lease.busy = false
	if ev.err != nil {
		// Nothing is known of the lease: it runs out by its own time, and engines
		// that check are ordered on under its number.
		_ = level.Debug(o.logger).Log("event", laburnumlever.EventLeaseNotRenewed, "zone", o.self.Zone, "err", ev.err)
		return
	}
	if ev.result.Code != laburnumlever.ResultOK {
		o.loseLease(ev.result.Holder)
		return
	}
	// The time counts from before the command was proposed: the quorum's count
	// began later, so it ends later.
	o.lease.until.set(ev.asked.Add(o.ttl - o.ttl/marginDivisor))
	if ev.result.Fence != o.lease.fence {
		o.takeOver(ev)
	}
}

// takeOver begins a new ownership: nothing that was read before counts, and the
// zone's part of the weight store starts with an empty bucket.
func (o *Owner) takeOver(ev leaseAnswered) {
	now := o.timers.Now()
	o.lease.fence = ev.result.Fence
	o.granted.Store(o.lease.fence)
	o.owns.Store(true)
	o.quietUntil = now.Add(o.ttl + o.underWay)
	o.limiterIsNew = true
	for _, e := range o.engines {
		e.forget()
	}
	for _, intent := range ev.result.Intents {
		o.inherit(intent)
	}
	_ = level.Info(o.logger).Log("event", laburnumlever.EventZoneOwned, "zone", o.self.Zone, "fence", ev.result.Fence, "intents", len(ev.result.Intents))
}

// inherit counts an order that an earlier owner may have sent, until an inventory
// is read after the wait.
func (o *Owner) inherit(intent laburnumlever.OrderIntent) {
	e := o.engine(intent.Backend)
	if e.order != nil && e.order.order.ID == intent.Order.ID {
		return
	}
	o.ledger.Open(intent.Backend, intent.Order)
	o.ledger.Sent(intent.Backend, intent.Order.ID, o.quietUntil)
	e.intents[intent.Order.ID] = intent
}

func (o *Owner) loseLease(holder laburnumlever.VMID) {
	if o.lease.fence != 0 {
		_ = level.Info(o.logger).Log("event", laburnumlever.EventZoneLost, "zone", o.self.Zone, "holder", holder)
	}
	o.lease.fence = 0
	o.lease.until.set(time.Time{})
	o.owns.Store(false)
}

// mayOrder tells whether the engine may be ordered now. One that checks may be
// ordered also when the lease's time has run out without word of another holder,
// because the engine itself refuses this owner once there is one.
func (o *Owner) mayOrder(e *engine, now time.Time) bool {
	if o.lease.fence == 0 {
		return false
	}
	if e.announcement.ChecksFencing {
		return true
	}
	return o.lease.until.live(now) && !now.Before(o.quietUntil)
}
