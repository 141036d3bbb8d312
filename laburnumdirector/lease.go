package laburnumdirector

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumoutlier"

	"github.com/go-kit/log/level"
)

const (
	leaseName = "engines"
	// termShare is the lease term as a share of the least time between the orders of two directors. A
	// short term lets the next director begin its takeover delay early.
	termShare   = 0.5
	renewShare  = 0.3 // share of the term before a renewal, so that two renewals may fail
	usableShare = 0.7 // share of the term for orders; the rest is for those in flight and clock drift

	leaseTimeout = time.Second
	// firstFence is the fencing number of the first lease, which has no previous holder.
	firstFence     = 1
	lastOrderDelay = 150 * time.Millisecond // network delay of the last order under a lease
)

// lease is the state of the placement lease. Its times are those of Director.clock, which includes
// suspensions.
type lease struct {
	held  bool
	fence uint64
	// validUntil is usableTerm after the request for the last grant or renewal.
	validUntil  time.Duration
	validFrom   time.Duration // when the first order may be sent
	pending     bool
	requestedAt time.Duration
}

// valid tells whether orders may be sent.
func (l *lease) valid(now time.Duration) bool {
	return l.held && now >= l.validFrom && now < l.validUntil
}

// maintainLease acquires the lease if this VM leads the log, and renews a lease that it holds.
func (d *Director) maintainLease() {
	now := d.clock()
	if d.lease.held && now >= d.lease.validUntil {
		d.loseLease("lease not renewed in time")
	}
	if d.lease.pending {
		return
	}
	kind := laburnumlever.CommandAcquireLease
	if d.lease.held {
		if now < d.lease.requestedAt+time.Duration(renewShare*float64(d.term())) {
			return
		}
		kind = laburnumlever.CommandRenewLease
	} else if !d.isLeader() {
		return
	}
	d.lease.pending = true
	d.proposeLease(kind, now)
}

// term is the time after which a lease without renewals expires.
func (d *Director) term() time.Duration { return time.Duration(termShare * float64(d.cfg.lease)) }

func (d *Director) proposeLease(kind laburnumlever.CommandKind, now time.Duration) {
	cmd := laburnumlever.Command{Kind: kind, Lease: &laburnumlever.LeaseCommand{
		Name: leaseName, Holder: d.self.ID, Incarnation: d.self.Incarnation, Fence: d.lease.fence,
		TTL: laburnumlever.Duration(d.term()),
	}}
	d.cfg.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
		defer cancel()
		result, err := d.proposer.Propose(ctx, cmd)
		d.loop.Post(d, leaseAnswered{sentAt: now, result: result, err: err})
	})
}

func (d *Director) onLeaseAnswered(ev leaseAnswered) {
	d.lease.pending = false
	if _, rejected := laburnumlever.Rejection(ev.err); rejected && d.lease.held {
		d.loseLease("lease held by another VM")
	}
	if ev.err != nil {
		return // the next tick tries again
	}
	d.lease.requestedAt = ev.sentAt
	d.lease.validUntil = ev.sentAt + d.usableTerm()
	if d.lease.held && d.lease.fence == ev.result.Fence {
		return
	}
	d.lease.held, d.lease.fence = true, ev.result.Fence
	d.lease.validFrom = d.clock()
	d.lease.validFrom += d.takeoverDelay(ev.result)
	d.lastFence = ev.result.Fence
	d.rebuildEngines()
	d.demand.expectReports(d.timers.Now())
	d.outliers = laburnumoutlier.New()
	d.room.Begin(d.lease.fence)
	d.onLeaseChange(true)
	_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventLeaseAcquired, "fence", d.lease.fence, "wait", d.lease.validFrom-d.clock())
}

// takeoverDelay is the delay of the first order under a new lease. The previous holder sent its last
// order within usableTerm after its last renewal. The new lease is granted a whole term after that
// renewal, or later if the log had no leader. A VM that held the previous lease itself needs no
// delay.
func (d *Director) takeoverDelay(granted laburnumlever.Result) time.Duration {
	if granted.Fence == firstFence || granted.Fence == d.lastFence || granted.Fence == d.lastFence+1 {
		return 0
	}
	unused := max(d.term(), time.Duration(granted.Idle)) - d.usableTerm()
	return max(0, d.cfg.lease+lastOrderDelay-unused)
}

// usableTerm is the part of the term in which orders are sent.
func (d *Director) usableTerm() time.Duration { return time.Duration(usableShare * float64(d.term())) }

func (d *Director) loseLease(why string) {
	d.lease = lease{}
	d.failAdapterRequests()
	d.onLeaseChange(false)
	_ = level.Warn(d.cfg.logger).Log("event", laburnumlever.EventLeaseLost, "cause", why)
}
