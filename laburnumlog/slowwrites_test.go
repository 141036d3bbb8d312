package laburnumlog_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumlog"
)

// delayed is something that happens at a tick.
type delayed struct {
	at int
	do func()
}

// electionOnSlowDisks is electionAmongSlowVoters with messages that take no time.
func electionOnSlowDisks(seed uint64, writeTicks, limit int) int {
	return electionAmongSlowVoters(seed, writeTicks, 0, 0, limit)
}

// electionAmongSlowVoters returns the ticks until three of five voters, the others down, have a leader that commits; each write takes a
// number of ticks, and each message from least to most ticks, those from one voter to another in order.
func electionAmongSlowVoters(seed uint64, writeTicks, least, most, limit int) int {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // repeatable
	arrived := map[[2]laburnumlog.ReplicaID]int{}
	names := []laburnumlog.ReplicaID{"a", "b", "c", "d", "e"}
	var configuration laburnumlog.Configuration
	for _, id := range names {
		configuration = configuration.WithMember(laburnumlog.Member{ID: id})
	}
	logs, free := map[laburnumlog.ReplicaID]*laburnumlog.Log{}, map[laburnumlog.ReplicaID]int{}
	var queue []delayed
	now := 0
	after := func(at int, do func()) { queue = append(queue, delayed{at: at, do: do}) }
	var step func(id laburnumlog.ReplicaID, ev laburnumlog.Event)
	send := func(messages []laburnumlog.Message) {
		for _, m := range messages {
			if logs[m.To] == nil {
				continue
			}
			at := now
			if m.From != m.To {
				link := [2]laburnumlog.ReplicaID{m.From, m.To}
				at = max(arrived[link], now+least+random.IntN(most-least+1))
				arrived[link] = at
			}
			after(at, func() { step(m.To, laburnumlog.Receive{Message: m}) })
		}
	}
	step = func(id laburnumlog.ReplicaID, ev laburnumlog.Event) {
		out := logs[id].Step(ev)
		send(out.Messages)
		if out.Write == nil {
			return
		}
		write := *out.Write
		free[id] = max(free[id], now) + writeTicks
		after(free[id], func() {
			step(id, laburnumlog.Written{Seq: write.Seq})
			send(write.DeferredMessages)
		})
	}
	drain := func() {
		for {
			i := slices.IndexFunc(queue, func(d delayed) bool { return d.at <= now })
			if i < 0 {
				return
			}
			next := queue[i]
			queue = slices.Delete(queue, i, i+1)
			next.do()
		}
	}
	for i, id := range names[:3] {
		logs[id] = laburnumlog.New(id, laburnumlog.Recovered{}, laburnumlog.WithSeed(seed*977+uint64(i)*131+1))
		step(id, laburnumlog.Bootstrap{Configuration: configuration})
	}
	for ; now < limit; now++ {
		for _, id := range names[:3] {
			step(id, laburnumlog.Tick{})
		}
		drain()
		for _, id := range names[:3] {
			if logs[id].Role() == laburnumlog.Leader && logs[id].Commit() > 1 {
				return now
			}
		}
	}
	return limit
}

// Guards against voters with slow disks that start elections faster than a vote becomes durable, and never elect a leader.
func TestVotersWithSlowDisksElectALeader(t *testing.T) {
	for _, writeTicks := range []int{0, 2, 4, 5, 6} {
		for seed := range uint64(200) {
			require.Less(t, electionOnSlowDisks(seed+1, writeTicks, recoverTicks), recoverTicks, "seed %d, %d ticks a write", seed+1, writeTicks)
		}
	}
}

// Guards against leaders that step down before the answers to their first heartbeats can have come.
func TestVotersWithSlowMessagesElectALeader(t *testing.T) {
	const seeds = 200
	var ticks []int
	for seed := range uint64(seeds) {
		n := electionAmongSlowVoters(seed+1, 0, 2, 6, 2*recoverTicks)
		require.Less(t, n, 2*recoverTicks, "seed %d", seed+1)
		ticks = append(ticks, n)
	}
	slices.Sort(ticks)
	require.Less(t, ticks[seeds*9/10], recoverTicks)
}

