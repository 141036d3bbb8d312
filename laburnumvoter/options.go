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
	// defaultTick makes heartbeats go out ten times within the shortest
	// election timeout, which is ten ticks: 1 s.
	defaultTick = 100 * time.Millisecond
	// defaultProposalTimeout bridges an election, which takes up to two
	// timeouts and a round or two.
	defaultProposalTimeout = 5 * time.Second
	// defaultLeaderlessPatience is more than elections take: what is missing then is votes,
	// and waiting for them helps nobody.
	defaultLeaderlessPatience = 3 * time.Second
	// defaultReplaceAfter is longer than a restart of a VM, so that a
	// restart does not move replicas about.
	defaultReplaceAfter = time.Minute
	// defaultSnapshotBytes of entries make a snapshot worth its cost.
	defaultSnapshotBytes = 4 << 20
	// defaultBatch bounds the commands that share one append and the writes
	// that share one fsync.
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
	// firstChangeBears and firstChangeWithin: see WithFirstChange.
	firstChangeBears  int
	firstChangeWithin time.Duration
	logger            log.Logger
	scope             tally.Scope
	tick              time.Duration
	proposalTimeout   time.Duration
	// leaderlessPatience: see WithLeaderlessPatience.
	leaderlessPatience time.Duration
	replaceAfter       time.Duration
	snapshotBytes      int
	batch              int
}

func newConfig(opts []Option) config {
	cfg := config{
		logger: log.NewNopLogger(), scope: tally.NoopScope, tick: defaultTick,
		proposalTimeout: defaultProposalTimeout, leaderlessPatience: defaultLeaderlessPatience,
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

// policy is who the voters are to be.
func (c config) policy() laburnumquorum.Policy {
	ticks := int(c.replaceAfter / max(c.tick, time.Millisecond))
	return laburnumquorum.Policy{Target: c.voterTarget, ReplaceTicks: ticks}
}

// Option changes a new voter.
type Option func(*config)

// WithDataFolder makes the VM hold a replica in the folder; empty means none.
func WithDataFolder(path string) Option { return func(c *config) { c.folder = path } }

// WithVoters sets the first voters, the same on all VMs. Their number stays the
// number of voters that the leader restores; once the log exists, it holds the
// list in force.
func WithVoters(voters []laburnumlever.Voter) Option {
	return func(c *config) { c.voters = voters }
}

// WithCandidates sets who may take a lost voter's place, besides the first voters.
// It is called on the control thread. Without it any replica that asks may.
func WithCandidates(candidates func() []laburnumlever.Voter) Option {
	return func(c *config) { c.candidates = candidates }
}

// WithContacts sets whom a VM asks that knows of no voters, or not of the present
// ones: a replica that was emptied, or one that was not there when the log was
// founded. It may be called on any goroutine.
func WithContacts(contacts func() []laburnumlever.Voter) Option {
	return func(c *config) { c.contacts = contacts }
}

// WithVoterTarget sets how many voters the leader aims at; without it as many as
// there were first voters. A log founded by fewer grows to it.
func WithVoterTarget(n int) Option { return func(c *config) { c.voterTarget = n } }

// WithFirstChange holds an operator's first change back until the committed voters bear the
// loss of that many disks: a log is founded by fewer, and what was confirmed before it has grown
// would be gone with them. A deployment that has too few VMs goes on after the time given, counted
// from the leader's start.
func WithFirstChange(losses int, within time.Duration) Option {
	return func(c *config) { c.firstChangeBears, c.firstChangeWithin = losses, within }
}

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option { return func(c *config) { c.logger = logger } }

// WithScope sets where counters go.
func WithScope(scope tally.Scope) Option { return func(c *config) { c.scope = scope } }

// WithDisk sets options of the data folder, such as file operations that fail.
func WithDisk(opts ...laburnumdisk.Option) Option {
	return func(c *config) { c.diskOptions = opts }
}

// WithState sets options of the state machine, the same on all VMs.
func WithState(opts ...laburnumstate.Option) Option {
	return func(c *config) { c.stateOptions = opts }
}

// WithTick sets the length of a tick. An election starts after 10 to 20 ticks
// without a leader.
func WithTick(d time.Duration) Option { return func(c *config) { c.tick = d } }

// WithProposalTimeout bounds how long Propose tries.
func WithProposalTimeout(d time.Duration) Option {
	return func(c *config) { c.proposalTimeout = d }
}

// WithLeaderlessPatience sets how long a voter is without a leader before Propose there no
// longer waits for one, but fails once all the VMs known were asked.
func WithLeaderlessPatience(d time.Duration) Option {
	return func(c *config) { c.leaderlessPatience = d }
}

// WithReplaceAfter sets how long a voter is silent before another VM with a disk
// takes its place.
func WithReplaceAfter(d time.Duration) Option { return func(c *config) { c.replaceAfter = d } }

// WithSnapshotBytes sets after how many bytes of entries a snapshot is taken.
func WithSnapshotBytes(n int) Option { return func(c *config) { c.snapshotBytes = n } }

// WithBatch sets how many commands may share an append, and writes an fsync; 1
// turns batching off.
func WithBatch(n int) Option { return func(c *config) { c.batch = max(1, n) } }
