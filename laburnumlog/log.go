package laburnumlog

import (
	"maps"
	"slices"

	"laburnumlever"
)

const (
	// electionTicks is the minimum election timeout; each timeout is drawn at random
	// between one and two times this. At 100 ms a tick, ten ticks tolerate a slow fsync
	// and one or two lost heartbeats.
	electionTicks = 10
	// quorumTicks is how long a leader leads without hearing a majority, and firstQuorumTicks how long until it has heard one. Starved
	// VMs answer that late, and an election among them takes longer than the leader's silence.
	quorumTicks, firstQuorumTicks = 3 * electionTicks, 4 * electionTicks
	// retryTicks is the minimum timeout of a candidate before it starts another election.
	// It is longer than the round trip and the fsync that an election usually takes.
	retryTicks = 2
	// maxTimeoutDoublings bounds how often timeouts are doubled, once for each election without a leader after the first: on slow disks
	// the votes of one take longer than a timeout.
	maxTimeoutDoublings = 2
	// resendTicks is how long the leader waits for an acknowledgement before it resends.
	resendTicks = 3
	// snapshotResendTicks is resendTicks for a snapshot, which takes longer to transfer.
	snapshotResendTicks = 50
	// maxInFlight bounds the unacknowledged appends to one member. Entries proposed
	// meanwhile are sent in one batch after the next acknowledgement.
	maxInFlight = 8
	// maxBatchBytes bounds the total data size of the entries in one message.
	maxBatchBytes = 256 << 10
	// maxUnackedBytes bounds the total data size of the entries on their way to a member. A larger entry travels alone.
	maxUnackedBytes = 8 * maxBatchBytes
	// bytesPerTick is the data rate to a member, in bytes per tick, above which a lost message is not suspected.
	bytesPerTick = 256 << 10
	// retainedEntries is how many entries before a snapshot's index stay in the log, so that
	// a replica that is slightly behind catches up without a snapshot; retainedBytes bounds their data size.
	retainedEntries = 1024
	retainedBytes   = 8 << 20
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

// Log is the state of one replica. It is not safe for concurrent use.
type Log struct {
	id     ReplicaID
	boot   uint64
	role   Role
	hard   HardState
	leader ReplicaID

	snapshot  Snapshot
	baseIndex uint64 // index of the last entry before entries
	baseTerm  uint64
	entries   []Entry
	commit    uint64
	applied   uint64
	retain    uint64

	// configurations are those in the log, oldest first; the last one is in effect.
	configurations []configurationAt
	progress       map[ReplicaID]progress
	// votes are the answers to the last request: preVotes, which count from the tick preVotesSince on, or termVotes, those of the
	// current term, nil unless this start has asked for some.
	votes, preVotes, termVotes map[ReplicaID]bool
	preVotesSince              uint64
	// preCampaigns is the number of rounds of pre-votes of this replica since it last knew a leader or a term began, gaveWay
	// whether it has left one to another replica meanwhile.
	preCampaigns int
	gaveWay      bool
	// elections is the number of elections that this replica has taken part in since it last knew a leader.
	elections      int
	elapsed        int
	timeout        int
	random         uint64
	transferTarget ReplicaID

	start startCheck
	// ticks is the number of ticks since the start, heardAt the tick at which a VM was last heard.
	ticks         uint64
	heardAt       map[laburnumlever.VMID]uint64
	forgetTicks   uint64
	startsChanged bool

	seq         uint64
	pending     []pendingWrite
	unwritten   uint64 // index of the first entry not yet returned in a Write
	stable      uint64 // index of the last entry known to be durable on this replica
	newSnapshot bool
	reset       bool
	emittedHard HardState
	durableHard HardState

	out   Output
	after []Message
}

// Option configures a new Log.
type Option func(*Log)

// WithSeed sets the seed of the random election timeouts. Each replica needs a different one.
func WithSeed(seed uint64) Option { return func(l *Log) { l.random = seed } }

// nonceBits is the number of low bits of a boot that hold its random number.
const nonceBits = 20

// Boot identifies one start of a replica by the number of starts recorded on its disk,
// this one included, and a random number. A disk that was rolled back to an older state
// repeats a number of starts, but with another random number.
func Boot(starts uint64, random uint32) uint64 {
	return starts<<nonceBits | uint64(random)&(1<<nonceBits-1)
}

// WithBoot sets the identifier of this start, as returned by Boot. The leader uses it to
// tell a disk that was rolled back from a delayed message.
func WithBoot(n uint64) Option { return func(l *Log) { l.boot = n } }

// WithRetained sets how many entries before a snapshot's index stay in the log.
func WithRetained(n int) Option { return func(l *Log) { l.retain = uint64(max(0, n)) } }

// New returns a replica in the state recovered from its disk; the zero Recovered is an empty
// replica. The state machine starts from recovered.Snapshot, and the first step returns the
// later entries that are known to be committed.
func New(id ReplicaID, recovered Recovered, opts ...Option) *Log {
	l := &Log{id: id, hard: recovered.Hard, snapshot: recovered.Snapshot, random: 1, retain: retainedEntries, forgetTicks: forgetTicks}
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
	l.heardAt = map[laburnumlever.VMID]uint64{}
	l.start = l.newStartCheck()
	l.resetTimeout()
	return l
}

// Clone returns an independent copy, for tests that explore several schedules from the same
// state.
func (l *Log) Clone() *Log {
	c := *l
	c.entries = slices.Clone(l.entries)
	c.configurations = slices.Clone(l.configurations)
	c.progress = maps.Clone(l.progress)
	c.votes, c.preVotes, c.termVotes = maps.Clone(l.votes), maps.Clone(l.preVotes), maps.Clone(l.termVotes)
	c.pending = slices.Clone(l.pending)
	c.start.registered = maps.Clone(l.start.registered)
	c.heardAt = maps.Clone(l.heardAt)
	return &c
}

// ID returns the replica's own ID.
func (l *Log) ID() ReplicaID { return l.id }

// Boot returns the identifier of this start.
func (l *Log) Boot() uint64 { return l.boot }

// Role returns the replica's role in its current term.
func (l *Log) Role() Role { return l.role }

// Term returns the highest term that the replica has seen.
func (l *Log) Term() uint64 { return l.hard.Term }

// Leader returns the known leader of the current term, or the empty ID.
func (l *Log) Leader() ReplicaID { return l.leader }

// Commit returns the last index known to be committed.
func (l *Log) Commit() uint64 { return l.commit }

// Configuration returns the configuration in effect: the last in the log, committed or not.
func (l *Log) Configuration() Configuration {
	return l.configurations[len(l.configurations)-1].configuration
}

// ConfigurationIndex returns the index of the entry or snapshot that holds the configuration
// in effect.
func (l *Log) ConfigurationIndex() uint64 { return l.configurations[len(l.configurations)-1].index }

// ChangePending reports whether the configuration in effect is not yet committed.
func (l *Log) ChangePending() bool {
	return l.configurations[len(l.configurations)-1].index > l.commit
}

// SnapshotIndex returns the last index that the latest snapshot covers.
func (l *Log) SnapshotIndex() uint64 { return l.snapshot.Index }

// LastIndex returns the last index in the log.
func (l *Log) LastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// TermAt returns the term of the entry at the index, or 0 if the log does not hold it.
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

// bytesBetween returns the data size of the entries from first to last, inclusive, that the log holds.
func (l *Log) bytesBetween(first, last uint64) int {
	size := 0
	for i := max(first, l.baseIndex+1); i <= min(last, l.LastIndex()); i++ {
		size += len(l.entries[i-l.baseIndex-1].Data)
	}
	return size
}

func (l *Log) entriesFrom(index uint64) []Entry {
	if index > l.LastIndex() {
		return nil
	}
	return l.entriesBetween(index, l.LastIndex())
}

// entriesBetween returns a copy of the entries from first to last, inclusive.
func (l *Log) entriesBetween(first, last uint64) []Entry {
	return slices.Clone(l.entries[first-l.baseIndex-1 : last-l.baseIndex])
}

// appendEntries appends the entries; a configuration among them takes effect at once.
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

// truncate drops all entries at or after the index.
func (l *Log) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.baseIndex-1])
	l.unwritten = min(l.unwritten, index)
	l.stable = min(l.stable, index-1)
	for len(l.configurations) > 1 && l.configurations[len(l.configurations)-1].index >= index {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

func (l *Log) resetTimeout() {
	// xorshift: timeouts must differ between replicas but repeat in every run of a test.
	l.random ^= l.random << 13
	l.random ^= l.random >> 7
	l.random ^= l.random << 17
	doublings := min(max(0, l.elections-1), maxTimeoutDoublings)
	shortest := uint64(electionTicks)
	if l.role == Candidate || l.role == PreCandidate {
		// After a split vote the candidates retry soon: there is no leader to wait for,
		// and a full election timeout each doubled the time without a leader.
		shortest = retryTicks
	}
	l.timeout = int((shortest + l.random%electionTicks) << doublings)
	if voters := l.Configuration().Voters(); len(voters) == 1 && voters[0].ID == l.id {
		l.timeout = 1 // a single voter cannot disturb another leader
	}
	l.elapsed = 0
}
