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

// Change is one change of the members.
type Change struct {
	Event  laburnumlever.LogEvent
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
		if _, in := v.Configuration.Find(m.ID); in || !p.wanted(v, m.VM) {
			continue
		}
		m.Learner = true
		return Change{Event: laburnumlever.EventLearnerAdded, Member: m, To: v.Configuration.WithMember(m)}, true
	}
	return Change{}, false
}

func (p Policy) tendLearner(v View, m laburnumlog.Member) (Change, bool) {
	progress, _ := v.Progress(m.ID)
	remove := Change{Event: laburnumlever.EventLearnerRemoved, Member: m, To: v.Configuration.Without(m.ID)}
	switch {
	case progress.SilentTicks > p.ReplaceTicks || progress.BehindTicks > stuckTicks || progress.Lost:
		return remove, true
	case progress.SilentTicks > answersTicks || progress.Match < v.Commit:
		return Change{}, false // not caught up
	}
	m.Learner = false
	if old, ok := p.replacedBy(v, m.VM); ok {
		to := v.Configuration.Without(old.ID).WithMember(m)
		return Change{Event: laburnumlever.EventVoterReplaced, Member: m, Replaced: old.ID, To: to}, true
	}
	if len(v.Configuration.Voters()) >= p.Target {
		return remove, true
	}
	return Change{Event: laburnumlever.EventVoterAdded, Member: m, To: v.Configuration.WithMember(m)}, true
}

// replacedBy finds the voter whose place a replica on the VM would take: the one of
// the same VM, else one that has been silent for long.
func (p Policy) replacedBy(v View, vm laburnumlever.VMID) (laburnumlog.Member, bool) {
	for _, m := range v.Configuration.Voters() {
		if m.VM == vm {
			return m, true
		}
	}
	if len(v.Configuration.Voters()) < p.Target {
		return laburnumlog.Member{}, false
	}
	for _, m := range v.Configuration.Voters() {
		if progress, ok := v.Progress(m.ID); ok && progress.SilentTicks > p.ReplaceTicks {
			return m, true
		}
	}
	return laburnumlog.Member{}, false
}

// wanted tells whether a replica on the VM should become a voter.
func (p Policy) wanted(v View, vm laburnumlever.VMID) bool {
	_, replaces := p.replacedBy(v, vm)
	return replaces || len(v.Configuration.Voters()) < p.Target
}
