package laburnumquorum

import (
	"cmp"
	"slices"
	"strings"

	"laburnumlever"
	"laburnumlever/laburnumlog"
)

const (
	// answersTicks is how long a member may be silent and still count as there.
	answersTicks = 10
	// stuckTicks is how long a learner may take nothing before another VM gets its chance: as
	// long as the log waits for a snapshot to arrive.
	stuckTicks = 50
)

// Policy says how many voters there are to be and when one is given up.
type Policy struct {
	// Target is how many voters the log aims at.
	Target int
	// ReplaceTicks of silence make a voter's place free for another VM.
	ReplaceTicks int
}

// View is what a leader sees of the replicas.
type View struct {
	// Configuration is the one in force, and Pending tells that it is not committed yet.
	Configuration laburnumlog.Configuration
	Pending       bool
	// Commit is the last index known committed.
	Commit uint64
	// Progress is what the leader knows of a member; false for one it knows nothing of.
	Progress func(laburnumlog.ReplicaID) (laburnumlog.MemberProgress, bool)
	// Joiners are the replicas that asked to join lately and may.
	Joiners []laburnumlog.Member
}

// Cause says why the members change.
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
	// CauseLearnerStuck is one that answers and takes no entry.
	CauseLearnerStuck
	// CauseLearnerWentBack is one whose disk has less than it acknowledged.
	CauseLearnerWentBack
	// CauseNotNeeded is a learner whose voter is back.
	CauseNotNeeded
)

// Change is one change of the members.
type Change struct {
	Event  laburnumlever.LogEvent
	Cause  Cause
	Member laburnumlog.Member
	// Replaced is the voter whose place the member takes, if any.
	Replaced laburnumlog.ReplicaID
	To       laburnumlog.Configuration
}

// Keeper decides by a policy, and remembers which VMs did not catch up.
type Keeper struct {
	policy Policy
	// gaveUp are those VMs, the latest last.
	gaveUp []laburnumlever.VMID
}

// NewKeeper returns one that remembers nothing yet.
func NewKeeper(policy Policy) Keeper { return Keeper{policy: policy} }

// Next is the next change of the members, if one is due: a learner is added, caught up,
// and only then put in the place of the voter that it replaces, in one step. A VM whose
// replica did not catch up comes last the next time: with a disk that hangs and answers to
// its name it would keep all others from a voter's place for as long.
func (k *Keeper) Next(v View) (Change, bool) {
	v.Joiners = k.order(v.Joiners)
	change, due := k.policy.next(v)
	if due && change.Event == laburnumlever.EventLearnerRemoved {
		vm := change.Member.VM
		k.gaveUp = append(slices.DeleteFunc(slices.Clone(k.gaveUp), func(id laburnumlever.VMID) bool { return id == vm }), vm)
	}
	return change, due
}

// order puts the joiners by name, so that each look sees them alike, and those given up last.
func (k *Keeper) order(joiners []laburnumlog.Member) []laburnumlog.Member {
	joiners = slices.Clone(joiners)
	slices.SortFunc(joiners, func(a, b laburnumlog.Member) int {
		byTurn := slices.Index(k.gaveUp, a.VM) - slices.Index(k.gaveUp, b.VM)
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
			return p.tendLearner(v, m)
		}
	}
	for _, m := range v.Joiners {
		if _, in := v.Configuration.Find(m.ID); in {
			continue
		}
		if _, cause, wanted := p.place(v, m.VM); wanted {
			m.Learner = true
			return Change{Event: laburnumlever.EventLearnerAdded, Cause: cause, Member: m, To: v.Configuration.WithMember(m)}, true
		}
	}
	return Change{}, false
}

func (p Policy) tendLearner(v View, m laburnumlog.Member) (Change, bool) {
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
	case progress.SilentTicks > answersTicks || progress.Match < v.Commit:
		return Change{}, false // not caught up
	}
	old, cause, wanted := p.place(v, m.VM)
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

// place finds the place that a replica on the VM would take: that of the voter of the same VM,
// one that is missing, else that of a voter that has been silent for long.
func (p Policy) place(v View, vm laburnumlever.VMID) (old laburnumlog.ReplicaID, cause Cause, wanted bool) {
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
