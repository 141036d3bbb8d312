package laburnumlog_test

import (
	"slices"
	"testing"

	"laburnumlever/laburnumlog"

	"github.com/stretchr/testify/require"
)

// run delivers messages and syncs writes among the given replicas until nothing is left or the
// condition holds. Messages to other replicas are lost.
func (s *simulation) run(until func() bool, among ...*replica) {
	for moved := true; moved; {
		moved = false
		for len(s.network) > 0 && !until() {
			m := s.network[0]
			s.network = s.network[1:]
			from, to := s.replicaByID(m.From), s.replicaByID(m.To)
			if slices.Contains(among, from) && slices.Contains(among, to) {
				moved = true
				s.step(to, laburnumlog.Receive{Message: m})
			}
		}
		for _, r := range among {
			for len(r.unsynced) > 0 && !until() {
				moved = true
				s.sync(r)
			}
		}
	}
	if !until() {
		s.network = nil
	}
}

func never() bool { return false }

// Guards against losing an acknowledged change of an older term that was committed by count and replaced by the next leader.
func TestEntryOfOlderTermIsNotCommittedByCount(t *testing.T) {
	s := newSimulation(3, 3, 0)
	a, b, c := s.replicas[0], s.replicas[1], s.replicas[2]
	elect := func(r *replica) {
		for range 5 {
			s.campaign(r)
			s.run(func() bool { return r.log.Role() == laburnumlog.Leader }, r, b)
			if r.log.Role() == laburnumlog.Leader {
				s.sync(r)
				return
			}
		}
		t.Fatalf("%s was not elected", r.id)
	}
	elect(a)
	elect(c)
	s.restart(a)
	elect(a)
	s.run(func() bool { p, _ := a.log.Progress(b.id); return p.Match == 2 }, a, b)
	p, _ := a.log.Progress(b.id)
	require.EqualValues(t, 2, p.Match)
	s.network = nil
	s.restart(c)
	elect(c)
	s.run(never, c, b)
	require.Empty(t, s.problem)
	require.EqualValues(t, 3, s.committed[2].entry.Term)
}

// Guards against a majority that counts a VM restored from an older copy of its disk.
func TestRolledBackDiskIsDetected(t *testing.T) {
	s := newSimulation(3, 3, 0)
	a, b, c := s.replicas[0], s.replicas[1], s.replicas[2]
	old := b.disk
	s.campaign(a)
	s.run(never, a, b, c)
	for range 3 {
		s.propose(a, 1)
		s.run(never, a, b, c)
	}
	// A delayed rejection from before the restart is no sign of a rolled-back disk.
	refusal := laburnumlog.Message{Kind: laburnumlog.MessageAppendAnswer, From: b.id, To: a.id, Term: a.log.Term(), Boot: laburnumlog.Boot(1, 0), Reject: true, Index: a.log.LastIndex(), Hint: 1, Commit: 1}
	s.step(a, laburnumlog.Receive{Message: refusal})
	p, _ := a.log.Progress(b.id)
	require.False(t, p.DataLost)
	b.disk = old
	s.restart(b)
	s.propose(a, 1)
	for range 20 {
		s.step(a, laburnumlog.Tick{})
		s.run(never, a, b, c)
	}
	p, _ = a.log.Progress(b.id)
	require.True(t, p.DataLost)
	require.Equal(t, a.log.LastIndex(), a.log.Commit(), "a and c still commit")
}

// Guards against a partitioned leader that keeps an uncommitted membership change and counts the wrong voters.
func TestUncommittedMembershipChangeIsRolledBack(t *testing.T) {
	s := newSimulation(4, 3, 0)
	a, b, c := s.replicas[0], s.replicas[1], s.replicas[2]
	s.campaign(a)
	s.run(never, a, b, c)
	learner := s.replicas[3].member()
	learner.Learner = true
	s.step(a, laburnumlog.ChangeMembers{Configuration: a.log.Configuration().WithMember(learner)})
	s.run(never, a)
	require.True(t, a.log.ChangePending())
	s.campaign(b)
	s.run(never, b, c)
	s.propose(b, 3)
	for range 5 {
		s.step(b, laburnumlog.Tick{})
		s.run(never, a, b, c)
	}
	require.Equal(t, b.log.Configuration(), a.log.Configuration())
	require.Len(t, a.log.Configuration().Members, 3)
	require.Equal(t, b.log.Commit(), a.log.Commit())
}

// Guards against a divergent log tail that follows the installed snapshot after a restart.
func TestSnapshotDropsDivergentTail(t *testing.T) {
	s := newSimulation(3, 3, 0)
	a, b, c := s.replicas[0], s.replicas[1], s.replicas[2]
	s.campaign(a)
	s.run(never, a, b, c)
	s.propose(a, 9)
	s.run(never, a)
	s.campaign(b)
	s.run(never, b, c)
	s.propose(b, 4)
	s.run(never, b, c)
	s.compact(b)
	for range 20 {
		s.step(b, laburnumlog.Tick{})
		s.run(never, a, b, c)
	}
	require.Equal(t, b.log.Commit(), a.log.Commit())
	s.restart(a)
	require.Equal(t, b.log.LastIndex(), a.log.LastIndex())
	require.Empty(t, s.problem)
}

