package laburnumroles

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// brittleTickPeriod is the interval between checks for leases that have ended.
const brittleTickPeriod = 100 * time.Millisecond

// brittle is the part of a control VM that leases places on brittle backend servers and publishes which are. It is safe for
// concurrent use.
type brittle struct {
	timers laburnumlever.Timers
	source *laburnumfeed.Source
	logger log.Logger
	// self is this VM's peer address.
	self string
	// keepers tells which other control VMs answer.
	keepers *keeperChecks
	// granted, refused, abandoned and deferred count requests for leases: abandoned are those that waited in vain, deferred
	// those left to the keeper.
	granted, refused, abandoned, deferred tally.Counter

	mu     sync.Mutex
	keeper *laburnumconcurrency.Keeper
}

func newBrittle(timers laburnumlever.Timers, peers laburnumlever.Peers, self string, source *laburnumfeed.Source, logger log.Logger, scope tally.Scope) *brittle {
	return &brittle{
		self: self, keepers: newKeeperChecks(peers, timers), timers: timers, source: source, logger: logger, keeper: laburnumconcurrency.NewKeeper(),
		granted: scope.Tagged(map[string]string{"outcome": "granted"}).Counter("brittle_leases"),
		refused: scope.Tagged(map[string]string{"outcome": "refused"}).Counter("brittle_leases"),

		abandoned: scope.Tagged(map[string]string{"outcome": "abandoned"}).Counter("brittle_leases"),

		deferred: scope.Tagged(map[string]string{"outcome": "deferred"}).Counter("brittle_leases"),
	}
}

// start begins the periodic checks.
func (b *brittle) start() {
	b.timers.Every(brittleTickPeriod, func(now time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.keeper.Tick(now)
	})
	b.timers.Every(limitSweepPeriod, func(now time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, id := range b.keeper.Sweep(now) {
			b.source.ForgetBrittle(id)
		}
	})
}

func (b *brittle) handleLease(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var q laburnumconcurrency.Request
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodLease, Cause: err}
	}
	share := laburnumconcurrency.FullShare
	if first := b.source.FirstFor(q.Zone, string(q.Backend)); first != b.self {
		if b.keepers.answers(first) {
			b.deferred.Inc(1)
			return laburnumconcurrency.Answer{RetryIn: laburnumlever.Duration(laburnumconcurrency.KeeperRetry), Keeper: first, Limit: q.Limit}, nil
		}
		share = laburnumconcurrency.StandInShare
	}
	b.mu.Lock()
	now := b.timers.Now()
	b.learn(q.Limit, now)
	answer, waiter := b.keeper.Acquire(q, share, now)
	b.mu.Unlock()
	if waiter != nil {
		answer = b.await(ctx, q, waiter, answer)
	}
	switch {
	case answer.Granted:
		b.granted.Inc(1)
	case waiter != nil:
		b.abandoned.Inc(1)
	default:
		b.refused.Inc(1)
	}
	return answer, nil
}

// await waits for a lease as long as the request can.
func (b *brittle) await(ctx context.Context, q laburnumconcurrency.Request, w *laburnumconcurrency.Waiter, answer laburnumconcurrency.Answer) laburnumconcurrency.Answer {
	over, cancel := laburnumtimer.AfterChannel(b.timers, min(laburnumconcurrency.MaxWait, time.Duration(q.Wait)))
	defer cancel()
	select {
	case lease, ok := <-w.Granted:
		answer.Granted, answer.Lease = true, lease
		answer.Limit.Ended = !ok
		return answer
	case <-over:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keeper.Abandon(w, b.timers.Now())
	answer.RetryIn = laburnumlever.Duration(laburnumconcurrency.MaxWait)
	return answer
}

func (b *brittle) handleReturn(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var returned []laburnumconcurrency.Release
	if err := json.Unmarshal(params, &returned); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodReturnLeases, Cause: err}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timers.Now()
	for _, r := range returned {
		if r.Change != nil {
			b.learn(*r.Change, now)
		}
		if r.Lease != 0 || r.Ask != 0 {
			b.keeper.Release(r, now)
		}
	}
	return struct{}{}, nil
}

