package laburnumlog_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"laburnumlever/laburnumlog"

	"github.com/stretchr/testify/require"
)

// deeper is how many more events in sequence than in CI TestLossToleranceExhaustively tries, for
// manual runs.
var deeper = flag.Int("deeper", 0, "additional events in sequence in the exhaustive check")

// Guards against a log that stops for good after a disk loss between the removal of a voter and the addition of another.
func TestChangeCommittedDuringVoterReplacementSurvivesDiskLoss(t *testing.T) {
	f := newFleet(4, 1)
	f.settle(t)
	isolated := (f.leader() + 1) % 3
	f.faults[isolated].partition = 1
	for range 6 {
		f.runSecond()
		// checkLossTolerance reports the removal alone at its first sync.
		require.Empty(t, f.problem)
	}
	require.Len(t, f.committedVoters(f.replicas[f.leader()]), 3)
	_, in := f.replicas[f.leader()].log.Configuration().Find(f.replicas[isolated].id)
	require.False(t, in, "the spare VM has replaced it")
}

// Guards against replacing a voter through configurations that do not tolerate a lost disk.
func TestVoterIsReplacedInOneStep(t *testing.T) {
	f := newFleet(4, 1)
	f.settle(t)
	isolated := (f.leader() + 1) % 3
	f.faults[isolated].partition = 1
	var steps []string
	for f.untilMembersChange() {
		leader := f.replicas[f.leader()].log
		require.Positive(t, leader.Configuration().MajorityMargin(func(laburnumlog.Member) bool { return true }))
		steps = append(steps, memberList(leader.Configuration()))
	}
	require.Equal(t, []string{
		"a/1 b/1 c/1 d/1(learner) ", "a/1 b/1 d/1(joining) c/1(leaving) ", "a/1 b/1 d/1 ",
	}, steps)
}

// Guards against a learner that never catches up and prevents other VMs from replacing a voter.
func TestStuckLearnerIsReplacedByAnotherVM(t *testing.T) {
	f := newFleet(5, 1)
	f.settle(t)
	f.faults[f.nonLeaderVoter(0)].down = true
	stuck, other := 3, 4
	f.faults[stuck].dropsAppends = true
	for range 12 {
		f.runSecond()
	}
	require.True(t, f.replicas[f.leader()].log.Configuration().IsVoter(f.replicas[other].id))
	require.Empty(t, f.problem)
}

// settle runs a new log until it has a leader, all its voters and a committed change.
func (f *fleet) settle(t *testing.T) {
	t.Helper()
	for range 12 {
		f.runSecond()
	}
	require.Empty(t, f.problem)
	require.True(t, f.confirmed)
	require.Len(t, f.replicas[f.leader()].log.Configuration().Voters(), f.target)
}

// event is a fault or a repair of one VM or of all.
type event struct {
	name   string
	inject func(f *fleet) bool
}

// faultTargets select a VM by its role in the log. Other VMs with the same role are equivalent.
var faultTargets = []struct {
	name string
	find func(f *fleet) int
}{
	{"the leader", (*fleet).leader},
	{"a voter", func(f *fleet) int { return f.nonLeaderVoter(0) }},
	{"another voter", func(f *fleet) int { return f.nonLeaderVoter(1) }},
	{"a non-voter", (*fleet).nonVoter},
}

