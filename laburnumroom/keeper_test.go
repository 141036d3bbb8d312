package laburnumroom_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumroom"
)

const (
	testService = laburnumlever.ServiceName("assist")
	testFence   = 7
	batchRank   = 2
)

var start = time.Unix(1_000_000, 0)

func vm(i int) laburnumlever.VMID { return laburnumlever.VMID(fmt.Sprintf("10.0.0.%d", i)) }

// fleet is a keeper with gateways that report twice a second.
type fleet struct {
	keeper   *laburnumroom.Keeper
	now      time.Time
	sequence uint64
	level    laburnumroom.Level
	gateways int
}

func newFleet() *fleet {
	f := &fleet{keeper: laburnumroom.NewKeeper(), now: start, gateways: 4}
	f.keeper.Begin(testFence)
	return f
}

func report(sequence uint64, urgentShort int, accounts ...laburnumlever.AccountCost) laburnumlever.RoomReport {
	return laburnumlever.RoomReport{Incarnation: 1, Sequence: sequence, Span: laburnumlever.Duration(500 * time.Millisecond), Services: []laburnumlever.ServiceRoom{{
		Service: testService, Accounts: accounts, Ranks: []laburnumlever.RankRoom{
			{Rank: 0, Asked: 10, Served: 10 - urgentShort, Refused: urgentShort}, {Rank: batchRank, Asked: 10, Served: 10},
		},
	}}}
}

// run lets a time pass during which the given number of ten urgent requests get no slot.
func (f *fleet) run(d time.Duration, urgentShort int, accounts ...laburnumlever.AccountCost) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		f.sequence++
		for i := range f.gateways {
			f.keeper.Report(vm(i), report(f.sequence, urgentShort, accounts...), f.now)
		}
		for _, d := range f.keeper.Decide(f.now) {
			f.level = d.Level
		}
	}
}

// Guards against urgent work that misses its time beside a crowd of less urgent work that could wait.
func TestHeadroomRisesWhileUrgentRequestsAreShort(t *testing.T) {
	f := newFleet()
	f.run(5*time.Second, 0)
	require.True(t, f.level.IsZero(), "no slot is kept free in calm")
	f.run(time.Second, 4)
	require.InDelta(t, 0.5, f.level.Headroom(batchRank), 0.1, "half of the slots within a second")
	require.Zero(t, f.level.Headroom(0))
	f.run(10*time.Second, 4)
	require.InDelta(t, laburnumroom.MaxHeadroom, f.level.Headroom(batchRank), 1e-9, "a quarter is left")
	f.run(4*time.Second, 0)
	require.True(t, f.level.IsZero(), "no slot stays idle once the urgent work is served")
}

// Guards against less urgent work that is put off for the lack of slots of its own rank.
func TestRankDoesNotYieldToItself(t *testing.T) {
	f := newFleet()
	for i := range 20 {
		r := report(uint64(i+1), 0)
		r.Services[0].Ranks[1].Late, r.Services[0].Ranks[1].Served = 8, 2
		f.keeper.Report(vm(0), r, f.now)
		require.Empty(t, f.keeper.Decide(f.now))
		f.now = f.now.Add(500 * time.Millisecond)
	}
}

// Guards against the bulk of all requests being put off for two of a rare rank that found no slot.
func TestRareRankDoesNotPutOffTheBulk(t *testing.T) {
	f := newFleet()
	r := report(1, 0)
	r.Services[0].Ranks = []laburnumlever.RankRoom{
		{Rank: 0, Asked: 8, Served: 6, Refused: 2}, {Rank: 3, Asked: 200, Served: 200}, {Rank: 4, Asked: 20, Served: 20},
	}
	f.keeper.Report(vm(0), r, f.now)
	decisions := f.keeper.Decide(f.now)
	require.Len(t, decisions, 1)
	require.Zero(t, decisions[0].Level.Headroom(3))
	require.Positive(t, decisions[0].Level.Headroom(4), "the least urgent yield")
}

