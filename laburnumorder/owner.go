package laburnumorder

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// Owner is the placement owner of this VM's zone, as long as the quorum grants it
// the zone's lease. It is a part on the control thread.
type Owner struct {
	loop     laburnumlever.Loop
	timers   laburnumlever.Timers
	proposer laburnumlever.Proposer
	link     laburnumlever.Engines
	views    laburnumlever.Views
	self     laburnumlever.VM

	logger      log.Logger
	scope       tally.Scope
	ttl         time.Duration
	underWay    time.Duration
	callTimeout time.Duration
	tickPeriod  time.Duration
	run         func(work func())

	lease        lease
	quietUntil   time.Time
	engines      map[laburnumlever.BackendID]*engine
	ledger       *Ledger
	orders       uint64
	limiter      laburnumplacement.LoadLimiter
	limiterIsNew bool
	nextPlan     time.Time
	nextObserve  time.Time
	planner      *laburnumplacement.Planner
	estimator    *laburnumplacement.Estimator
	ready        readiness
	progress     progress
	versions     versions
	history      []record

	owns      atomic.Bool
	granted   atomic.Uint64 // the lease's number, for Close
	moves     atomic.Uint64
	published atomic.Pointer[published]
	ctx       context.Context //nolint:containedctx // ends the calls of this owner's life
	cancel    context.CancelFunc
	cancels   []func()
}

// New makes an owner that does nothing before Start. self gives the zone, and the
// incarnation that tells this process from earlier ones on the same VM.
func New(
	loop laburnumlever.Loop,
	timers laburnumlever.Timers,
	proposer laburnumlever.Proposer,
	engines laburnumlever.Engines,
	views laburnumlever.Views,
	self laburnumlever.VM,
	opts ...Option,
) *Owner {
	o := &Owner{
		loop: loop, timers: timers, proposer: proposer, link: engines, views: views, self: self,
		logger:      log.NewNopLogger(),
		scope:       tally.NoopScope,
		ttl:         defaultLeaseTTL,
		underWay:    defaultUnderWay,
		callTimeout: defaultCallTimeout,
		tickPeriod:  defaultTick,
		run:         func(work func()) { go work() },
		engines:     make(map[laburnumlever.BackendID]*engine),
		ledger:      NewLedger(),
		planner:     laburnumplacement.NewPlanner(),
		estimator:   laburnumplacement.NewEstimator(),
		ready:       newReadiness(),
		versions:    make(versions),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

// Start begins to ask for the zone's lease.
func (o *Owner) Start() {
	o.cancels = append(o.cancels, o.timers.Every(o.tickPeriod, func(now time.Time) { o.loop.Post(o, ticked{now: now}) }))
}

// Close stops the owner: no order is sent any more. It gives the lease back if the
// log answers within a call's timeout, so that another VM need not wait for it to run out.
func (o *Owner) Close() {
	for _, cancel := range o.cancels {
		cancel()
	}
	owned := o.owns.Swap(false)
	o.lease.until.set(time.Time{})
	o.cancel()
	if !owned {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, _ = o.proposer.Propose(ctx, o.releaseCommand(o.granted.Load()))
}

// Owns tells whether this VM holds its zone, as far as it knows. Safe for use by
// any goroutine.
func (o *Owner) Owns() bool { return o.owns.Load() }

// Moves counts the loads that engines have taken on this owner's orders. Safe for
// use by any goroutine.
func (o *Owner) Moves() uint64 { return o.moves.Load() }

// Handle takes the owner's events on the control thread.
func (o *Owner) Handle(ev laburnumlever.Event) {
	switch ev := ev.(type) {
	case ticked:
		o.onTick()
	case leaseAnswered:
		o.onLease(ev)
	case readAnswered:
		o.onRead(ev)
	case intentAnswered:
		o.onIntent(ev)
	case orderAnswered:
		o.onOrder(ev)
	case intentResolved:
		o.onResolved(ev)
	}
}

func (o *Owner) onTick() {
	now := o.timers.Now()
	o.keepLease(now)
	view := o.views.View()
	if view == nil {
		return
	}
	if !now.Before(o.nextObserve) {
		// VMs that do not own their zone observe too, so that a new owner knows
		// the peaks of the last half hour.
		o.nextObserve = now.Add(observePeriod)
		o.estimator.Observe(now, view.Demand)
	}
	if o.lease.fence == 0 {
		return
	}
	o.watch(view, now)
	o.readDue(now)
	if now.Before(o.nextPlan) {
		return
	}
	o.plan(view, now)
	// A round over a large fleet takes milliseconds: the wait keeps planning to a
	// hundredth of the control thread's time, whatever the fleet's size.
	o.nextPlan = now.Add(planRest * o.timers.Now().Sub(now))
}

// call runs work that waits for the network, off the control thread. Its context
// ends after the call timeout or with the owner.
func (o *Owner) call(work func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(o.ctx)
	stop := o.timers.After(o.callTimeout, func(time.Time) { cancel() })
	o.run(func() {
		defer cancel()
		defer stop()
		work(ctx)
	})
}

// giveLeaseBack makes the next grant a new one.
func (o *Owner) giveLeaseBack() {
	cmd := o.releaseCommand(o.lease.fence)
	o.loseLease("")
	o.call(func(ctx context.Context) { _, _ = o.proposer.Propose(ctx, cmd) })
}

func (o *Owner) releaseCommand(fence uint64) laburnumlever.Command {
	return laburnumlever.Command{Kind: laburnumlever.CommandReleaseLease, Lease: o.leaseCommand(fence)}
}
