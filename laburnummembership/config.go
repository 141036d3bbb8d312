package laburnummembership

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// The defaults. The measurements behind them are in docs/design/membership.md.
const (
	tickPeriod = 200 * time.Millisecond
	// probeTimeout is many times a round trip between zones, yet short enough for a probe, its
	// indirect probes and a suspicion to end within seconds.
	probeTimeout = 500 * time.Millisecond
	// indirectProbeTimeout leaves the helper VM one probeTimeout for its own probe.
	indirectProbeTimeout = 900 * time.Millisecond
	syncTimeout          = 3 * time.Second
	indirectProbes       = 3
	// pauseThreshold is the time between two ticks above which this process is taken to have
	// been paused.
	pauseThreshold = time.Second
	// suspicionBase, plus suspicionStep for each doubling of the fleet, is the time that a
	// suspected VM has to learn of the suspicion and refute it.
	suspicionBase = 1500 * time.Millisecond
	suspicionStep = 500 * time.Millisecond
	// remoteSuspicionFactor lengthens the suspicion on VMs that learned of it from another VM.
	remoteSuspicionFactor = 1.5
	// maxReprobes limits how many suspected VMs are probed again per tick.
	maxReprobes = 4
	// recentContact is how recent another VM's message must be to show that this VM is not cut
	// off.
	recentContact    = 1500 * time.Millisecond
	reconnectPeriod  = 2 * time.Second
	joinPeriod       = time.Second
	vmRetention      = 6 * time.Hour
	leftVMRetention  = 10 * time.Minute
	backendRetention = 10 * time.Minute
	// backendTimeout allows for two missed announcements and four missed reports, with a
	// margin.
	backendTimeout = 2200 * time.Millisecond
	// backendSuspicion is how long another VM has to publish that it is still in contact with a
	// suspected backend server.
	backendSuspicion = 800 * time.Millisecond
	// orphanTimeout is how long a backend server whose publisher is down may go without updates
	// before it counts as down here.
	orphanTimeout = 5 * time.Second
	// The budgets limit the bytes of each kind of update in one message.
	factBudget = 500
	bulkBudget = 4 << 10 // before compression, which reduces it to about a seventh
	loadBudget = 450     // before base64, which adds a third
	// factSends is how many times a fact is sent, for each doubling of the fleet.
	factSends = 1.5
	// bulkSends is lower because these updates are large, and a pull finds what a VM missed.
	bulkSends = 0.7
	// minSends keeps VMs of a small fleet from missing updates: there are few partners, and
	// some messages go to VMs that already know the update.
	minSends = 6
	// loadSends does not grow with the fleet: a row reaches 95% of the VMs, and the rest get
	// the next row. More repeats would displace newer rows.
	loadSends = 3
	// loadInterval is the minimum time between two load rows of one backend server. It grows
	// with their number, by nearLoadStep within the zone and farLoadStep for the other zones,
	// so that the bytes sent stay constant.
	loadInterval = 400 * time.Millisecond
	nearLoadStep = 5 * time.Millisecond
	farLoadStep  = 14 * time.Millisecond
	// loadRepeatDelay is how long after the last report its load row is sent again.
	loadRepeatDelay = 2 * time.Second
	// syncMismatches is how many exchanges must show a different digest before a pull. With
	// fewer, a VM would pull updates that are still being gossiped.
	syncMismatches = 5
	syncPeriod     = time.Second
	// syncStep lengthens syncPeriod for each known VM: in a larger fleet more updates are in
	// transit at any time, and a pull for those is wasted.
	syncStep   = 30 * time.Millisecond
	syncBudget = 512 << 10 // before compression
	// relayLimit is the largest number of items learned from one pull that are gossiped on.
	relayLimit = 50
)

type config struct {
	logger log.Logger
	scope  tally.Scope
	seeds  []string
	seed   uint64
}

// Option configures a Membership.
type Option func(*config)

func newConfig(opts []Option) config {
	cfg := config{logger: log.NewNopLogger(), scope: tally.NoopScope}
	for _, opt := range opts {
		opt(&cfg)
	}
	return cfg
}

// WithSeeds sets the peer addresses of the VMs to join through. An address is tried again
// whenever no living VM is known to have it.
func WithSeeds(addresses []string) Option { return func(c *config) { c.seeds = addresses } }

// WithLogger sets the logger; the default discards everything.
func WithLogger(logger log.Logger) Option { return func(c *config) { c.logger = logger } }

// WithScope sets the scope for counters; the default discards them.
func WithScope(scope tally.Scope) Option { return func(c *config) { c.scope = scope } }

// WithRandomSeed makes the choice of gossip partners reproducible. 0 stands for a random seed.
func WithRandomSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }
