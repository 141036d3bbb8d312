package laburnumquorum

import (
	"cmp"
	"slices"
	"strings"

	"laburnumlever"
	"laburnumlever/laburnumlog"
)

const (
	// maxSilentTicks is how long a learner may be silent and still be promoted to a voter.
	maxSilentTicks = 10
	// stuckTicks is how long a learner may acknowledge no entry before another VM is tried. It
	// equals the time after which the log resends a snapshot.
	stuckTicks = 50
)

// Policy sets the number of voters and when a voter is replaced.
type Policy struct {
	// Target is the desired number of voters.
	Target int
	// ReplaceTicks is how long a voter may be silent before it may be replaced, and a learner
	// before it is removed.
	ReplaceTicks int
}

// View is the leader's view of the replicas.
type View struct {
	// Configuration is the one in effect. Pending is set while it is not committed.
	Configuration laburnumlog.Configuration
	Pending       bool
	// Commit is the last index known to be committed.
	Commit uint64
	// Progress returns the progress of a member; false if it is unknown.
	Progress func(laburnumlog.ReplicaID) (laburnumlog.MemberProgress, bool)
	// Joiners are the replicas that recently asked to join and are allowed to.
	Joiners []laburnumlog.Member
}

// Cause is the reason for a membership change.
type Cause int

// The causes.
const (
	// CauseVoterMissing means that there are fewer voters than the target.
	CauseVoterMissing Cause = iota
	// CauseDiskLost means that a voter's VM returned as a new replica, without the old disk.
	CauseDiskLost
	// CauseVoterSilent means that a voter has not answered for more than ReplaceTicks.
	CauseVoterSilent
	// CauseLearnerSilent means that a learner has not answered for more than ReplaceTicks.
	CauseLearnerSilent
	// CauseLearnerStuck means that a learner answers but acknowledges no entries.
	CauseLearnerStuck
	// CauseLearnerWentBack means that a learner's disk lacks entries that it had acknowledged.
	CauseLearnerWentBack
	// CauseNotNeeded means that the learner has no voter to replace any more, as that voter
	// answers again.
	CauseNotNeeded
)

// Change is one membership change.
type Change struct {
	Event  laburnumlever.LogEvent
	Cause  Cause
	Member laburnumlog.Member
	// Replaced is the voter that Member replaces, if any.
	Replaced laburnumlog.ReplicaID
	// To is the configuration after the change.
	To laburnumlog.Configuration
}

// Planner plans membership changes by a policy, and remembers VMs whose learner was removed.
type Planner struct {
	policy Policy
	// failedVMs are the VMs whose learner was removed, the latest last.
	failedVMs []laburnumlever.VMID
}

// NewPlanner returns a planner for the policy.
func NewPlanner(policy Policy) Planner { return Planner{policy: policy} }

// Next returns the next membership change, if one is due. A learner is added, catches up and
// then replaces a voter in a single change. A VM whose learner was removed is tried last the
// next time; otherwise a VM with a stalled disk would block all others.
func (p *Planner) Next(v View) (Change, bool) {
	v.Joiners = p.sortJoiners(v.Joiners)
	change, due := p.policy.next(v)
	if due && change.Event == laburnumlever.EventLearnerRemoved {
		vm := change.Member.VM
		p.failedVMs = append(slices.DeleteFunc(slices.Clone(p.failedVMs), func(id laburnumlever.VMID) bool { return id == vm }), vm)
	}
	return change, due
}

// sortJoiners returns the joiners sorted by VM, with failedVMs last.
func (p *Planner) sortJoiners(joiners []laburnumlog.Member) []laburnumlog.Member {
	joiners = slices.Clone(joiners)
	slices.SortFunc(joiners, func(a, b laburnumlog.Member) int {
		byTurn := slices.Index(p.failedVMs, a.VM) - slices.Index(p.failedVMs, b.VM)
		return cmp.Or(byTurn, strings.Compare(string(a.VM), string(b.VM)))
	})
	return joiners
}

func (p Policy) next(v View) (Change, bool) {
	if v.Pending || v.Configuration.Joint() {
		return Change{}, false
	}
	for _, m := range v.Configuration.Members {
		if m.Learner {
			return p.promoteOrRemove(v, m)
		}
	}
	for _, m := range v.Joiners {
		if _, in := v.Configuration.Find(m.ID); in {
			continue
		}
		if _, cause, wanted := p.replacedVoter(v, m.VM); wanted {
			m.Learner = true
			return Change{Event: laburnumlever.EventLearnerAdded, Cause: cause, Member: m, To: v.Configuration.WithMember(m)}, true
		}
	}
	return Change{}, false
}

func (p Policy) promoteOrRemove(v View, m laburnumlog.Member) (Change, bool) {
	progress, _ := v.Progress(m.ID)
	remove := func(cause Cause) (Change, bool) {
		return Change{Event: laburnumlever.EventLearnerRemoved, Cause: cause, Member: m, To: v.Configuration.Without(m.ID)}, true
	}
	switch {
	case progress.DataLost:
		return remove(CauseLearnerWentBack)
	case progress.SilentTicks > p.ReplaceTicks:
		return remove(CauseLearnerSilent)
	case progress.BehindTicks > stuckTicks:
		return remove(CauseLearnerStuck)
	case progress.SilentTicks > maxSilentTicks || progress.Match < v.Commit:
		return Change{}, false // silent or not caught up yet
	}
	old, cause, wanted := p.replacedVoter(v, m.VM)
	if !wanted {
		return remove(CauseNotNeeded)
	}
	m.Learner = false
	change := Change{Event: laburnumlever.EventVoterAdded, Cause: cause, Member: m, To: v.Configuration.WithMember(m)}
	if old != "" {
		change.Event, change.Replaced, change.To = laburnumlever.EventVoterReplaced, old, change.To.Without(old)
	}
	return change, true
}

// replacedVoter returns the voter that a replica on the VM would replace: the voter of the same
// VM, else none if there are fewer voters than the target, else one silent for more than
// ReplaceTicks. wanted is false if the replica is not needed as a voter.
func (p Policy) replacedVoter(v View, vm laburnumlever.VMID) (old laburnumlog.ReplicaID, cause Cause, wanted bool) {
	voters := v.Configuration.Voters()
	for _, m := range voters {
		if m.VM == vm {
			return m.ID, CauseDiskLost, true
		}
	}
	if len(voters) < p.Target {
		return "", CauseVoterMissing, true
	}
	for _, m := range voters {
		if progress, ok := v.Progress(m.ID); ok && progress.SilentTicks > p.ReplaceTicks {
			return m.ID, CauseVoterSilent, true
		}
	}
	return "", 0, false
}
