package laburnumlog_test

import (
	"fmt"
	"slices"
	"testing"

	"laburnumlever/laburnumlog"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// applyAction performs the action that the numbers select. Every combination of numbers is
// valid, so rapid can shrink a failing schedule.
func (s *simulation) applyAction(kind, who, which int) {
	r := s.replicas[who%len(s.replicas)]
	switch {
	case kind < 30:
		s.deliver(which, false)
	case kind < 40:
		for i := range 1 + which%8 {
			s.deliver(which/8*i, false)
		}
	case kind < 53:
		s.sync(r)
	case kind < 58:
		s.step(r, laburnumlog.Tick{})
	case kind < 60:
		s.tickAllButLeader(r)
	case kind < 64:
		s.campaign(r)
	case kind < 70:
		s.propose(r, 1+which%2)
	case kind < 74:
		s.propose(s.currentLeader(r), 1)
	case kind < 77:
		s.deliver(which, true)
	case kind < 79:
		for range 1 + which%4 {
			s.drop(which / 4)
		}
	case kind < 81:
		s.dropHeartbeats()
	case kind < 84:
		s.restart(r)
	case kind < 86:
		s.loseDisk(r)
	case kind < 89:
		s.changeMembers(r, which)
	case kind < 93:
		s.repair(s.currentLeader(r), which)
	case kind < 95:
		s.compact(r)
	case kind < 96:
		s.step(s.currentLeader(r), laburnumlog.TransferLeadership{})
	default:
		s.deliverAll(1 + which%3)
	}
}

// tickAllButLeader advances time for all replicas except leaders, as if they were frozen, and
// then for the given one.
func (s *simulation) tickAllButLeader(first *replica) {
	for _, r := range s.replicas {
		if r.log.Role() == laburnumlog.Leader {
			continue
		}
		for range 10 {
			s.step(r, laburnumlog.Tick{})
		}
	}
	for range 10 {
		s.step(first, laburnumlog.Tick{})
	}
}

// campaign delivers a delayed or duplicated request to campaign from a leadership transfer.
func (s *simulation) campaign(r *replica) {
	if r.log.Term() > 0 {
		s.step(r, laburnumlog.Receive{Message: laburnumlog.Message{Kind: laburnumlog.MessageCampaignNow, To: r.id, Term: r.log.Term()}})
	}
}

func (s *simulation) dropHeartbeats() {
	s.network = slices.DeleteFunc(s.network, func(m laburnumlog.Message) bool {
		return m.Kind == laburnumlog.MessageHeartbeat || m.Kind == laburnumlog.MessageHeartbeatAnswer
	})
}

// currentLeader returns the leader of the highest term, or the given replica if there is none.
func (s *simulation) currentLeader(or *replica) *replica {
	best := or
	for _, r := range s.replicas {
		if r.log.Role() == laburnumlog.Leader && (best.log.Role() != laburnumlog.Leader || r.log.Term() > best.log.Term()) {
			best = r
		}
	}
	return best
}

// repair makes one step toward three live voters: a learner replaces a dead voter in one
// change, or the dead voter is removed first.
func (s *simulation) repair(r *replica, which int) {
	c := r.log.Configuration()
	for _, m := range c.Members {
		switch {
		case s.dead[m.ID]:
			to := c.Without(m.ID)
			if learner, ok := s.liveLearner(c); ok && which%3 > 0 {
				to = to.WithMember(learner)
			}
			s.step(r, laburnumlog.ChangeMembers{Configuration: to})
			return
		case m.Learner:
			m.Learner = false
			s.step(r, laburnumlog.ChangeMembers{Configuration: c.WithMember(m)})
			return
		}
	}
	if len(c.Voters()) < 3 {
		s.changeMembers(r, which|1)
	}
}

// liveLearner returns a learner whose disk is not lost, as a voter.
func (s *simulation) liveLearner(c laburnumlog.Configuration) (laburnumlog.Member, bool) {
	for _, m := range c.Members {
		if m.Learner && !s.dead[m.ID] {
			m.Learner = false
			return m, true
		}
	}
	return laburnumlog.Member{}, false
}

// deliverAll delivers all messages and syncs all writes, for some rounds.
func (s *simulation) deliverAll(rounds int) {
	for range rounds {
		for range len(s.network) {
			s.deliver(0, false)
		}
		for _, r := range s.replicas {
			for len(r.unsynced) > 0 {
				s.sync(r)
			}
		}
	}
}

func (s *simulation) replicaByID(id laburnumlog.ReplicaID) *replica {
	for _, r := range s.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (s *simulation) deliver(which int, again bool) {
	if len(s.network) == 0 {
		return
	}
	i := which % len(s.network)
	m := s.network[i]
	if !again {
		s.drop(i)
	}
	if r := s.replicaByID(m.To); r != nil {
		s.step(r, laburnumlog.Receive{Message: m})
	}
}

func (s *simulation) drop(which int) {
	if n := len(s.network); n > 0 {
		i := which % n
		s.network = append(append([]laburnumlog.Message{}, s.network[:i]...), s.network[i+1:]...)
	}
}

func (s *simulation) propose(r *replica, n int) {
	var data [][]byte
	for range n {
		s.proposals++
		data = append(data, fmt.Appendf(nil, "proposal %d", s.proposals))
	}
	before := uint64(0)
	for index := range s.committed {
		before = max(before, index)
	}
	out := s.step(r, laburnumlog.Propose{Data: data})
	for i := range n {
		if out.Accepted {
			s.proposed[position{out.First + uint64(i), r.log.Term()}] = before
		}
	}
}

// loseDisk replaces the disk by an empty one, unless that would destroy a majority: no
// protocol can recover what a lost majority held.
func (s *simulation) loseDisk(r *replica) {
	for _, other := range s.replicas {
		now, before := other.log.Configuration(), other.log.ConfigurationAt(other.log.Commit())
		if !now.IsVoter(other.id) && !other.log.ChangePending() {
			continue
		}
		if s.losesMajority(now, r) || s.losesMajority(before, r) {
			return
		}
	}
	s.newDisk(r)
}

func (s *simulation) losesMajority(c laburnumlog.Configuration, r *replica) bool {
	return !c.HasMajority(func(m laburnumlog.Member) bool { return !s.dead[m.ID] && m.ID != r.id })
}

func (s *simulation) changeMembers(r *replica, which int) {
	if r.log.Role() != laburnumlog.Leader {
		return
	}
	c := r.log.Configuration()
	learner, caughtUp := s.liveLearner(c)
	if len(c.Members) > 0 && which%2 == 0 {
		m := c.Members[which/2%len(c.Members)]
		switch {
		case m.Learner:
			m.Learner = false
			c = c.WithMember(m)
		case caughtUp && which%5 > 0:
			// The learner replaces any voter, even the leader itself.
			c = c.Without(m.ID).WithMember(learner)
		case len(c.Voters()) > 2:
			c = c.Without(m.ID)
		}
	} else {
		m := s.replicas[which/2%len(s.replicas)].member()
		if _, in := c.Find(m.ID); in {
			return
		}
		m.Learner = true
		c = c.WithMember(m)
	}
	if s.hasLiveMajority(c) {
		s.step(r, laburnumlog.ChangeMembers{Configuration: c})
	}
}

// hasLiveMajority reports whether a majority of the voters still has its disk. A change to any
// other configuration would be the caller's mistake.
func (s *simulation) hasLiveMajority(c laburnumlog.Configuration) bool {
	return c.HasMajority(func(m laburnumlog.Member) bool { return !s.dead[m.ID] })
}

func (s *simulation) compact(r *replica) {
	s.step(r, laburnumlog.Compact{Snapshot: laburnumlog.Snapshot{Index: r.applied, Data: fmt.Appendf(nil, "%x", r.hash)}})
}

// runWithoutFaults runs the replicas without faults, and reports whether they commit new
// entries and all members apply them.
func (s *simulation) runWithoutFaults() bool {
	s.network = nil
	before := len(s.committed)
	for round := range 400 {
		for _, r := range s.replicas {
			s.step(r, laburnumlog.Tick{})
			if round%10 == 0 {
				s.propose(r, 1)
			}
		}
		for moved := true; moved && s.problem == ""; {
			moved = len(s.network) > 0
			for len(s.network) > 0 {
				s.deliver(0, false)
			}
			for _, r := range s.replicas {
				for len(r.unsynced) > 0 {
					moved = true
					s.sync(r)
				}
			}
		}
		if len(s.committed) > before+2 && s.membersCaughtUp() {
			return true
		}
	}
	return false
}

// membersCaughtUp reports whether every live member has applied all that the leader has. It
// ignores removed replicas, which may have an older configuration and a higher term.
func (s *simulation) membersCaughtUp() bool {
	leader := s.currentLeader(s.replicas[0])
	if leader.log.Role() != laburnumlog.Leader {
		return false
	}
	for _, m := range leader.log.Configuration().Members {
		if r := s.replicaByID(m.ID); r != nil && r.applied != leader.applied {
			return false
		}
	}
	return true
}

// Guards against lost or changed entries, two leaders in a term and no progress after random faults and membership changes.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(4, rapid.IntRange(1, 3).Draw(t, "voters"), 0)
		for i := range rapid.IntRange(0, 400).Draw(t, "steps") {
			s.applyAction(rapid.IntRange(0, 99).Draw(t, "kind"), rapid.IntRange(0, 3).Draw(t, "who"), rapid.IntRange(0, 255).Draw(t, "which"))
			if s.problem != "" {
				t.Fatalf("step %d: %s", i, s.problem)
			}
		}
		if !s.runWithoutFaults() || s.problem != "" {
			t.Fatalf("no progress after the faults ended: %s", s.problem)
		}
	})
}

// Guards against the failures of TestRandomSchedules in runs that are longer than those rapid draws.
func TestLongSchedules(t *testing.T) {
	for seed := range uint64(150) {
		n := 3 + int(seed%3)
		s := newSimulation(n, 3, 0)
		next := seededRandom(seed)
		for i := range 4000 {
			s.applyAction(next(100), next(n), next(1<<16))
			require.Empty(t, s.problem, "seed %d step %d", seed, i)
		}
		require.True(t, s.runWithoutFaults(), "seed %d: no progress: %s", seed, s.problem)
		require.Empty(t, s.problem, "seed %d", seed)
	}
}
