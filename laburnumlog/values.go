package laburnumlog

import (
	"slices"

	"laburnumlever"
)

// ReplicaID identifies one incarnation of a replica by its VM and the identity of its data
// folder. A VM that lost its data folder gets a new ID, so it never votes or acknowledges
// entries on behalf of the previous incarnation.
type ReplicaID string

// Member is a replica that receives the log.
type Member struct {
	ID      ReplicaID          `json:"id"`
	VM      laburnumlever.VMID `json:"vm"`
	Address string             `json:"address"`
	// Learner is set for a member that does not count toward any majority.
	Learner bool `json:"learner,omitempty"`
	// Joining and Leaving are set only in a joint configuration: a joining member counts only
	// among the new voters, a leaving one only among the old voters.
	Joining bool `json:"joining,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
}

// Configuration is the list of members. It is immutable once built. A joint configuration is
// the transition between two sets of voters and needs a majority of each.
type Configuration struct {
	Members []Member `json:"members"`
}

// EntryKind is the type of a log entry's content.
type EntryKind int

// The kinds of entry.
const (
	EntryCommand       EntryKind = iota
	EntryBarrier                 // first entry of a new leader, without data
	EntryConfiguration           // membership change, in effect as soon as it is appended
)

// Entry is one entry of the log.
type Entry struct {
	Index         uint64         `json:"index"`
	Term          uint64         `json:"term"`
	Kind          EntryKind      `json:"kind"`
	Data          []byte         `json:"data,omitempty"`
	Configuration *Configuration `json:"configuration,omitempty"`
}

// HardState is the replica's persistent state. It must be durable before any message that
// depends on it is sent. Commit is only a hint that shortens recovery.
type HardState struct {
	Term   uint64    `json:"term"`
	Vote   ReplicaID `json:"vote,omitempty"`
	Commit uint64    `json:"commit"`
	// Starts are the starts of other VMs that this replica has registered.
	Starts Starts `json:"starts,omitempty"`
}

// Snapshot is the applied state that replaces all entries up to and including Index.
type Snapshot struct {
	Index         uint64        `json:"index"`
	Term          uint64        `json:"term"`
	Configuration Configuration `json:"configuration"`
	Data          []byte        `json:"data,omitempty"`
}

// Recovered is the state that a replica reads from its disk when it starts.
type Recovered struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries are contiguous, and the first one's index is at most one past the snapshot's.
	Entries []Entry
}

// MessageKind is the type of a message between replicas.
type MessageKind int

// The kinds of message.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteAnswer
	MessageVote
	MessageVoteAnswer
	MessageAppend
	MessageAppendAnswer
	MessageHeartbeat
	MessageHeartbeatAnswer
	MessageSnapshot
	MessageCampaignNow
	MessageStart
	MessageStartAnswer
)

// Message is sent from one replica to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	From ReplicaID   `json:"from"`
	To   ReplicaID   `json:"to"`
	Term uint64      `json:"term"`
	// Boot identifies the sender's current start, see the function Boot.
	Boot uint64 `json:"boot,omitempty"`
	// Index and LogTerm identify the sender's last entry in a vote request and the entry
	// before Entries in an append. In an accepted append's answer, Index is the last
	// acknowledged entry; in a rejected one's, it is the append's own Index.
	Index   uint64 `json:"index,omitempty"`
	LogTerm uint64 `json:"log-term,omitempty"`
	// Commit is the sender's commit index; in the answer to a rejected append it is the last
	// index in the sender's log.
	Commit  uint64  `json:"commit,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Hint, in the answer to a rejected append, is the last index at which the logs may match.
	Hint uint64 `json:"hint,omitempty"`
	// Force, in a vote request, marks an election that the leader asked for.
	Force    bool      `json:"force,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// Announced, in the answer to an announced start, is that start's Boot; a Reject means that the
	// replica was started from an older copy of its disk.
	Announced uint64 `json:"announced,omitempty"`
	// Starts, in an announced start and its answer, are those that the sender knows.
	Starts Starts `json:"starts,omitempty"`
}

// Role is a replica's Raft role in its current term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// VoteResponse is a member's response to a vote request.
type VoteResponse int

// The responses to a vote request.
const (
	Unanswered VoteResponse = iota
	Granted
	Refused
)

// Find returns the member with the given ID, and whether there is one.
func (c Configuration) Find(id ReplicaID) (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

// IsVoter reports whether the replica counts toward a majority.
func (c Configuration) IsVoter(id ReplicaID) bool {
	m, ok := c.Find(id)
	return ok && !m.Learner
}

// Voters returns all voters, in a joint configuration both the old and the new ones.
func (c Configuration) Voters() []Member {
	return c.filter(func(m Member) bool { return !m.Learner })
}

// Joint reports whether this is a joint configuration, between an old and a new set of voters.
func (c Configuration) Joint() bool {
	return slices.ContainsFunc(c.Members, func(m Member) bool { return m.Joining || m.Leaving })
}

// voterSets returns the sets of voters that each need a majority: one set, or the old and the
// new one in a joint configuration.
func (c Configuration) voterSets() [][]Member {
	if !c.Joint() {
		return [][]Member{c.Voters()}
	}
	return [][]Member{
		c.filter(func(m Member) bool { return !m.Learner && !m.Joining }),
		c.filter(func(m Member) bool { return !m.Learner && !m.Leaving }),
	}
}

// MajorityMargin returns how many agreeing voters exceed a majority, in a joint configuration the
// smaller number of both voter sets. It is negative when there is no majority.
func (c Configuration) MajorityMargin(agrees func(Member) bool) int {
	margin := len(c.Members)
	for _, voters := range c.voterSets() {
		n := 0
		for _, m := range voters {
			if agrees(m) {
				n++
			}
		}
		margin = min(margin, n-majority(len(voters)))
	}
	return margin
}

// HasMajority reports whether a majority agrees, in a joint configuration one of each voter set.
func (c Configuration) HasMajority(agrees func(Member) bool) bool {
	return c.MajorityMargin(agrees) >= 0
}

func majority(voters int) int { return voters/2 + 1 }

func (c Configuration) filter(keep func(Member) bool) []Member {
	var kept []Member
	for _, m := range c.Members {
		if keep(m) {
			kept = append(kept, m)
		}
	}
	return kept
}

// jointTo returns the joint configuration for the transition from c to the given one.
func (c Configuration) jointTo(to Configuration) Configuration {
	var joint Configuration
	for _, m := range to.Members {
		m.Joining = !m.Learner && !c.IsVoter(m.ID)
		joint.Members = append(joint.Members, m)
	}
	for _, m := range c.Voters() {
		if !to.IsVoter(m.ID) {
			m.Leaving = true
			joint = joint.WithMember(m)
		}
	}
	return joint
}

// final returns the configuration that completes the transition of a joint one.
func (c Configuration) final() Configuration {
	var to Configuration
	for _, m := range c.Members {
		if !m.Leaving {
			m.Joining = false
			to.Members = append(to.Members, m)
		}
	}
	return to
}

// WithMember returns a copy of the configuration with the member added or replaced.
func (c Configuration) WithMember(m Member) Configuration {
	members := slices.Clone(c.Without(m.ID).Members)
	return Configuration{Members: append(members, m)}
}

// Without returns a copy of the configuration without the member.
func (c Configuration) Without(id ReplicaID) Configuration {
	var members []Member
	for _, m := range c.Members {
		if m.ID != id {
			members = append(members, m)
		}
	}
	return Configuration{Members: members}
}

// voterChanges counts the voters that are in only one of the two configurations.
func (c Configuration) voterChanges(to Configuration) int {
	n := 0
	for _, m := range c.Voters() {
		if !to.IsVoter(m.ID) {
			n++
		}
	}
	for _, m := range to.Voters() {
		if !c.IsVoter(m.ID) {
			n++
		}
	}
	return n
}
