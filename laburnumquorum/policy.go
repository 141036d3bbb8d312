package laburnumquorum

import (
	"cmp"
	"slices"
	"strings"

	"laburnumlever"
	"laburnumlever/laburnumlog"
)

const (
	// maxSilentTicks is how long a member may be silent and still count as up.
	maxSilentTicks = 10
	// stuckTicks is how long a learner may acknowledge nothing before another VM is tried:
	// as long as the log waits for a snapshot.
	stuckTicks = 50
)

// Policy is the number of voters and when one is replaced.
type Policy struct {
	// Target is how many voters the log aims at.
	Target int
	// ReplaceTicks is how long a voter is silent before it may be replaced.
	ReplaceTicks int
}

// View is what a leader knows of the replicas.
type View struct {
	// Configuration is the one in force, and Pending tells that it is not committed yet.
	Configuration laburnumlog.Configuration
	Pending       bool
	// Commit is the last index known committed.
	Commit uint64
	// Progress returns the progress of a member; false if it is unknown.
	Progress func(laburnumlog.ReplicaID) (laburnumlog.MemberProgress, bool)
	// Joiners are the replicas that asked to join lately and are allowed to.
	Joiners []laburnumlog.Member
}

// Cause is why the members change.
type Cause int

// The causes.
const (
	// CauseVoterMissing is a log with fewer voters than it aims at.
	CauseVoterMissing Cause = iota
	// CauseDiskLost is a voter whose VM came back as another instance.
	CauseDiskLost
	// CauseVoterSilent is a voter that has not answered for long.
	CauseVoterSilent
	// CauseLearnerSilent is a learner that does not answer.
	CauseLearnerSilent
	// CauseLearnerStuck is one that answers but acknowledges no entry.
	CauseLearnerStuck
	// CauseLearnerWentBack is one whose disk holds less than it acknowledged.
	CauseLearnerWentBack
	// CauseNotNeeded is a learner whose voter is back.
	CauseNotNeeded
)

// Change is one change of the members.
type Change struct {
	Event  laburnumlever.LogEvent
	Cause  Cause
	Member laburnumlog.Member
	// Replaced is the voter that the member replaces, if any.
	Replaced laburnumlog.ReplicaID
	To       laburnumlog.Configuration
}

// Keeper applies a policy, and remembers which VMs did not catch up.
type Keeper struct {
	policy Policy
	// failedVMs are those VMs, the latest last.
	failedVMs []laburnumlever.VMID
}

// NewKeeper makes a keeper.
func NewKeeper(policy Policy) Keeper { return Keeper{policy: policy} }

// Next returns the next change of the members, if one is due: a learner is added, catches up,
// then replaces a voter in one step. A VM whose replica did not catch up comes last the next
// time, since one with a stalled disk would otherwise block all others.
func (k *Keeper) Next(v View) (Change, bool) {
	v.Joiners = k.sortJoiners(v.Joiners)
	change, due := k.policy.next(v)
	if due && change.Event == laburnumlever.EventLearnerRemoved {
		vm := change.Member.VM
		k.failedVMs = append(slices.DeleteFunc(slices.Clone(k.failedVMs), func(id laburnumlever.VMID) bool { return id == vm }), vm)
	}
	return change, due
}

// sortJoiners sorts the joiners by name, those given up last.
func (k *Keeper) sortJoiners(joiners []laburnumlog.Member) []laburnumlog.Member {
	joiners = slices.Clone(joiners)
	slices.SortFunc(joiners, func(a, b laburnumlog.Member) int {
		byTurn := slices.Index(k.failedVMs, a.VM) - slices.Index(k.failedVMs, b.VM)
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
	case progress.Lost:
		return remove(CauseLearnerWentBack)
	case progress.SilentTicks > p.ReplaceTicks:
		return remove(CauseLearnerSilent)
	case progress.BehindTicks > stuckTicks:
		return remove(CauseLearnerStuck)
	case progress.SilentTicks > maxSilentTicks || progress.Match < v.Commit:
		return Change{}, false // not caught up
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

// replacedVoter finds the voter that a replica on the VM would replace: that of the same VM, none if
// voters are missing, else one that has been silent for long.
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
