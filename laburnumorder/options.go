package laburnumorder

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// The periods and bounds of an owner.
const (
	defaultLeaseTTL = 10 * time.Second
	// defaultMaxOrderDelay is the longest that an order can be under way: its timeout,
	// and as long again for what waits in the engine's socket.
	defaultMaxOrderDelay = 30 * time.Second
	defaultCallTimeout   = 10 * time.Second
	defaultTick          = 500 * time.Millisecond
	// renewalsPerTTL leaves room for two lost renewals.
	renewalsPerTTL = 3
	// leaseMarginDivisor is the part of the lease that this VM does not use: its clock
	// may run slower than the leader's by that much.
	leaseMarginDivisor = 10
	// idleReadPeriod is how often an engine's inventory is read when nothing hints at
	// a change.
	idleReadPeriod = 15 * time.Second
	// busyReadPeriod is how often it is read while something there is changing.
	busyReadPeriod = time.Second
	// readRetryDelay spaces the reads of an engine that does not answer.
	readRetryDelay = 2 * time.Second
	// failedOrderPause keeps an engine that failed an order from being asked again at
	// once.
	failedOrderPause = 10 * time.Second
	// stableAfter is how long a copy must have been seen ready before another is
	// given up for it: several reports, and longer than a dead engine goes unnoticed.
	stableAfter = 6 * time.Second
	// maxReportAge is how old a report of another zone's engine may be for its copies to
	// be relied on: six reports. Without it, copies that the other zone gave up while
	// its reports did not arrive would be taken for the ones that answer.
	maxReportAge = 3 * time.Second
	// freshVersionPeriod is how long after a change of a model's version another zone's copies
	// of it are not relied on: a catalogue is in force everywhere within 7 s, and
	// what was done until then shows in reports within reportAge.
	freshVersionPeriod = 12 * time.Second
	// overdueAfter is how long the zones may get nowhere with their repairs
	// before each repairs in its own zone.
	overdueAfter = 20 * time.Second
	// releaseTimeout bounds what a stopping VM spends on giving the lease back.
	releaseTimeout = time.Second
	// observePeriod is how often the demand is taken in: VMs send it no oftener.
	observePeriod = 2 * time.Second
	// planRestFactor is how many times as long as a round took the next one waits.
	planRestFactor = 100
	// historySize is how many moves are kept for explanations.
	historySize = 256
	// maxLoadTime is how long a load counts against the zone's parallel loads
	// when nothing more is heard of it.
	maxLoadTime = 5 * time.Minute
)

// Option changes a new owner.
type Option func(*Owner)

// WithLogger sets where the owner logs; without it, nowhere.
func WithLogger(logger log.Logger) Option { return func(o *Owner) { o.logger = logger } }

// WithScope sets where the owner counts; without it, nowhere.
func WithScope(scope tally.Scope) Option { return func(o *Owner) { o.scope = scope } }

// WithLeaseTTL sets how long a lease lasts without renewal.
func WithLeaseTTL(ttl time.Duration) Option { return func(o *Owner) { o.ttl = ttl } }

// WithUnderWay sets the longest time that an order can be under way to an engine:
// longer than the call timeout.
func WithUnderWay(d time.Duration) Option { return func(o *Owner) { o.maxOrderDelay = d } }

// WithCallTimeout sets how long the answer of an engine or of the log is awaited.
func WithCallTimeout(d time.Duration) Option { return func(o *Owner) { o.callTimeout = d } }

// WithTick sets how often the owner looks at its zone.
func WithTick(d time.Duration) Option { return func(o *Owner) { o.tickPeriod = d } }

// WithRunner sets what runs the calls to engines and to the log; without it, each
// has a goroutine of its own.
func WithRunner(run func(work func())) Option { return func(o *Owner) { o.run = run } }