// Guards against sending a whole snapshot to a restarted voter that has the complete log.
func TestRestartedVoterGetsNoSnapshot(t *testing.T) {
	s := newSimulation(3, 3, 0)
	a, b, c := s.replicas[0], s.replicas[1], s.replicas[2]
	s.campaign(a)
	s.run(never, a, b, c)
	s.propose(a, 3)
	s.run(never, a, b, c)
	s.campaign(b)
	s.run(never, a, b)
	for range 10 {
		s.step(b, laburnumlog.Tick{})
		for _, m := range s.network {
			require.NotEqual(t, laburnumlog.MessageSnapshot, m.Kind)
		}
		s.run(never, a, b)
	}
	s.step(b, laburnumlog.Tick{})
	s.step(b, laburnumlog.Tick{})
	s.step(b, laburnumlog.Tick{})
	s.run(never, a, b, c)
	require.Equal(t, b.log.LastIndex(), c.log.LastIndex())
}

// Guards against committed entries lost in a crash, as the leader counted entries as durable that replaced synced ones.
func TestReplacedTailIsNotCountedAsDurable(t *testing.T) {
	s := newSimulation(3, 3, 0)
	a, b, c := s.replicas[0], s.replicas[1], s.replicas[2]
	s.campaign(a)
	s.run(never, a, b, c)
	s.propose(a, 7)
	s.run(never, a)
	s.campaign(b)
	s.run(never, a, b, c)
	s.campaign(a)
	s.run(never, a, b, c)
	before := a.log.Commit()
	require.Equal(t, a.log.LastIndex(), before)
	s.propose(a, 1)
	for range 3 {
		network := s.network
		s.network = nil
		for _, m := range network {
			if to := s.replicaByID(m.To); to != c {
				s.step(to, laburnumlog.Receive{Message: m})
			}
		}
		s.sync(b)
	}
	require.Equal(t, before, a.log.Commit())
	s.sync(a)
	require.Equal(t, before+1, a.log.Commit())
}

// Guards against two leaders that commit, after a new leader changed members while an older change was pending.
func TestMembershipChangeRequiresCommitInOwnTerm(t *testing.T) {
	s := newSimulation(4, 3, 0)
	a, b, c := s.replicas[0], s.replicas[1], s.replicas[2]
	s.campaign(a)
	s.run(func() bool { return a.log.Role() == laburnumlog.Leader }, a, b, c)
	learner := s.replicas[3].member()
	learner.Learner = true
	change := laburnumlog.ChangeMembers{Configuration: a.log.Configuration().WithMember(learner)}
	s.step(a, change)
	require.False(t, a.log.ChangePending(), "no entry of its own term is committed yet")
	s.run(never, a, b, c)
	s.step(a, change)
	require.True(t, a.log.ChangePending())
}

// Guards against a single voter that leads the same term twice, with a crash between, as its own vote was not yet durable.
func TestOwnVoteCountsOnceDurable(t *testing.T) {
	s := newSimulation(1, 1, 0)
	a := s.replicas[0]
	for range 40 {
		s.step(a, laburnumlog.Tick{})
	}
	require.NotEmpty(t, a.unsynced)
	require.NotEqual(t, laburnumlog.Leader, a.log.Role())
	s.run(never, a)
	require.Equal(t, laburnumlog.Leader, a.log.Role())
}

// Guards against a log without a possible leader, after a leader restarts when only it has appended its own removal.
func TestLeaderRestartsBeforeItsRemovalIsCommitted(t *testing.T) {
	s := newSimulation(2, 2, 0)
	a, b := s.replicas[0], s.replicas[1]
	s.campaign(a)
	s.run(never, a, b)
	s.step(a, laburnumlog.ChangeMembers{Configuration: a.log.Configuration().Without(a.id)})
	require.False(t, a.log.Configuration().IsVoter(a.id))
	s.run(never, a)
	s.restart(a)
	require.True(t, s.runWithoutFaults(), s.problem)
	require.Equal(t, laburnumlog.Leader, b.log.Role())
	require.NotEqual(t, laburnumlog.Leader, a.log.Role())
}

// Guards against a log without a possible leader, after a leader restarts when only it has the final configuration on disk.
func TestLeaderRestartsBeforeItsReplacementIsCommitted(t *testing.T) {
	s := newSimulation(2, 1, 0)
	a, b := s.replicas[0], s.replicas[1]
	s.campaign(a)
	s.run(never, a, b)
	joining := b.member()
	joining.Learner = true
	s.step(a, laburnumlog.ChangeMembers{Configuration: a.log.Configuration().WithMember(joining)})
	s.run(never, a, b)
	joining.Learner = false
	s.step(a, laburnumlog.ChangeMembers{Configuration: laburnumlog.Configuration{Members: []laburnumlog.Member{joining}}})
	s.run(func() bool { return !a.log.Configuration().Joint() }, a, b)
	require.True(t, b.log.Configuration().Joint())
	s.network = nil
	s.sync(a)
	s.restart(a)
	require.True(t, s.runWithoutFaults(), s.problem)
	require.Equal(t, laburnumlog.Leader, b.log.Role())
	require.NotEqual(t, laburnumlog.Leader, a.log.Role())
}

// Guards against a full election timeout without a leader after a restart of all VMs, when there is none to wait for.
func TestLeaderIsElectedSoonAfterARestartOfAllVMs(t *testing.T) {
	f := newFleet(5, 2)
	f.settle(t)
	const restarts = 20
	soon := 0
	for range restarts {
		f.restartAll()
		for range secondTicks {
			if f.tick(); f.leader() >= 0 {
				soon++
				break
			}
		}
		f.runTicks(recoverTicks)
		require.Empty(t, f.problem)
	}
	require.Greater(t, soon, restarts*9/10, "elected within a second")
}
