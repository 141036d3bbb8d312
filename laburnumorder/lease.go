package laburnumorder

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

// lease is the owner's view of its zone's lease.
type lease struct {
	// fence is the number of the last grant; 0 when there was none, or when another VM is
	// known to hold the lease. It stays set after the lease expires: see leasePermits.
	fence uint64
	until deadline
	// busy means that a lease command is in flight.
	busy bool
	next time.Time
}

// deadline is the end of the lease, less a margin. It is atomic because workers read it
// just before a send.
type deadline struct{ at atomic.Pointer[time.Time] }

func (d *deadline) set(at time.Time) { d.at.Store(&at) }

// expiredFor returns the time since the deadline, negative before it. It is the larger of
// the differences on the monotonic clock and on the wall clock: the monotonic clock may
// stop while a VM is suspended, so that an expired lease would look live after it resumes.
func (d *deadline) expiredFor(now time.Time) time.Duration {
	at := d.at.Load()
	if at == nil {
		return time.Hour
	}
	return max(now.Sub(*at), now.Round(0).Sub(at.Round(0)))
}

func (d *deadline) isLive(now time.Time) bool { return d.expiredFor(now) < 0 }

func (o *Owner) leaseName() string { return "zone/" + string(o.self.Zone) }

// keepLease acquires or renews the lease when that is due.
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
	if result, rejected := laburnumlever.Rejection(ev.err); rejected {
		o.loseLease(result.Holder)
		return
	}
	if ev.err != nil {
		// The state of the lease is unknown. It expires at its deadline; engines that
		// check fencing numbers are still ordered under its number.
		_ = level.Debug(o.logger).Log("event", laburnumlever.EventLeaseNotRenewed, "zone", o.self.Zone, "err", ev.err)
		return
	}
	// The lease term is counted from before the command was proposed. The quorum starts
	// counting later, so the lease ends here first.
	o.lease.until.set(ev.asked.Add(o.ttl - o.ttl/leaseMarginDivisor))
	if ev.result.Fence != o.lease.fence {
		o.takeOver(ev)
	}
}

// takeOver starts a new ownership term: all inventories must be read again, and the token
// bucket for the zone's share of the weight store starts empty.
func (o *Owner) takeOver(ev leaseAnswered) {
	now := o.timers.Now()
	o.lease.fence = ev.result.Fence
	o.granted.Store(o.lease.fence)
	o.owns.Store(true)
	o.earlierOrdersUntil = now.Add(o.ttl + o.maxOrderDelay)
	o.resetLimiter = true
	for _, e := range o.engines {
		e.resetClaim()
	}
	for _, intent := range ev.result.Intents {
		o.inherit(intent)
	}
	_ = level.Info(o.logger).Log("event", laburnumlever.EventZoneOwned, "zone", o.self.Zone, "fence", ev.result.Fence, "intents", len(ev.result.Intents))
}

// inherit adds to the ledger an order that an earlier owner may have sent. It counts until
// an inventory is read after earlierOrdersUntil.
func (o *Owner) inherit(intent laburnumlever.OrderIntent) {
	e := o.engine(intent.Backend)
	if e.order != nil && e.order.order.ID == intent.Order.ID {
		return
	}
	o.ledger.AddOrder(intent.Backend, intent.Order)
	o.ledger.SetSettleTime(intent.Backend, intent.Order.ID, o.earlierOrdersUntil)
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

// leasePermits reports whether the lease allows orders to the engine now. An engine that
// checks fencing numbers may be ordered after the lease has expired, as long as no other
// holder is known, because the engine refuses this owner once a new holder has claimed it.
func (o *Owner) leasePermits(e *engine, now time.Time) bool {
	if o.lease.fence == 0 {
		return false
	}
	if e.announcement.ChecksFencing {
		return true
	}
	return o.lease.until.isLive(now) && !now.Before(o.earlierOrdersUntil)
}