// Guards against a leader without a vote to spare that steps down whenever a follower stands still for 1.5 s.
func TestLeaderOutlivesAFollowerThatStandsStill(t *testing.T) {
	const stillTicks = 15
	names := []laburnumlog.ReplicaID{"a", "b", "c", "d", "e"} // d and e have lost their disks
	var configuration laburnumlog.Configuration
	for _, id := range names {
		configuration = configuration.WithMember(laburnumlog.Member{ID: id})
	}
	logs := map[laburnumlog.ReplicaID]*laburnumlog.Log{}
	var still laburnumlog.ReplicaID
	var waiting []laburnumlog.Message
	var step func(id laburnumlog.ReplicaID, ev laburnumlog.Event)
	deliver := func(messages []laburnumlog.Message) {
		for _, m := range messages {
			switch {
			case m.To == still:
				waiting = append(waiting, m)
			case logs[m.To] != nil:
				step(m.To, laburnumlog.Receive{Message: m})
			default:
			}
		}
	}
	step = func(id laburnumlog.ReplicaID, ev laburnumlog.Event) {
		out := logs[id].Step(ev)
		deliver(out.Messages)
		if out.Write != nil {
			step(id, laburnumlog.Written{Seq: out.Write.Seq})
			deliver(out.Write.DeferredMessages)
		}
	}
	for i, id := range names[:3] {
		logs[id] = laburnumlog.New(id, laburnumlog.Recovered{}, laburnumlog.WithSeed(uint64(i)+1))
	}
	for _, id := range names[:3] {
		step(id, laburnumlog.Bootstrap{Configuration: configuration})
	}
	leader := func() laburnumlog.ReplicaID {
		i := slices.IndexFunc(names[:3], func(id laburnumlog.ReplicaID) bool { return logs[id].Role() == laburnumlog.Leader })
		if i < 0 {
			return ""
		}
		return names[i]
	}
	tick := func(ticks int) {
		for range ticks {
			for _, id := range names[:3] {
				if id != still {
					step(id, laburnumlog.Tick{})
				}
			}
		}
	}
	for ticks := 0; leader() == ""; ticks++ {
		tick(1)
		require.Less(t, ticks, recoverTicks)
	}
	tick(1)
	led := leader()
	still = names[(slices.Index(names, led)+1)%3]
	tick(stillTicks)
	require.Equal(t, laburnumlog.Leader, logs[led].Role(), "its other follower follows %q", logs[names[(slices.Index(names, led)+2)%3]].Leader())
	still = ""
	deliver(waiting)
	tick(1)
	require.Equal(t, led, leader())
}

// Guards against voters that have taken part in elections without a leader, and then wait longer for the next one than a recovery may take.
func TestElectionsWithoutALeaderDelayTheNextOneForABoundedTime(t *testing.T) {
	configuration := laburnumlog.Configuration{}.WithMember(laburnumlog.Member{ID: "a"}).WithMember(laburnumlog.Member{ID: "b"}).WithMember(laburnumlog.Member{ID: "c"})
	for seed := range uint64(200) {
		log := laburnumlog.New("a", laburnumlog.Recovered{}, laburnumlog.WithSeed(seed+1))
		step := func(ev laburnumlog.Event) laburnumlog.Output {
			out := log.Step(ev)
			if out.Write != nil {
				log.Step(laburnumlog.Written{Seq: out.Write.Seq})
			}
			return out
		}
		step(laburnumlog.Bootstrap{Configuration: configuration})
		term := log.Term()
		for range 10 {
			term++
			step(laburnumlog.Receive{Message: laburnumlog.Message{Kind: laburnumlog.MessageVote, From: "b", To: "a", Term: term, Index: 9, LogTerm: term}})
		}
		require.Equal(t, term, log.Term())
		ticks := 0
		for asked := false; !asked; ticks++ {
			asked = slices.ContainsFunc(step(laburnumlog.Tick{}).Messages, func(m laburnumlog.Message) bool { return m.Kind == laburnumlog.MessagePreVote })
			require.Less(t, ticks, recoverTicks, "seed %d", seed+1)
		}
	}
}
