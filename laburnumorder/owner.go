package laburnumorder

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// Owner is the placement owner of this VM's zone while it holds the zone's lease. Its
// events are handled on the control thread.
type Owner struct {
	loop     laburnumlever.Loop
	timers   laburnumlever.Timers
	proposer laburnumlever.Proposer
	client   laburnumlever.Engines
	views    laburnumlever.Views
	self     laburnumlever.VM

	logger        log.Logger
	scope         tally.Scope
	ttl           time.Duration
	maxOrderDelay time.Duration
	callTimeout   time.Duration
	tickPeriod    time.Duration
	run           func(work func())

	lease              lease
	earlierOrdersUntil time.Time
	engines            map[laburnumlever.BackendID]*engine
	ledger             *Ledger
	orders             uint64
	limiter            laburnumplacement.LoadLimiter
	resetLimiter       bool
	nextPlan           time.Time
	nextObserve        time.Time
	planner            *laburnumplacement.Planner
	estimator          *laburnumplacement.Estimator
	readiness          readiness
	progress           progress
	versions           versions
	history            []moveRecord

	owns      atomic.Bool
	granted   atomic.Uint64 // the lease's number, for Close
	loadsDone atomic.Uint64
	lastRound atomic.Pointer[planningRound]
	ctx       context.Context //nolint:containedctx // Close cancels all calls through it
	cancel    context.CancelFunc
	cancels   []func()
}

// New returns an owner that is idle until Start. self holds the zone and the incarnation,
// which distinguishes this process from earlier ones on the same VM.
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
		loop: loop, timers: timers, proposer: proposer, client: engines, views: views, self: self,
		logger:        log.NewNopLogger(),
		scope:         tally.NoopScope,
		ttl:           defaultLeaseTTL,
		maxOrderDelay: defaultMaxOrderDelay,
		callTimeout:   defaultCallTimeout,
		tickPeriod:    defaultTick,
		run:           func(work func()) { go work() },
		engines:       make(map[laburnumlever.BackendID]*engine),
		ledger:        NewLedger(),
		planner:       laburnumplacement.NewPlanner(),
		estimator:     laburnumplacement.NewEstimator(),
		readiness:     newReadiness(),
		versions:      make(versions),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

// Start starts the periodic ticks, which acquire the zone's lease and plan.
func (o *Owner) Start() {
	o.cancels = append(o.cancels, o.timers.Every(o.tickPeriod, func(now time.Time) { o.loop.Post(o, ticked{now: now}) }))
}

// Close stops the owner, which sends no more orders. It releases the lease if the log
// answers within releaseTimeout, so that another VM need not wait until it expires.
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
	o.proposeRelease(ctx, o.releaseCommand(o.granted.Load()))
}

// Owns reports whether this VM owns its zone as far as it knows. It is safe for concurrent
// use.
func (o *Owner) Owns() bool { return o.owns.Load() }

// LoadsDone returns the number of load orders that engines have accepted from this owner.
// It is safe for concurrent use.
func (o *Owner) LoadsDone() uint64 { return o.loadsDone.Load() }

// Handle handles one of the owner's events. Only the control thread may call it.
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
		// VMs that do not own their zone sample the demand too, so that a new owner knows
		// the peaks of the last half hour.
		o.nextObserve = now.Add(observePeriod)
		o.estimator.Observe(now, view.Demand)
	}
	if o.lease.fence == 0 {
		return
	}
	o.updateEngines(view, now)
	o.startDueReads(now)
	if now.Before(o.nextPlan) {
		return
	}
	o.plan(view, now)
	// A round over a large fleet takes milliseconds. The wait limits planning to a
	// hundredth of the control thread's time for any fleet size.
	o.nextPlan = now.Add(planRestFactor * o.timers.Now().Sub(now))
}

// call runs network work off the control thread. Its context is cancelled after the call
// timeout or when the owner closes.
func (o *Owner) call(work func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(o.ctx)
	stop := o.timers.After(o.callTimeout, func(time.Time) { cancel() })
	o.run(func() {
		defer cancel()
		defer stop()
		work(ctx)
	})
}

// releaseLease releases the lease, so that the next grant has a new number.
func (o *Owner) releaseLease() {
	cmd := o.releaseCommand(o.lease.fence)
	o.loseLease("")
	o.call(func(ctx context.Context) { o.proposeRelease(ctx, cmd) })
}

// proposeRelease proposes the release of the lease, which expires by itself if that fails.
func (o *Owner) proposeRelease(ctx context.Context, cmd laburnumlever.Command) {
	if _, err := o.proposer.Propose(ctx, cmd); err != nil {
		_ = level.Info(o.logger).Log("event", laburnumlever.EventLeaseNotReleased, "zone", o.self.Zone, "err", err)
	}
}

func (o *Owner) releaseCommand(fence uint64) laburnumlever.Command {
	return laburnumlever.Command{Kind: laburnumlever.CommandReleaseLease, Lease: o.leaseCommand(fence)}
}
