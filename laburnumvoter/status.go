package laburnumvoter

import (
	"laburnumlever"
	"laburnumlever/laburnumlog"
)

// Roles of a VM besides those of laburnumlog.Role.
const (
	roleClient  = "client"
	roleLearner = "learner"
	roleFailed  = "disk-failed"
	// roleUnconfirmed is that of a replica whose start is not registered by enough other VMs yet.
	roleUnconfirmed = "unconfirmed"
)

// Status returns the log's state as this VM knows it. It may be called on any goroutine.
func (v *Voter) Status() laburnumlever.VoterStatus { return *v.status.Load() }

// Votes reports whether this VM is a voter, so that it gets each committed entry.
func (v *Voter) Votes() bool {
	switch v.Status().Role {
	case laburnumlog.Leader.String(), laburnumlog.Follower.String(), laburnumlog.Candidate.String():
		return true
	default:
		return false
	}
}

// LeaderAddress returns the peer address of the leader as far as this VM knows; empty if it is unknown or this VM.
func (v *Voter) LeaderAddress() string {
	status := v.Status()
	address := v.known.leader().PeerAddress
	for _, known := range status.Voters {
		if known.VM == status.Leader {
			address = known.PeerAddress
		}
	}
	if address == v.self.PeerAddress {
		return ""
	}
	return address
}

// publishedKey is the part of the state from which a status is built, to publish only changes.
type publishedKey struct {
	role          string
	term          uint64
	leader        laburnumlog.ReplicaID
	commit        uint64
	applied       uint64
	configuration uint64
	// unregistered is the number of VMs that have not registered this start.
	unregistered int
}

func (v *Voter) statusKey() publishedKey {
	if v.log == nil {
		return publishedKey{}
	}
	return publishedKey{
		role: v.roleName(), term: v.log.Term(), leader: v.log.Leader(), commit: v.log.Commit(),
		applied: v.applied, configuration: v.log.ConfigurationIndex(), unregistered: len(v.unregisteredBy()),
	}
}

func (v *Voter) publish() {
	key := v.statusKey()
	if v.log != nil && key == v.published {
		return
	}
	v.published = key
	s := laburnumlever.VoterStatus{Role: roleClient, Voters: v.known.list()}
	if v.failure != nil {
		s.Role = roleFailed
	}
	if v.log != nil {
		s = laburnumlever.VoterStatus{
			Role: v.roleName(), Term: v.log.Term(), Commit: v.log.Commit(), Applied: v.applied, Voters: v.voterList(),
		}
		if m, ok := v.log.Configuration().Find(v.log.Leader()); ok {
			s.Leader = m.VM
		}
		s.WaitsFor = v.unregisteredBy()
		v.known.set(s.Voters)
	}
	v.status.Store(&s)
}

// unregisteredBy returns the VMs that have not registered this start, while it waits for them.
func (v *Voter) unregisteredBy() []laburnumlever.VMID {
	if v.log.StartConfirmed() {
		return nil
	}
	return vmsOf(v.log.UnregisteredBy())
}

func (v *Voter) roleName() string {
	if !v.log.StartConfirmed() {
		return roleUnconfirmed
	}
	if !v.log.Configuration().IsVoter(v.log.ID()) {
		return roleLearner
	}
	if v.log.Role() == laburnumlog.PreCandidate {
		return laburnumlog.Candidate.String()
	}
	return v.log.Role().String()
}

// voterList returns the current voters, or those last known if the log has no members.
func (v *Voter) voterList() []laburnumlever.Voter {
	if v.log == nil || len(v.log.Configuration().Members) == 0 {
		return v.known.list()
	}
	var voters []laburnumlever.Voter
	for _, m := range v.log.Configuration().Voters() {
		voters = append(voters, laburnumlever.Voter{VM: m.VM, PeerAddress: m.Address})
	}
	return voters
}
