package laburnummembership

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// The defaults; docs/design/membership.md has the measurements behind them.
const (
	tickPeriod = 200 * time.Millisecond
	// probeTimeout is many times a round trip between zones, and short enough
	// that a probe, its indirect ones and a suspicion end within seconds.
	probeTimeout = 500 * time.Millisecond
	// indirectProbeTimeout leaves the helper a probeTimeout of its own.
	indirectProbeTimeout = 900 * time.Millisecond
	syncTimeout          = 3 * time.Second
	indirectProbes       = 3
	// pauseThreshold is how late a tick shows that this process was paused.
	pauseThreshold = time.Second
	// suspicionBase and suspicionStep (for each doubling of the fleet) give a
	// suspected VM the time to hear of it and to refute.
	suspicionBase = 1500 * time.Millisecond
	suspicionStep = 500 * time.Millisecond
	// remoteSuspicionFactor stretches the suspicion on VMs that only heard of it.
	remoteSuspicionFactor = 1.5
	// maxReprobes bounds the accused VMs asked again at one tick.
	maxReprobes = 4
	// recentContact is how recent a message from others must be to show that this
	// VM is not cut off.
	recentContact    = 1500 * time.Millisecond
	reconnectPeriod  = 2 * time.Second
	joinPeriod       = time.Second
	vmRetention      = 6 * time.Hour
	leftVMRetention  = 10 * time.Minute
	backendRetention = 10 * time.Minute
	// backendTimeout is two announcements and four reports missed, and some.
	backendTimeout = 2200 * time.Millisecond
	// backendSuspicion is how long others have to say that they still hear it.
	backendSuspicion = 800 * time.Millisecond
	// orphanTimeout is how long a backend server whose speaker is down may be
	// without any news before it counts as down here.
	orphanTimeout = 5 * time.Second
	// The budgets bound the bytes of each kind of news in one message.
	factBudget = 500
	bulkBudget = 4 << 10 // before compression, which makes a seventh of it
	loadBudget = 450     // before base64, which adds a third
	// factSends is how often a fact is passed on, for each doubling of the fleet.
	factSends = 1.5
	// bulkSends is lower, as bulky news costs more and a pull finds what was missed.
	bulkSends = 0.7
	// minSends keeps a small fleet from missing news: partners are few, and some sends go
	// to VMs that know it already.
	minSends = 6
	// loadSends is fixed: a row reaches nineteen in twenty, and the rest with the
	// next one; more sends would push out newer rows.
	loadSends = 3
	// loadInterval is the least time between two load rows of a backend server;
	// it grows with the number of them, by nearLoadStep in the own zone and by
	// farLoadStep for the others, so that the bytes stay constant.
	loadInterval = 400 * time.Millisecond
	nearLoadStep = 5 * time.Millisecond
	farLoadStep  = 14 * time.Millisecond
	// loadRepeatDelay is how long a load stays unreported before it is sent again.
	loadRepeatDelay = 2 * time.Second
	// syncMismatches is how many exchanges must show another digest before a pull:
	// fewer, and news still on its way would be pulled as missed.
	syncMismatches = 5
	syncPeriod     = time.Second
	// syncStep stretches syncPeriod for each VM known: the more there are, the more
	// news is on its way at any time, and a pull for that is wasted.
	syncStep   = 30 * time.Millisecond
	syncBudget = 512 << 10 // before compression
	// relayLimit is how many items learnt by one sync are passed on as news.
	relayLimit = 50
)

type config struct {
	logger log.Logger
	scope  tally.Scope
	seeds  []string
	seed   uint64
}

// Option changes a new membership.
type Option func(*config)

func newConfig(opts []Option) config {
	cfg := config{logger: log.NewNopLogger(), scope: tally.NoopScope}
	for _, opt := range opts {
		opt(&cfg)
	}
	return cfg
}

// WithSeeds sets the peer addresses of VMs to join through. They are also tried
// again while no VM that is alive has them.
func WithSeeds(addresses []string) Option { return func(c *config) { c.seeds = addresses } }

// WithLogger sets the log; without it nothing is logged.
func WithLogger(logger log.Logger) Option { return func(c *config) { c.logger = logger } }

// WithScope sets where counters go; without it they go nowhere.
func WithScope(scope tally.Scope) Option { return func(c *config) { c.scope = scope } }

// WithRandomSeed makes the choice of partners the same in every run.
func WithRandomSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }
