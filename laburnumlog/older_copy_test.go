package laburnumlog_test

import (
	"fmt"
	"testing"

	"laburnumlever/laburnumlog"

	"github.com/stretchr/testify/require"
)

// rollBacks returns the events in which a VM gets an older copy of its disk.
func rollBacks() []event {
	var list []event
	for _, target := range faultTargets {
		list = append(list, event{target.name + " gets an older copy of its disk", func(f *fleet) bool {
			i := target.find(f)
			return i >= 0 && f.rollBackDiskOf(i)
		}})
	}
	return list
}

// Guards against a voter on an older copy of its disk that elects one without a confirmed change, which then goes back.
func TestOlderCopyOfADiskElectsNobodyWithoutTheChange(t *testing.T) {
	f := newFleet(4, 1)
	f.settle(t)
	leader, behind, copied := f.leader(), f.nonLeaderVoter(0), f.nonLeaderVoter(1)
	f.faults[behind].down = true
	f.restart(f.replicas[copied])
	f.runTicks(8)
	require.Equal(t, leader, f.leader())
	changed := f.replicas[leader].log.Commit()
	require.Greater(t, changed, f.replicas[behind].log.LastIndex())
	f.faults[leader].down = true
	require.True(t, f.rollBackDiskOf(copied))
	f.faults[behind].down = false
	f.restart(f.replicas[behind])
	f.runTicks(recoverTicks)
	require.Empty(t, f.problem)
	f.clearFaults()
	f.runTicks(recoverTicks)
	require.Empty(t, f.problem)
	require.Greater(t, f.replicas[f.leader()].log.Commit(), changed)
}

// Guards against a vote, an acknowledgement or a campaign by a replica that can't know whether its disk is the newest.
func TestUnregisteredStartPromisesNothing(t *testing.T) {
	f := newFleet(4, 1)
	f.settle(t)
	r := f.replicas[f.nonLeaderVoter(0)]
	f.restart(r)
	term := r.log.Term() + 1
	last := r.log.LastIndex()
	leader := f.replicas[f.leader()].id
	for _, m := range []laburnumlog.Message{
		{Kind: laburnumlog.MessagePreVote, Index: last + 9, LogTerm: term},
		{Kind: laburnumlog.MessageVote, Index: last + 9, LogTerm: term, Force: true},
		{Kind: laburnumlog.MessageHeartbeat},
		{Kind: laburnumlog.MessageAppend, Index: last, LogTerm: r.log.TermAt(last)},
		{Kind: laburnumlog.MessageCampaignNow},
	} {
		m.From, m.To, m.Term = leader, r.id, term
		out := r.log.Step(laburnumlog.Receive{Message: m})
		require.Empty(t, out.Messages, m.Kind)
		require.Nil(t, out.Write, m.Kind)
	}
	for range secondTicks {
		for _, m := range r.log.Step(laburnumlog.Tick{}).Messages {
			require.Equal(t, laburnumlog.MessageStart, m.Kind)
		}
	}
	require.False(t, r.log.StartConfirmed())
}

// runTicks advances the fleet, with some proposals.
func (f *fleet) runTicks(n int) {
	for i := range n {
		f.tick()
		if i%3 == 0 {
			f.proposeChange()
		}
	}
}

// Guards against an older copy of a disk that loses a change or leaves no leader, at any moment and beside any other event.
func TestOlderCopiesExhaustively(t *testing.T) {
	known := &verifiedStates{}
	all := append(faultEvents(), rollBacks()...)
	for _, first := range all {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(4, 1)
			f.verified = known
			f.settle(t)
			if first.inject(f) {
				f.exploreEvents(t, []string{first.name}, 1+*deeper, rollBacks())
			}
		})
	}
}

// Guards against the same in long sequences of random events.
func TestOlderCopiesOnRandomWalks(t *testing.T) {
	sizes := []struct{ vms, losses int }{{4, 1}, {5, 1}, {6, 2}}
	if testing.Short() {
		sizes = sizes[:1]
	}
	for seed := range 4 * uint64(*walks) {
		size := sizes[seed%uint64(len(sizes))]
		t.Run(fmt.Sprintf("seed %d, %d VMs, %d losses", seed, size.vms, size.losses), func(t *testing.T) {
			t.Parallel()
			f := newFleet(size.vms, size.losses)
			f.verified = nil // checked as the walk goes on; every state would be one of some thousand
			f.randomWalk(t, seed+1, 80, append(append(faultEvents(), rollBacks()...), rollBacks()...))
		})
	}
}
