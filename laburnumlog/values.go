package laburnumlog

import (
	"slices"

	"laburnumlever"
)

// ReplicaID names one instance of a replica: the VM and the identity of its data
// folder. A VM whose folder was lost comes back under another id, so that it
// never votes or acknowledges as the instance that it no longer is.
type ReplicaID string

// Member is a replica that receives the log.
type Member struct {
	ID      ReplicaID          `json:"id"`
	VM      laburnumlever.VMID `json:"vm"`
	Address string             `json:"address"`
	// Learner tells that the member does not count for any majority.
	Learner bool `json:"learner,omitempty"`
	// Joining and Leaving are set while several voters change at once: a joining member
	// counts only among the voters to come, a leaving one only among those before.
	Joining bool `json:"joining,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
}

// Configuration is the list of members. It is never changed once built. A joint one is on
// the way from one list of voters to another and needs a majority of each.
type Configuration struct {
	Members []Member `json:"members"`
}

// EntryKind says what an entry carries.
type EntryKind int

// The kinds of entry.
const (
	EntryCommand       EntryKind = iota
	EntryBarrier                 // a new leader's first entry; it carries nothing
	EntryConfiguration           // a change of the members, in force once appended
)

// Entry is one place in the log.
type Entry struct {
	Index         uint64         `json:"index"`
	Term          uint64         `json:"term"`
	Kind          EntryKind      `json:"kind"`
	Data          []byte         `json:"data,omitempty"`
	Configuration *Configuration `json:"configuration,omitempty"`
}

// HardState must be durable before any message that follows from it is sent.
// Commit is only a hint that shortens recovery.
type HardState struct {
	Term   uint64    `json:"term"`
	Vote   ReplicaID `json:"vote,omitempty"`
	Commit uint64    `json:"commit"`
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index         uint64        `json:"index"`
	Term          uint64        `json:"term"`
	Configuration Configuration `json:"configuration"`
	Data          []byte        `json:"data,omitempty"`
}

// Recovered is what a replica finds on its disk when it starts.
type Recovered struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries follow each other without a gap; the first is at most one past
	// the snapshot.
	Entries []Entry
}

// MessageKind names a message between replicas.
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
)

// Message goes from one replica to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	From ReplicaID   `json:"from"`
	To   ReplicaID   `json:"to"`
	Term uint64      `json:"term"`
	// Boot counts the starts of the sender on its disk.
	Boot uint64 `json:"boot,omitempty"`
	// Index and LogTerm are the sender's last entry in a vote, the entry before
	// Entries in an append, and the last entry held in an answer.
	Index   uint64 `json:"index,omitempty"`
	LogTerm uint64 `json:"log-term,omitempty"`
	// Commit is the sender's commit index; in a refused append it is the last
	// index held.
	Commit  uint64  `json:"commit,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Hint, in a refused append, is the last index that may match.
	Hint uint64 `json:"hint,omitempty"`
	// Force, in a vote, says that the leader asked for the election.
	Force    bool      `json:"force,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Role is what a replica does in its term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Ballot is a member's answer to a question for its vote.
type Ballot int

// The answers.
const (
	Unanswered Ballot = iota
	Granted
	Refused
)

// Find returns the member with the id.
func (c Configuration) Find(id ReplicaID) (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

// IsVoter tells whether the replica counts for a majority.
func (c Configuration) IsVoter(id ReplicaID) bool {
	m, ok := c.Find(id)
	return ok && !m.Learner
}

// Voters returns the members that count, in a joint configuration those of both lists.
func (c Configuration) Voters() []Member {
	return c.filter(func(m Member) bool { return !m.Learner })
}

// Joint tells whether the configuration is on the way from one list of voters to another.
func (c Configuration) Joint() bool {
	return slices.ContainsFunc(c.Members, func(m Member) bool { return m.Joining || m.Leaving })
}

// voterSets are the voterSets of voters of each of which a majority must agree: one, or the one
// before and the one to come.
func (c Configuration) voterSets() [][]Member {
	if !c.Joint() {
		return [][]Member{c.Voters()}
	}
	return [][]Member{
		c.filter(func(m Member) bool { return !m.Learner && !m.Joining }),
		c.filter(func(m Member) bool { return !m.Learner && !m.Leaving }),
	}
}

// Spare is how many more voters could disagree so that a majority, of each list of a joint
// configuration, still agrees; it is negative when there is none.
func (c Configuration) Spare(agrees func(Member) bool) int {
	spare := len(c.Members)
	for _, voters := range c.voterSets() {
		n := 0
		for _, m := range voters {
			if agrees(m) {
				n++
			}
		}
		spare = min(spare, n-majority(len(voters)))
	}
	return spare
}

// HasMajority tells whether a majority agrees, of each list of a joint configuration.
func (c Configuration) HasMajority(agrees func(Member) bool) bool { return c.Spare(agrees) >= 0 }

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

// jointTo returns the joint configuration that leads to another.
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

// final returns what a joint configuration leads to.
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

// WithMember returns the configuration with the member added or replaced.
func (c Configuration) WithMember(m Member) Configuration {
	members := slices.Clone(c.Without(m.ID).Members)
	return Configuration{Members: append(members, m)}
}

// Without returns the configuration without the member.
func (c Configuration) Without(id ReplicaID) Configuration {
	var members []Member
	for _, m := range c.Members {
		if m.ID != id {
			members = append(members, m)
		}
	}
	return Configuration{Members: members}
}

// voterChanges counts the voters that differ between two configurations.
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
