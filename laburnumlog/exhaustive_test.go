package laburnumlog_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"laburnumlever/laburnumlog"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

func (s *simulation) clone() *simulation {
	c := *s
	c.replicas = nil
	for _, r := range s.replicas {
		copied := *r
		copied.log = r.log.Clone()
		copied.unsynced = slices.Clone(r.unsynced)
		copied.disk.Entries = slices.Clone(r.disk.Entries)
		c.replicas = append(c.replicas, &copied)
	}
	c.network = slices.Clone(s.network)
	c.committed, c.leaders, c.dead = maps.Clone(s.committed), maps.Clone(s.leaders), maps.Clone(s.dead)
	c.proposed = maps.Clone(s.proposed)
	return &c
}

// budget limits the events that may still happen in an exhaustive run.
type budget struct {
	campaigns [3]int
	crashes   [3]int
	proposals int
}

// explorer tries every order of deliveries, losses, syncs, campaigns, crashes and proposals that
// the budget allows, and visits each state once.
type explorer struct {
	seen  map[uint64]bool
	kinds []laburnumlog.MessageKind // messages of other kinds are lost
	limit int
}

func (e *explorer) explore(t *testing.T, s *simulation, b budget) {
	s.network = slices.DeleteFunc(s.network, func(m laburnumlog.Message) bool { return !slices.Contains(e.kinds, m.Kind) })
	if len(e.seen) >= e.limit {
		t.Fatal("more states than the limit: the run is not exhaustive")
	}
	key := fingerprint(s, b)
	if e.seen[key] {
		return
	}
	e.seen[key] = true
	require.Empty(t, s.problem)
	for i := range s.network {
		next := s.clone()
		next.deliver(i, false)
		e.explore(t, next, b)
	}
	for i, r := range s.replicas {
		if len(r.unsynced) > 0 {
			next := s.clone()
			next.sync(next.replicas[i])
			e.explore(t, next, b)
		}
		if b.campaigns[i] > 0 {
			next, left := s.clone(), b
			left.campaigns[i]--
			next.campaign(next.replicas[i])
			e.explore(t, next, left)
		}
		if b.crashes[i] > 0 {
			next, left := s.clone(), b
			left.crashes[i]--
			next.restart(next.replicas[i])
			e.explore(t, next, left)
		}
		if b.proposals > 0 && r.log.Role() == laburnumlog.Leader {
			next, left := s.clone(), b
			left.proposals--
			next.propose(next.replicas[i], 1)
			e.explore(t, next, left)
		}
	}
}

func fingerprint(s *simulation, b budget) uint64 {
	var text []byte
	for _, r := range s.replicas {
		text = append(r.log.Digest(text), byte(r.boot), byte(r.disk.Hard.Term), byte(len(r.disk.Entries)))
		text = append(text, r.disk.Hard.Vote...)
		for _, w := range r.unsynced {
			text = append(text, byte(w.Hard.Term), byte(len(w.Entries)), '|')
			text = append(text, w.Hard.Vote...)
			for _, m := range w.DeferredMessages {
				text = append(text, m.Digest()...)
			}
		}
	}
	messages := make([]string, len(s.network))
	for i, m := range s.network {
		messages[i] = m.Digest()
	}
	slices.Sort(messages)
	return xxhash.Sum64(fmt.Append(text, messages, b, s.proposed)) // maps are printed in the order of their keys
}

// Guards against two leaders in a term, lost committed entries and stale confirmations, in every order of a few events.
func TestSmallSchedulesExhaustively(t *testing.T) {
	votes := []laburnumlog.MessageKind{laburnumlog.MessageVote, laburnumlog.MessageVoteAnswer}
	all := append(votes, laburnumlog.MessageAppend, laburnumlog.MessageAppendAnswer)
	cases := map[string]struct {
		budget
		kinds  []laburnumlog.MessageKind
		voters int
	}{
		"two candidates, the third voter crashes":  {budget{campaigns: [3]int{1, 1, 0}, crashes: [3]int{0, 0, 1}}, votes, 3},
		"a single voter crashes and leads again":   {budget{campaigns: [3]int{2}, crashes: [3]int{1}, proposals: 1}, all, 1},
		"two candidates, one crashes":              {budget{campaigns: [3]int{1, 1, 0}, crashes: [3]int{1, 0, 0}}, votes, 3},
		"a replaced leader of two gets a proposal": {budget{campaigns: [3]int{1, 1, 0}, proposals: 2}, all, 2},
		"a leader of two crashes, the other leads": {budget{campaigns: [3]int{1, 1, 0}, crashes: [3]int{1, 0, 0}}, all, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := explorer{seen: map[uint64]bool{}, kinds: c.kinds, limit: 200000}
			e.explore(t, newSimulation(c.voters, c.voters, 0), c.budget)
			t.Logf("%d states", len(e.seen))
		})
	}
}
