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
	// defaultProposalTimeout outlasts an election, which takes up to two election timeouts
	// and one or two rounds of votes.
	defaultProposalTimeout = 5 * time.Second
	// defaultLeaderlessTimeout outlasts elections; a longer time without a leader means that
	// there is no quorum.
	defaultLeaderlessTimeout = 3 * time.Second
	// defaultReplaceAfter outlasts a VM restart.
	defaultReplaceAfter = time.Minute
	// defaultSnapshotBytes is the total size of applied entries after which a snapshot is taken.
	defaultSnapshotBytes = 4 << 20
	// defaultBatch is the maximum number of commands per append and of writes per fsync.
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
	// firstChangeTolerance and firstChangeTimeout: see WithFirstChangeTolerance.
	firstChangeTolerance int
	firstChangeTimeout   time.Duration
	logger               log.Logger
	scope                tally.Scope
	tick                 time.Duration
	proposalTimeout      time.Duration
	// leaderlessTimeout: see WithLeaderlessTimeout.
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

// policy returns the rules by which the leader adds and replaces voters.
func (c config) policy() laburnumquorum.Policy {
	ticks := int(c.replaceAfter / max(c.tick, time.Millisecond))
	return laburnumquorum.Policy{Target: c.voterTarget, ReplaceTicks: ticks}
}

// tolerance returns how many disks of the voters may be lost at once.
func (c config) tolerance() int { return max(0, (c.voterTarget-1)/2) }

// Option configures a new voter.
type Option func(*config)

// WithDataFolder makes the VM a replica that stores its data in the folder. With an empty path
// the VM has no replica.
func WithDataFolder(path string) Option { return func(c *config) { c.folder = path } }

// WithVoters sets the initial voters, which must be the same on all VMs. The leader keeps their
// number unless WithVoterTarget sets another; the current voters are recorded in the log.
func WithVoters(voters []laburnumlever.Voter) Option {
	return func(c *config) { c.voters = voters }
}

// WithCandidates sets which VMs may replace a lost voter besides the initial voters. Without it
// any replica may. The function is called on the control thread.
func WithCandidates(candidates func() []laburnumlever.Voter) Option {
	return func(c *config) { c.candidates = candidates }
}

// WithContacts sets the VMs to ask for the current voters, which a replica with a new data folder
// doesn't know. The function may be called on any goroutine.
func WithContacts(contacts func() []laburnumlever.Voter) Option {
	return func(c *config) { c.contacts = contacts }
}

// WithVoterTarget sets the number of voters that the leader maintains, by default the number of
// initial voters. A log that started with fewer voters grows to the target.
func WithVoterTarget(n int) Option { return func(c *config) { c.voterTarget = n } }

// WithFirstChangeTolerance rejects an operator's first change until the committed voters tolerate
// the loss of that many disks, since a log starts with fewer voters than its target. A deployment
// with too few VMs accepts the change after the timeout, measured from the start of the leader's
// process.
func WithFirstChangeTolerance(losses int, within time.Duration) Option {
	return func(c *config) { c.firstChangeTolerance, c.firstChangeTimeout = losses, within }
}

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option { return func(c *config) { c.logger = logger } }

// WithScope sets the metrics scope.
func WithScope(scope tally.Scope) Option { return func(c *config) { c.scope = scope } }

// WithDisk sets options of the data folder.
func WithDisk(opts ...laburnumdisk.Option) Option {
	return func(c *config) { c.diskOptions = opts }
}

// WithState sets options of the state machine, which must be the same on all VMs.
func WithState(opts ...laburnumstate.Option) Option {
	return func(c *config) { c.stateOptions = opts }
}

// WithTick sets the tick interval. An election starts after 10 to 20 ticks without a leader.
func WithTick(d time.Duration) Option { return func(c *config) { c.tick = d } }

// WithProposalTimeout sets the timeout of Propose.
func WithProposalTimeout(d time.Duration) Option {
	return func(c *config) { c.proposalTimeout = d }
}

// WithLeaderlessTimeout sets how long a voter must be without a leader before Propose fails once it
// has asked all known VMs, instead of retrying until its timeout.
func WithLeaderlessTimeout(d time.Duration) Option {
	return func(c *config) { c.leaderlessTimeout = d }
}

// WithReplaceAfter sets how long a voter must be silent before the leader replaces it.
func WithReplaceAfter(d time.Duration) Option { return func(c *config) { c.replaceAfter = d } }

// WithSnapshotBytes sets the minimum total size of applied entries after which a snapshot is taken.
func WithSnapshotBytes(n int) Option { return func(c *config) { c.snapshotBytes = n } }

// WithBatch sets the maximum number of commands per append and of writes per fsync; 1 disables
// batching.
func WithBatch(n int) Option { return func(c *config) { c.batch = max(1, n) } }
