package laburnumlog_test

import (
	"cmp"
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
	ticks, _ := slowVoters{up: 3, writeTicks: writeTicks, least: least, most: most}.elect(seed, limit)
	return ticks
}

// slowVoters are five voters of which the first ones are up. Each write takes a number of ticks, and each message from least to most
// ticks, those from one voter to another in order.
type slowVoters struct {
	up, writeTicks, least, most int
	// cut are two voters between which no message arrives.
	cut []laburnumlog.ReplicaID
	// leaderFails has the first leader fail some time after its election.
	leaderFails bool
}

// elect returns the ticks until the first leader commits, and, if that one fails, until the next one does from then on.
func (v slowVoters) elect(seed uint64, limit int) (first, next int) {
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
			cut := m.From != m.To && slices.Contains(v.cut, m.From) && slices.Contains(v.cut, m.To)
			if logs[m.To] == nil || cut {
				continue
			}
			at := now
			if m.From != m.To {
				link := [2]laburnumlog.ReplicaID{m.From, m.To}
				at = max(arrived[link], now+v.least+random.IntN(v.most-v.least+1))
				arrived[link] = at
			}
			after(at, func() { step(m.To, laburnumlog.Receive{Message: m}) })
		}
	}
	step = func(id laburnumlog.ReplicaID, ev laburnumlog.Event) {
		if logs[id] == nil {
			return
		}
		out := logs[id].Step(ev)
		send(out.Messages)
		if out.Write == nil {
			return
		}
		write := *out.Write
		free[id] = max(free[id], now) + v.writeTicks
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
	for i, id := range names[:v.up] {
		logs[id] = laburnumlog.New(id, laburnumlog.Recovered{}, laburnumlog.WithSeed(seed*977+uint64(i)*131+1))
		step(id, laburnumlog.Bootstrap{Configuration: configuration})
	}
	failed := 0
	for ; now < limit; now++ {
		for _, id := range names[:v.up] {
			step(id, laburnumlog.Tick{})
		}
		drain()
		for _, id := range names[:v.up] {
			if logs[id] == nil || logs[id].Role() != laburnumlog.Leader || logs[id].Commit() <= 1 {
				continue
			}
			if first == 0 {
				first = now
			}
			switch {
			case !v.leaderFails:
				return first, 0
			case failed > 0:
				return first, now - failed
			case now >= first+ledTicks:
				failed = now
				delete(logs, id)
			default:
			}
		}
	}
	return cmp.Or(first, limit), limit
}

// ledTicks is how long a leader leads before it fails.
const ledTicks = 40

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

// Guards against candidates that take each other's votes, election after election, as each round takes longer than their timeouts differ.
func TestElectionsAmongStarvedVotersDoNotCollide(t *testing.T) {
	for seed := range uint64(200) {
		require.Less(t, electionAmongSlowVoters(seed+1, 0, 4, 8, recoverTicks), recoverTicks, "seed %d", seed+1)
	}
}

// Guards against voters that take each other's votes after their leader has failed, and find no other one for a minute.
func TestNextLeaderAmongStarvedVotersIsElectedInTime(t *testing.T) {
	for _, v := range []slowVoters{
		{up: 4, most: 1}, {up: 4, writeTicks: 5}, {up: 5, writeTicks: 5}, {up: 4, least: 4, most: 8}, {up: 5, least: 4, most: 8},
	} {
		v.leaderFails = true
		for seed := range uint64(200) {
			first, next := v.elect(seed+1, 10*recoverTicks)
			require.Less(t, first, recoverTicks, "seed %d of %+v", seed+1, v)
			require.Less(t, next, recoverTicks, "seed %d of %+v", seed+1, v)
		}
	}
}

// Guards against a voter that always gives way to one that lacks a link and can not be elected.
func TestVoterWithAllLinksIsElected(t *testing.T) {
	for _, cut := range [][]laburnumlog.ReplicaID{{"a", "b"}, {"a", "c"}, {"b", "c"}} {
		for seed := range uint64(200) {
			ticks, _ := slowVoters{up: 3, most: 4, cut: cut}.elect(seed+1, recoverTicks)
			require.Less(t, ticks, recoverTicks, "seed %d without the link of %v", seed+1, cut)
		}
	}
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