// Guards against counts that act twice, after those that replaced them, or after their gateway has gone.
func TestOnlyTheNewestReportOfALivingGatewayCounts(t *testing.T) {
	f := newFleet()
	f.gateways = 1
	f.run(time.Second, 0) // reports 1 and 2
	for _, late := range []laburnumlever.RoomReport{report(1, 9), report(2, 9), {}} {
		f.keeper.Report(vm(0), late, f.now)
		require.Empty(t, f.keeper.Decide(f.now.Add(500*time.Millisecond)))
	}
	restarted := report(1, 9)
	restarted.Incarnation = 2
	f.now = f.now.Add(time.Second)
	f.keeper.Report(vm(0), restarted, f.now)
	decisions := f.keeper.Decide(f.now)
	require.Len(t, decisions, 1, "a gateway that restarted counts anew")
	f.now = f.now.Add(2500 * time.Millisecond)
	decisions = f.keeper.Decide(f.now)
	require.Len(t, decisions, 1)
	require.Empty(t, decisions[0].Pressures, "the gateway has gone")
	require.Less(t, decisions[0].Level.Headroom(batchRank), 0.25)
}

// Guards against a few gateways that all serve a surging account first, as none of them sees the surge.
func TestSurgeOverAllGatewaysIsFound(t *testing.T) {
	f := newFleet()
	usual := []laburnumlever.AccountCost{{Account: "large", Cost: 500}, {Account: "other", Cost: 500}}
	f.run(30*time.Second, 0, usual...)
	require.Empty(t, f.level.Surging, "a large account is no surge")
	f.run(4*time.Second, 0, laburnumlever.AccountCost{Account: "other", Cost: 2500}, usual[0])
	require.Equal(t, []laburnumlever.AccountName{"other"}, f.level.Surging)
}

// Guards against a new holder that begins with the last one's levels, or whose levels gateways take for old ones.
func TestNewHolderStartsEmpty(t *testing.T) {
	f := newFleet()
	f.run(3*time.Second, 4)
	before := f.level
	f.keeper.Begin(testFence) // the same lease, lost and acquired again
	require.Empty(t, f.keeper.Decide(f.now))
	f.now = f.now.Add(time.Second)
	f.run(500*time.Millisecond, 4)
	require.Less(t, f.level.Headroom(batchRank), before.Headroom(batchRank))
	require.Greater(t, f.level.Sequence, before.Sequence)
}

// Guards against a level of a dead, paused or former holder that stays in force.
func TestLevelEndsWithoutRenewal(t *testing.T) {
	table := laburnumroom.NewTable()
	level := func(fence, sequence uint64, share float64) laburnumroom.Level {
		return laburnumroom.Level{
			Service: testService, Fence: fence, Sequence: sequence, Lifetime: laburnumlever.Duration(laburnumroom.Lifetime),
			Ranks: []laburnumroom.RankLevel{{Rank: batchRank, Headroom: share}},
		}
	}
	require.True(t, table.Apply(level(2, 5, 0.5), start))
	require.False(t, table.Apply(level(1, 9, 0.7), start), "of the holder before")
	require.False(t, table.Apply(level(2, 5, 0.7), start), "a duplicate")
	require.False(t, table.Apply(level(2, 6, 0.5), start.Add(2*time.Second)), "a renewal")
	require.Empty(t, table.Expire(start.Add(4*time.Second)))
	require.Len(t, table.Expire(start.Add(5*time.Second)), 1)
	require.Zero(t, table.Headroom(testService, batchRank))
	require.False(t, table.Apply(level(2, 6, 0.5), start.Add(6*time.Second)), "it does not come back")
	require.True(t, table.Apply(level(3, 1, 9), start.Add(6*time.Second)))
	require.InDelta(t, laburnumroom.MaxHeadroom, table.Headroom(testService, batchRank), 1e-9, "whatever it says, a quarter is left")
}
