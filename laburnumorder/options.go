package laburnumorder

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// The periods and bounds of an owner.
const (
	defaultLeaseTTL = 10 * time.Second
	// defaultMaxOrderDelay is the longest time from sending an order to its arrival. It
	// exceeds the call timeout to allow for data that waits in the engine's socket.
	defaultMaxOrderDelay = 30 * time.Second
	defaultCallTimeout   = 10 * time.Second
	defaultTick          = 500 * time.Millisecond
	// renewalsPerTTL tolerates two lost renewals per lease term.
	renewalsPerTTL = 3
	// leaseMarginDivisor divides the lease term to get the margin, a tenth of the term: this VM's
	// clock may be slower than the leader's by that much.
	leaseMarginDivisor = 10
	// idleReadPeriod is how often an engine's inventory is read when no change is expected.
	idleReadPeriod = 15 * time.Second
	// busyReadPeriod is how often it is read while loads, orders or intents are pending.
	busyReadPeriod = time.Second
	// readRetryDelay is the delay between reads of an engine that does not answer.
	readRetryDelay = 2 * time.Second
	// failedOrderPause is the delay before the next order to an engine that failed one.
	failedOrderPause = 10 * time.Second
	// stableAfter is how long a copy must have been seen ready before another copy may be
	// unloaded in its favour: several reports, and longer than failure detection takes.
	stableAfter = 6 * time.Second
	// maxReportAge is the maximum age, six report intervals, of a report from another zone's
	// engine for its copies to count as stable. Without it, copies that the other zone
	// unloaded while its reports did not arrive would count as serving.
	maxReportAge = 3 * time.Second
	// freshVersionPeriod is how long after a change of a model's version another zone's
	// copies of it do not count as stable: a catalogue is in effect everywhere within 7 s,
	// and the unloads made until then appear in reports within maxReportAge.
	freshVersionPeriod = 12 * time.Second
	// overdueAfter is how long the repairs of all zones may make no progress before each
	// zone repairs the missing models itself.
	overdueAfter = 20 * time.Second
	// releaseTimeout bounds the release of the lease when a VM stops.
	releaseTimeout = time.Second
	// observePeriod is how often the demand is sampled. VMs send it no more often.
	observePeriod = 2 * time.Second
	// planRestFactor is the wait before the next planning round, as a multiple of the
	// duration of the last one.
	planRestFactor = 100
	// historySize bounds the moves that are kept for explanations.
	historySize = 256
	// maxLoadTime is how long a load without further news counts against the zone's
	// parallel loads.
	maxLoadTime = 5 * time.Minute
)

// Option configures an Owner.
type Option func(*Owner)

// WithLogger sets the logger. The default discards all output.
func WithLogger(logger log.Logger) Option { return func(o *Owner) { o.logger = logger } }

// WithScope sets the metrics scope. The default discards all metrics.
func WithScope(scope tally.Scope) Option { return func(o *Owner) { o.scope = scope } }

// WithLeaseTTL sets the lease term. The default is 10 s.
func WithLeaseTTL(ttl time.Duration) Option { return func(o *Owner) { o.ttl = ttl } }

// WithMaxOrderDelay sets the longest time from sending an order to its arrival at the
// engine. It must exceed the call timeout. The default is 30 s.
func WithMaxOrderDelay(d time.Duration) Option { return func(o *Owner) { o.maxOrderDelay = d } }

// WithCallTimeout sets the timeout of calls to engines and to the log. The default is 10 s.
func WithCallTimeout(d time.Duration) Option { return func(o *Owner) { o.callTimeout = d } }

// WithTick sets how often the owner checks its zone. The default is 500 ms.
func WithTick(d time.Duration) Option { return func(o *Owner) { o.tickPeriod = d } }

// WithRunner sets the function that runs calls to engines and to the log. The default
// starts a goroutine for each call.
func WithRunner(run func(work func())) Option { return func(o *Owner) { o.run = run } }
