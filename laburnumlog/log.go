package laburnumlog

import (
	"maps"
	"slices"
)

const (
	// electionTicks is how long a follower waits for a leader at least; the
	// wait is drawn between one and two times this. At 100 ms a tick, ten
	// ticks outlast a slow fsync and a lost heartbeat or two.
	electionTicks = 10
	// retryTicks is the shortest wait after an election that was not won; it
	// outlasts the round and the fsync that an election takes.
	retryTicks = 2
	// resendTicks is how long the leader waits for an acknowledgement before
	// it takes messages for lost.
	resendTicks = 3
	// snapshotResendTicks is the same for a snapshot, which is large.
	snapshotResendTicks = 50
	// maxInFlight bounds the appends under way to one member; what is proposed
	// meanwhile goes out together when one comes back.
	maxInFlight = 8
	// maxBatchBytes bounds the entries of one message.
	maxBatchBytes = 256 << 10
	// retainedEntries is how many entries stay behind a snapshot, so that a replica
	// a little behind needs no snapshot.
	retainedEntries = 1024
)

type pendingWrite struct {
	seq   uint64
	index uint64
	term  uint64
	hard  HardState
}

type configurationAt struct {
	index         uint64
	configuration Configuration
}

// Log is one replica. It is not safe for concurrent use.
type Log struct {
	id     ReplicaID
	boot   uint64
	role   Role
	hard   HardState
	leader ReplicaID

	snapshot  Snapshot
	baseIndex uint64 // entries start right after it
	baseTerm  uint64
	entries   []Entry
	commit    uint64
	applied   uint64
	retain    uint64

	// configurations are those in the log, oldest first; the last is in force.
	configurations []configurationAt
	progress       map[ReplicaID]progress
	votes          map[ReplicaID]bool
	elapsed        int
	timeout        int
	random         uint64
	transferTarget ReplicaID

	seq         uint64
	pending     []pendingWrite
	unwritten   uint64 // the first entry not handed to the disk
	stable      uint64 // the last entry known durable here
	newSnapshot bool
	reset       bool
	emittedHard HardState
	durableHard HardState

	out   Output
	after []Message
}

// Option changes a new log.
type Option func(*Log)

// WithSeed sets the seed of the election timeouts. Replicas need different ones.
func WithSeed(seed uint64) Option { return func(l *Log) { l.random = seed } }

// nonceBits is how much of a boot is random.
const nonceBits = 20

// Boot names one start of a replica: how often it was started on its disk, this
// time included, and a random number. A disk that went back counts a number of
// starts again, but under another random number.
func Boot(starts uint64, random uint32) uint64 {
	return starts<<nonceBits | uint64(random)&(1<<nonceBits-1)
}

// WithBoot sets the start's name, from Boot. The leader tells by it a disk that
// went back from a late message.
func WithBoot(n uint64) Option { return func(l *Log) { l.boot = n } }

// WithRetained sets how many entries stay in the log behind a snapshot.
func WithRetained(n int) Option { return func(l *Log) { l.retain = uint64(max(0, n)) } }

// New makes a replica from what its disk held; the zero Recovered is an empty
// one. The state machine starts from recovered.Snapshot, and the first step
// hands out the entries known committed beyond it.
func New(id ReplicaID, recovered Recovered, opts ...Option) *Log {
	l := &Log{id: id, hard: recovered.Hard, snapshot: recovered.Snapshot, random: 1, retain: retainedEntries}
	for _, opt := range opts {
		opt(l)
	}
	l.baseIndex, l.baseTerm = l.snapshot.Index, l.snapshot.Term
	l.entries = slices.Clone(recovered.Entries)
	for len(l.entries) > 0 && l.entries[0].Index <= l.baseIndex {
		l.entries = l.entries[1:]
	}
	l.commit = min(max(l.hard.Commit, l.snapshot.Index), l.LastIndex())
	l.applied = l.snapshot.Index
	l.stable, l.unwritten = l.LastIndex(), l.LastIndex()+1
	l.emittedHard, l.durableHard = l.hard, l.hard
	l.configurations = []configurationAt{{index: l.baseIndex, configuration: l.snapshot.Configuration}}
	l.trackConfigurations(l.entries)
	l.progress = map[ReplicaID]progress{}
	l.resetTimeout()
	return l
}

// Clone returns an independent copy, for tests that follow several schedules
// from one state.
func (l *Log) Clone() *Log {
	c := *l
	c.entries = slices.Clone(l.entries)
	c.configurations = slices.Clone(l.configurations)
	c.progress = maps.Clone(l.progress)
	c.votes = maps.Clone(l.votes)
	c.pending = slices.Clone(l.pending)
	return &c
}

// ID is the replica's own.
func (l *Log) ID() ReplicaID { return l.id }

// Role is the replica's in its term.
func (l *Log) Role() Role { return l.role }

// Term is the highest that the replica has seen.
func (l *Log) Term() uint64 { return l.hard.Term }

// Leader is the leader known in the term, empty when none is.
func (l *Log) Leader() ReplicaID { return l.leader }

// Commit is the last index known committed.
func (l *Log) Commit() uint64 { return l.commit }

// Configuration is the one in force: the last in the log, committed or not.
func (l *Log) Configuration() Configuration {
	return l.configurations[len(l.configurations)-1].configuration
}

// ConfigurationIndex is the index of the entry or snapshot that put it in force.
func (l *Log) ConfigurationIndex() uint64 { return l.configurations[len(l.configurations)-1].index }

// ChangePending tells whether a change of the members is not yet committed.
func (l *Log) ChangePending() bool {
	return l.configurations[len(l.configurations)-1].index > l.commit
}

// SnapshotIndex is the last index that the latest snapshot covers.
func (l *Log) SnapshotIndex() uint64 { return l.snapshot.Index }

// LastIndex is the last index in the log.
func (l *Log) LastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// TermAt is the term of the entry at the index, 0 when it is not held.
func (l *Log) TermAt(index uint64) uint64 { return l.termAt(index) }

func (l *Log) termAt(index uint64) uint64 {
	switch {
	case index == l.snapshot.Index && index != 0:
		return l.snapshot.Term
	case index == l.baseIndex:
		return l.baseTerm
	case index < l.baseIndex || index > l.LastIndex():
		return 0
	default:
		return l.entries[index-l.baseIndex-1].Term
	}
}

func (l *Log) entriesFrom(index uint64) []Entry {
	if index > l.LastIndex() {
		return nil
	}
	return l.entriesBetween(index, l.LastIndex())
}

// entriesBetween returns a copy of the entries from first to last, both included.
func (l *Log) entriesBetween(first, last uint64) []Entry {
	return slices.Clone(l.entries[first-l.baseIndex-1 : last-l.baseIndex])
}

// appendEntries puts entries at the end and notes what they mean at once.
func (l *Log) appendEntries(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	l.trackConfigurations(entries)
}

func (l *Log) trackConfigurations(entries []Entry) {
	for _, e := range entries {
		if e.Configuration != nil {
			l.configurations = append(l.configurations, configurationAt{index: e.Index, configuration: *e.Configuration})
		}
	}
}

// truncate drops all entries from the index on.
func (l *Log) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.baseIndex-1])
	l.unwritten = min(l.unwritten, index)
	l.stable = min(l.stable, index-1)
	for len(l.configurations) > 1 && l.configurations[len(l.configurations)-1].index >= index {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

func (l *Log) resetTimeout() {
	// xorshift: the timeouts must differ between replicas and be the same in
	// every run of a test.
	l.random ^= l.random << 13
	l.random ^= l.random >> 7
	l.random ^= l.random << 17
	l.timeout = electionTicks + int(l.random%electionTicks)
	if l.role == Candidate || l.role == PreCandidate {
		// Two candidates that split the votes try again soon: there is no
		// leader left to wait for, and a whole timeout each doubled the time
		// without one.
		l.timeout = retryTicks + int(l.random%electionTicks)
	}
	if voters := l.Configuration().Voters(); len(voters) == 1 && voters[0].ID == l.id {
		l.timeout = 1 // there is nobody whose leadership could be disturbed
	}
	l.elapsed = 0
}
