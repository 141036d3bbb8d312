package laburnumvoter

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdisk"
	"laburnumlever/laburnumquorum"
	"laburnumlever/laburnumstate"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

const (
	// defaultTick is a tenth of the shortest election timeout.
	defaultTick = 100 * time.Millisecond
	// defaultProposalTimeout outlasts an election: two timeouts and a round or two.
	defaultProposalTimeout = 5 * time.Second
	// defaultLeaderlessTimeout outlasts elections; without a leader for longer, a
	// quorum is missing.
	defaultLeaderlessTimeout = 3 * time.Second
	// defaultReplaceAfter outlasts a restart of a VM.
	defaultReplaceAfter = time.Minute
	// defaultSnapshotBytes is the size of entries after which a snapshot is taken.
	defaultSnapshotBytes = 4 << 20
	// defaultBatch bounds the commands of one append and the writes of one fsync.
	defaultBatch = 512
)

type config struct {
	folder       string
	diskOptions  []laburnumdisk.Option
	stateOptions []laburnumstate.Option
	voters       []laburnumlever.Voter
	candidates   func() []laburnumlever.Voter
	contacts     func() []laburnumlever.Voter
	voterTarget  int
	// firstChangeTolerance and firstChangeWithin: see WithFirstChange.
	firstChangeTolerance int
	firstChangeTimeout   time.Duration
	logger               log.Logger
	scope                tally.Scope
	tick                 time.Duration
	proposalTimeout      time.Duration
	// leaderlessTimeout: see WithLeaderlessPatience.
	leaderlessTimeout time.Duration
	replaceAfter      time.Duration
	snapshotBytes     int
	batch             int
}

func newConfig(opts []Option) config {
	cfg := config{
		logger: log.NewNopLogger(), scope: tally.NoopScope, tick: defaultTick,
		proposalTimeout: defaultProposalTimeout, leaderlessTimeout: defaultLeaderlessTimeout,
		replaceAfter:  defaultReplaceAfter,
		snapshotBytes: defaultSnapshotBytes, batch: defaultBatch,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	if cfg.voterTarget == 0 {
		cfg.voterTarget = len(cfg.voters)
	}
	return cfg
}

// policy decides the voters.
func (c config) policy() laburnumquorum.Policy {
	ticks := int(c.replaceAfter / max(c.tick, time.Millisecond))
	return laburnumquorum.Policy{Target: c.voterTarget, ReplaceTicks: ticks}
}

// Option changes a new voter.
type Option func(*config)

// WithDataFolder makes the VM a replica with its data in the folder; empty means none.
func WithDataFolder(path string) Option { return func(c *config) { c.folder = path } }

// WithVoters sets the first voters, the same on all VMs. The leader keeps their number;
// the list in force is in the log.
func WithVoters(voters []laburnumlever.Voter) Option {
	return func(c *config) { c.voters = voters }
}

// WithCandidates sets who may replace a lost voter, besides the first voters; without it
// any replica may. It is called on the control thread.
func WithCandidates(candidates func() []laburnumlever.Voter) Option {
	return func(c *config) { c.candidates = candidates }
}

// WithContacts sets the VMs to ask for the voters in force: a replica with a new folder
// doesn't know them. It may be called on any goroutine.
func WithContacts(contacts func() []laburnumlever.Voter) Option {
	return func(c *config) { c.contacts = contacts }
}

// WithVoterTarget sets how many voters the leader aims at; by default the number of first
// voters. A log that started with fewer grows to it.
func WithVoterTarget(n int) Option { return func(c *config) { c.voterTarget = n } }

// WithFirstChange delays an operator's first change until the committed voters tolerate the
// loss of that many disks, since a log starts with fewer voters. A deployment with too few
// VMs goes on after the time given, counted from the leader's start.
func WithFirstChange(losses int, within time.Duration) Option {
	return func(c *config) { c.firstChangeTolerance, c.firstChangeTimeout = losses, within }
}

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option { return func(c *config) { c.logger = logger } }

// WithScope sets where counters go.
func WithScope(scope tally.Scope) Option { return func(c *config) { c.scope = scope } }

// WithDisk sets options of the data folder.
func WithDisk(opts ...laburnumdisk.Option) Option {
	return func(c *config) { c.diskOptions = opts }
}

// WithState sets options of the state machine, the same on all VMs.
func WithState(opts ...laburnumstate.Option) Option {
	return func(c *config) { c.stateOptions = opts }
}

// WithTick sets the length of a tick. An election starts after 10 to 20 ticks without a
// leader.
func WithTick(d time.Duration) Option { return func(c *config) { c.tick = d } }

// WithProposalTimeout sets the timeout of Propose.
func WithProposalTimeout(d time.Duration) Option {
	return func(c *config) { c.proposalTimeout = d }
}

// WithLeaderlessPatience sets how long a voter is without a leader before Propose fails once
// all known VMs were asked, in place of waiting.
func WithLeaderlessPatience(d time.Duration) Option {
	return func(c *config) { c.leaderlessTimeout = d }
}

// WithReplaceAfter sets how long a voter is silent before another VM replaces it.
func WithReplaceAfter(d time.Duration) Option { return func(c *config) { c.replaceAfter = d } }

// WithSnapshotBytes sets the size of entries after which a snapshot is taken.
func WithSnapshotBytes(n int) Option { return func(c *config) { c.snapshotBytes = n } }

// WithBatch bounds the commands of an append and the writes of an fsync; 1 turns batching
// off.
func WithBatch(n int) Option { return func(c *config) { c.batch = max(1, n) } }