// nonLeaderVoter returns the nth voter other than the leader, in the leader's configuration, or -1
// if there is none.
func (f *fleet) nonLeaderVoter(n int) int {
	c := f.replicas[max(0, f.leader())].log.Configuration()
	for i, r := range f.replicas {
		if i == f.leader() || !c.IsVoter(r.id) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// nonVoter returns a VM that is a learner or no member, or -1 if there is none.
func (f *fleet) nonVoter() int {
	c := f.replicas[max(0, f.leader())].log.Configuration()
	for i, r := range f.replicas {
		if !c.IsVoter(r.id) {
			return i
		}
	}
	return -1
}

// faultEvents returns the events that the exhaustive check combines in every order.
func faultEvents() []event {
	list := []event{
		{"all faults end", func(f *fleet) bool { f.clearFaults(); return true }},
		{"all lose power", func(f *fleet) bool { f.restartAll(); return true }},
	}
	for _, target := range faultTargets {
		for _, do := range []struct {
			name string
			to   func(f *fleet, i int) bool
		}{
			{"is partitioned", func(f *fleet, i int) bool { f.faults[i].partition = i + 1; return true }},
			{"is killed", func(f *fleet, i int) bool { f.restart(f.replicas[i]); return true }},
			{"is powered off", func(f *fleet, i int) bool { f.faults[i].down = true; return true }},
			{"loses its disk", (*fleet).loseDiskOf},
			{"is replaced at another address", (*fleet).replaceVM},
			{"does not catch up", func(f *fleet, i int) bool { f.faults[i].dropsAppends = true; return true }},
		} {
			list = append(list, event{target.name + " " + do.name, func(f *fleet) bool {
				i := target.find(f)
				return i >= 0 && do.to(f, i)
			}})
		}
	}
	return list
}

// diskStalls returns the events in which a disk hangs for a while.
func diskStalls() []event {
	var list []event
	for _, target := range faultTargets {
		list = append(list, event{target.name + "'s disk hangs", func(f *fleet) bool {
			i := target.find(f)
			if i >= 0 {
				f.faults[i].diskHung = true
			}
			return i >= 0
		}})
	}
	return list
}

// clearFaults reconnects all VMs, restarts those that are powered off and unblocks hung disks.
func (f *fleet) clearFaults() {
	for i, p := range f.faults {
		if p.down {
			f.restart(f.replicas[i])
		}
		f.faults[i] = vmFaults{}
	}
}

// maxChanges bounds the membership changes that follow one event: a learner is added and then
// promoted, for each voter to replace.
const maxChanges = 8

// explore runs the fleet after an event, and tries every next event at once and after each
// membership change.
func (f *fleet) explore(t *testing.T, trace []string, left int) {
	f.exploreEvents(t, trace, left, append(faultEvents(), diskStalls()...))
}

// exploreEvents is explore with the next events to try.
func (f *fleet) exploreEvents(t *testing.T, trace []string, left int, events []event) {
	for n := range maxChanges {
		if f.problem != "" {
			t.Fatalf("%s: %s", strings.Join(trace, ", "), f.problem)
		}
		if left > 0 {
			f.exploreNext(t, trace, n, left, events)
		}
		if !f.untilMembersChange() {
			break
		}
	}
	if f.problem != "" {
		t.Fatalf("%s: %s", strings.Join(trace, ", "), f.problem)
	}
}

// exploreNext tries every one of the events as the next one after the trace.
func (f *fleet) exploreNext(t *testing.T, trace []string, changes, left int, events []event) {
	for _, ev := range events {
		c := f.clone()
		if ev.inject(c) {
			next := fmt.Sprintf("%d membership changes later %s", changes, ev.name)
			c.exploreEvents(t, append(trace[:len(trace):len(trace)], next), left-1, events)
		}
	}
}

// Guards against disk states from which the tolerated losses lose a committed change or leave no leader, after a few faults.
func TestLossToleranceExhaustively(t *testing.T) {
	cases := []struct{ vms, losses, depth int }{{3, 1, 2}, {4, 1, 2}, {5, 1, 1}, {5, 2, 1}, {6, 2, 1}}
	if testing.Short() {
		cases = cases[:1]
	}
	for _, c := range cases {
		known := &verifiedStates{}
		for _, first := range append(faultEvents(), diskStalls()...) {
			t.Run(fmt.Sprintf("%d VMs, %d losses, %s", c.vms, c.losses, first.name), func(t *testing.T) {
				t.Parallel()
				f := newFleet(c.vms, c.losses)
				f.verified = known
				f.settle(t)
				if first.inject(f) {
					f.explore(t, []string{first.name}, c.depth+*deeper-1)
				}
			})
		}
	}
}

// walks is the number of random walks of each TestLossToleranceOnRandomWalks test; manual runs
// use more.
var walks = flag.Int("walks", 6, "number of random walks in the loss tolerance tests")

// randomWalk injects many random events at random moments, also in the middle of a message
// exchange, a membership change or an election.
func (f *fleet) randomWalk(t *testing.T, seed uint64, steps int, all []event) {
	next := seededRandom(seed)
	var trace []string
	for range steps {
		ev := all[next(len(all))]
		if next(3) == 0 {
			ev = all[next(2)] // events of the whole fleet more often, else it stays partitioned
		}
		if ev.inject(f) {
			trace = append(trace, ev.name)
		}
		switch next(4) {
		case 0:
			f.untilMembersChange()
		case 1:
			left := next(40)
			f.pause = func() bool { left--; return left < 0 }
			f.tick()
			f.pause = nil
		default:
			for range next(30) {
				f.tick()
				f.proposeChange()
			}
		}
		require.Empty(t, f.problem, "seed %d: %s", seed, strings.Join(trace, ", "))
	}
}

// seededRandom returns a generator of numbers below n that depends only on the seed.
func seededRandom(seed uint64) func(n int) int {
	state := seed*2654435761 + 88172645463325252
	return func(n int) int {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		return int(state>>11) % n
	}
}

// Guards against the loss of committed changes by tolerated disk losses, in long random sequences from the bootstrap on.
func TestLossToleranceOnRandomWalks(t *testing.T) {
	sizes := []struct{ vms, losses int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {6, 2}, {8, 2}}
	if testing.Short() {
		sizes = sizes[:2]
	}
	for seed := range uint64(*walks) {
		size := sizes[seed%uint64(len(sizes))]
		t.Run(fmt.Sprintf("seed %d, %d VMs, %d losses", seed, size.vms, size.losses), func(t *testing.T) {
			t.Parallel()
			f := newFleet(size.vms, size.losses)
			f.randomWalk(t, seed+1, 40, faultEvents())
		})
	}
}

// Guards against loss tolerance that holds only while disks respond, in random sequences of faults and hung disks.
func TestLossToleranceOnRandomWalksWithHungDisks(t *testing.T) {
	sizes := []struct{ vms, losses int }{{3, 1}, {5, 2}, {6, 2}}
	if testing.Short() {
		sizes = sizes[:1]
	}
	for seed := range uint64(*walks) {
		size := sizes[seed%uint64(len(sizes))]
		t.Run(fmt.Sprintf("seed %d, %d VMs, %d losses", seed, size.vms, size.losses), func(t *testing.T) {
			t.Parallel()
			f := newFleet(size.vms, size.losses)
			f.randomWalk(t, seed+1, 40, append(faultEvents(), diskStalls()...))
		})
	}
}

// Guards against one hung disk, of the leader, a voter or a learner, that blocks all commits.
func TestHungDiskDoesNotBlockCommits(t *testing.T) {
	for _, size := range []struct{ vms, losses int }{{3, 1}, {4, 1}, {6, 2}} {
		for _, target := range faultTargets {
			t.Run(fmt.Sprintf("%d VMs, %s", size.vms, target.name), func(t *testing.T) {
				f := newFleet(size.vms, size.losses)
				f.settle(t)
				i := target.find(f)
				if i < 0 {
					t.Skip("no such VM in this fleet")
				}
				f.faults[i].diskHung = true
				const tickLimit = 30 // enough for a membership change, or for an election and a change
				before := f.replicas[f.leader()].log.Commit()
				for range tickLimit {
					f.tick()
					f.proposeChange()
				}
				leader := f.leader()
				require.GreaterOrEqual(t, leader, 0, "there is a leader")
				require.Greater(t, f.replicas[leader].log.Commit(), before+5)
				f.clearFaults()
				for range 3 {
					f.runSecond()
				}
				require.Empty(t, f.problem)
			})
		}
	}
}

// Guards against a slow repair after a VM whose disk was lost returns or is replaced.
func TestRepairCompletesWithinDeadline(t *testing.T) {
	// catchUpTicks are the deadline of 4 s.
	const catchUpTicks, darkTicks = 40, 10
	for _, size := range []struct{ vms, losses int }{{3, 1}, {4, 1}, {5, 2}, {8, 2}} {
		for _, target := range faultTargets[:3] {
			for name, lose := range map[string]func(*fleet, int) bool{"at its address": (*fleet).loseDiskOf, "at another": (*fleet).replaceVM} {
				t.Run(fmt.Sprintf("%d VMs, %s, back %s", size.vms, target.name, name), func(t *testing.T) {
					f := newFleet(size.vms, size.losses)
					f.settle(t)
					lost := []int{target.find(f), (target.find(f) + 1) % 3}[:size.losses]
					for _, i := range lost {
						f.faults[i].down = true
					}
					for range darkTicks {
						f.tick()
					}
					for _, i := range lost {
						require.True(t, lose(f, i))
						f.faults[i].down = false
					}
					for range catchUpTicks {
						f.tick()
					}
					require.Zero(t, f.lossesUsed)
					require.Empty(t, f.problem)
				})
			}
		}
	}
}
