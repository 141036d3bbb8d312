package laburnumdirector

import (
	"context"
	"time"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

const (
	// leaseName names the lease in the log.
	leaseName = "engines"
	// termShare of the time that two owners must be apart is the lease's term: the
	// shorter, the sooner another can begin to wait.
	termShare = 0.5
	// renewShare of the lease passes before it is renewed, so that two renewals
	// may fail.
	renewShare = 0.3
	// safeShare of the lease is used: the rest is for an order on its way and for
	// clocks that run at different speeds.
	safeShare = 0.7
	// leaseTimeout bounds one try.
	leaseTimeout = time.Second
	// firstFence is the fencing number of the first grant ever: nobody can have
	// given orders before.
	firstFence = 1
	// arrivalTime is how long the last order before a lease's end may be on its way to
	// an engine: it is given up at the end, and what its connection carried by then
	// arrives within a network's delay.
	arrivalTime = 150 * time.Millisecond
)

// lease is what the director knows of its own. Times are of the clock that goes on
// while the VM is suspended.
type lease struct {
	held  bool
	fence uint64
	// until is when it may have been given to another, counted from when the last
	// grant or renewal was asked for.
	until time.Duration
	// from is when the first order may be sent.
	from   time.Duration
	asking bool
	asked  time.Duration
}

// valid tells whether an order may be sent now.
func (l *lease) valid(now time.Duration) bool { return l.held && now >= l.from && now < l.until }

// tendLease gets the lease if this VM leads the log, and renews what it holds.
func (d *Director) tendLease() {
	now := d.clock()
	if d.lease.held && now >= d.lease.until {
		d.loseLease("not renewed in time")
	}
	if d.lease.asking {
		return
	}
	kind := laburnumlever.CommandAcquireLease
	if d.lease.held {
		if now < d.lease.asked+time.Duration(renewShare*float64(d.term())) {
			return
		}
		kind = laburnumlever.CommandRenewLease
	} else if !d.leads() {
		return
	}
	d.lease.asking = true
	d.askLease(kind, now)
}

// term is how long the lease lasts without a renewal.
func (d *Director) term() time.Duration { return time.Duration(termShare * float64(d.cfg.lease)) }

func (d *Director) askLease(kind laburnumlever.CommandKind, now time.Duration) {
	cmd := laburnumlever.Command{Kind: kind, Lease: &laburnumlever.LeaseCommand{
		Name: leaseName, Holder: d.self.ID, Incarnation: d.self.Incarnation, Fence: d.lease.fence,
		TTL: laburnumlever.Duration(d.term()),
	}}
	d.cfg.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
		defer cancel()
		result, err := d.proposer.Propose(ctx, cmd)
		d.loop.Post(d, leased{sentAt: now, result: result, err: err})
	})
}

func (d *Director) onLeased(ev leased) {
	d.lease.asking = false
	if ev.err != nil {
		return // the next tick tries again
	}
	if ev.result.Code != laburnumlever.ResultOK {
		if d.lease.held {
			d.loseLease("another holds it")
		}
		return
	}
	d.lease.asked = ev.sentAt
	d.lease.until = ev.sentAt + d.safeTerm()
	if d.lease.held && d.lease.fence == ev.result.Fence {
		return
	}
	d.lease.held, d.lease.fence = true, ev.result.Fence
	d.lease.from = d.clock()
	d.lease.from += d.handOverTime(ev.result.Fence)
	d.lastFence = ev.result.Fence
	d.forgetEngines()
	d.demand.listen(d.timers.Now())
	d.onDirecting(true)
	_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventLeaseGot, "fence", d.lease.fence, "wait", d.lease.from-d.clock())
}

// handOverTime is how long the first order under a new lease waits, so that it comes as
// long after the last of the owner before as two owners must be apart. A lease is granted
// at the earliest a whole term after the owner before asked for its last renewal, and that
// owner's last order went out when the safe share of the term was over. With nobody in
// between, a VM goes on from its own lease at once.
func (d *Director) handOverTime(fence uint64) time.Duration {
	if fence == firstFence || fence == d.lastFence || fence == d.lastFence+1 {
		return 0
	}
	idle := d.term() - d.safeTerm()
	return max(0, d.cfg.lease+arrivalTime-idle)
}

// safeTerm is the part of the term in which orders are sent.
func (d *Director) safeTerm() time.Duration { return time.Duration(safeShare * float64(d.term())) }

func (d *Director) loseLease(why string) {
	d.lease = lease{}
	d.failNeeds()
	d.onDirecting(false)
	_ = level.Warn(d.cfg.logger).Log("event", laburnumlever.EventLeaseLost, "cause", why)
}