// learn records what a gateway tells, and publishes what is news. The caller holds mu.
func (b *brittle) learn(l laburnumconcurrency.Limit, now time.Time) {
	if !b.keeper.Learn(l, now) {
		return
	}
	_ = level.Info(b.logger).Log("event", laburnumlever.EventBrittleChanged, "backend", l.Backend, "brittle", !l.Ended, "rejections", l.Rejections, "slots", l.Slots)
	b.source.SetBrittle(l)
}

const (
	// leaseReturnPeriod is the interval between two batches.
	leaseReturnPeriod = 2 * time.Millisecond
	// leaseReturnRetryDelay is the time until returns that a control VM didn't answer are sent again, leaseReturnTime how long
	// they are sent.
	leaseReturnRetryDelay = 100 * time.Millisecond
	leaseReturnTime       = 3 * time.Second
)

// leaseReturns sends a gateway's returned leases to the control VMs, in batches.
type leaseReturns struct {
	calls     *keeperCalls
	timers    laburnumlever.Timers
	logger    log.Logger
	coalescer *laburnumtimer.Coalescer

	mu sync.Mutex
	// pending are those that were not sent yet, by the address of the control VM.
	pending map[string][]leaseReturn
}

// leaseReturn is a returned lease, sent until a time.
type leaseReturn struct {
	release laburnumconcurrency.Release
	until   time.Time
}

func newLeaseReturns(calls *keeperCalls, timers laburnumlever.Timers, logger log.Logger) *leaseReturns {
	r := &leaseReturns{calls: calls, timers: timers, logger: logger, pending: map[string][]leaseReturn{}}
	r.coalescer = laburnumtimer.NewCoalescer(timers, func() time.Duration { return leaseReturnPeriod }, func() { go r.flush() })
	return r
}

func (r *leaseReturns) add(address string, release laburnumconcurrency.Release) {
	r.addAll(address, []leaseReturn{{release: release, until: r.timers.Now().Add(leaseReturnTime)}})
}

func (r *leaseReturns) addAll(address string, returns []leaseReturn) {
	r.mu.Lock()
	r.pending[address] = append(r.pending[address], returns...)
	r.mu.Unlock()
	r.coalescer.Trigger()
}

// flush sends what is pending, to all control VMs at once: one that hangs must not hold up the leases of another.
func (r *leaseReturns) flush() {
	r.mu.Lock()
	pending := r.pending
	r.pending = map[string][]leaseReturn{}
	r.mu.Unlock()
	for address, returns := range pending {
		go r.send(address, returns)
	}
}

// send sends returns to a control VM, and again for a while if it doesn't answer: each lease holds a slot. What does not
// arrive ends by itself: a lease at its request's deadline, and a change is told again with the next request for a lease.
func (r *leaseReturns) send(address string, returns []leaseReturn) {
	releases := make([]laburnumconcurrency.Release, 0, len(returns))
	for _, sent := range returns {
		releases = append(releases, sent.release)
	}
	var answer struct{}
	err := r.calls.call(context.Background(), address, methodReturnLeases, releases, &answer)
	if err == nil {
		return
	}
	_ = level.Debug(r.logger).Log("event", laburnumlever.EventLimitNotReported, "address", address, "leases", len(returns), "cause", err)
	returns = unsentLeases(returns, r.timers.Now())
	if len(returns) == 0 || isUnknownMethod(err) {
		return
	}
	r.timers.After(leaseReturnRetryDelay, func(time.Time) { r.addAll(address, returns) })
}

// unsentLeases returns the returns that are worth sending again, without changes: by then a newer one may have been told.
func unsentLeases(returns []leaseReturn, now time.Time) []leaseReturn {
	var unsent []leaseReturn
	for _, r := range returns {
		r.release.Change = nil
		if now.Before(r.until) && (r.release.Lease != 0 || r.release.Ask != 0) {
			unsent = append(unsent, r)
		}
	}
	return unsent
}
