package laburnumlimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumlimit"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func limit(perSecond float64) laburnumlimit.Limit {
	return laburnumlimit.Limit{Backend: "i-1", Incarnation: 7, PerSecond: perSecond}
}

func ended() laburnumlimit.Limit {
	return laburnumlimit.Limit{Backend: "i-1", Incarnation: 7, Ended: true}
}

func newKeeper(t *testing.T, l laburnumlimit.Limit) *laburnumlimit.Keeper {
	k := laburnumlimit.NewKeeper()
	require.True(t, k.Report(laburnumlimit.Report{Limit: l}, start))
	return k
}

func ask(gateway int, l laburnumlimit.Limit, wait time.Duration) laburnumlimit.SlotRequest {
	return laburnumlimit.SlotRequest{
		Gateway: laburnumlever.VMID(fmt.Sprint("vm-", gateway)), Report: laburnumlimit.Report{Limit: l}, Wait: laburnumlever.Duration(wait),
	}
}

// Guards against slots closer together than the limit allows, except for two after a time without requests.
func TestSlotsFollowTheLimit(t *testing.T) {
	k := newKeeper(t, limit(2))
	var due []time.Duration
	for range 20 {
		if a := k.Reserve(ask(1, limit(2), time.Second), laburnumlimit.FullShare, at(time.Minute)); a.Granted {
			due = append(due, time.Duration(a.In))
		}
	}
	require.Equal(t, []time.Duration{0, 0, 500 * time.Millisecond, time.Second}, due)
}

// Guards against a stand-in that grants as much as the keeper it stands in for.
func TestStandInGrantsItsShare(t *testing.T) {
	k := newKeeper(t, limit(2))
	var due []time.Duration
	for range 20 {
		if a := k.Reserve(ask(1, limit(2), 2*time.Second), laburnumlimit.StandInShare, start); a.Granted {
			due = append(due, time.Duration(a.In))
		}
	}
	require.Equal(t, []time.Duration{0, 2 * time.Second}, due)
}

// Guards against a grant beyond the time that a request can wait, or without a time to ask again.
func TestNoSlotBeyondTheWait(t *testing.T) {
	k := newKeeper(t, limit(2))
	for range 2 {
		require.True(t, k.Reserve(ask(1, limit(2), time.Second), laburnumlimit.FullShare, start).Granted)
	}
	a := k.Reserve(ask(2, limit(2), 300*time.Millisecond), laburnumlimit.FullShare, start)
	require.False(t, a.Granted)
	require.Equal(t, 700*time.Millisecond, time.Duration(a.In))
}

// Guards against grants that a restarted keeper repeats long after it stopped.
func TestWaitIsBounded(t *testing.T) {
	k := newKeeper(t, limit(2))
	for range 100 {
		a := k.Reserve(ask(1, limit(2), time.Hour), laburnumlimit.FullShare, start)
		require.True(t, !a.Granted || time.Duration(a.In) <= laburnumlimit.MaxWait)
	}
}

// Guards against a late report that brings an old limit back.
func TestOlderReportIsIgnored(t *testing.T) {
	k := newKeeper(t, limit(2))
	require.True(t, k.Report(laburnumlimit.Report{Limit: limit(5)}, at(3*time.Second)))
	require.False(t, k.Report(laburnumlimit.Report{Limit: limit(2), Age: laburnumlever.Duration(2 * time.Second)}, at(4*time.Second)))
	require.True(t, k.Report(laburnumlimit.Report{Limit: ended(), Age: laburnumlever.Duration(500 * time.Millisecond)}, at(4*time.Second)))
	require.False(t, k.Report(laburnumlimit.Report{Limit: laburnumlimit.Limit{Backend: "i-1", Incarnation: 6, PerSecond: 9}}, at(5*time.Second)), "an earlier incarnation")
	l, ok := k.Limit("i-1")
	require.True(t, ok)
	require.True(t, l.Ended)
	a := k.Reserve(ask(1, limit(2), 0), laburnumlimit.FullShare, at(5*time.Second))
	require.True(t, a.Granted)
	require.True(t, a.Limit.Ended, "the gateway is told that the limit has ended")
}

// Guards against a raised limit that counts only after the slots granted before.
func TestHigherLimitCountsAtOnce(t *testing.T) {
	k := newKeeper(t, limit(0))
	for range 3 {
		k.Reserve(ask(1, limit(0), time.Second), laburnumlimit.FullShare, start)
	}
	require.True(t, k.Report(laburnumlimit.Report{Limit: limit(10)}, at(time.Millisecond)))
	require.True(t, k.Reserve(ask(1, limit(10), 100*time.Millisecond), laburnumlimit.FullShare, at(time.Millisecond)).Granted)
}

// Guards against a limit of 0 that nobody sees end, as no request is sent.
func TestLimitOfZeroLetsSomeRequestsThrough(t *testing.T) {
	k := newKeeper(t, limit(0))
	granted := 0
	for second := range 100 {
		if k.Reserve(ask(1, limit(0), time.Second), laburnumlimit.FullShare, at(time.Duration(second)*time.Second)).Granted {
			granted++
		}
	}
	require.Greater(t, granted, 5)
	require.Less(t, granted, 15)
}

// Guards against a gateway with few requests that gets no slot beside one with many.
func TestBusyGatewayLeavesSlotsToOthers(t *testing.T) {
	k := newKeeper(t, limit(4))
	granted := map[int]int{}
	for ms := 0; ms < 60_000; ms += 5 {
		now := at(time.Duration(ms) * time.Millisecond)
		if k.Reserve(ask(1, limit(4), 400*time.Millisecond), laburnumlimit.FullShare, now).Granted {
			granted[1]++
		}
		if ms%1000 == 0 && k.Reserve(ask(2, limit(4), 400*time.Millisecond), laburnumlimit.FullShare, now).Granted {
			granted[2]++
		}
	}
	require.Greater(t, granted[2], 40, "of 60")
	require.InDelta(t, 240, granted[1]+granted[2], 10)
}

// Guards against a keeper that gets more requests for slots than it can answer when many servers are limited.
func TestMoreGatewaysAskLessOften(t *testing.T) {
	retryIn := func(servers, gateways int) time.Duration {
		k := laburnumlimit.NewKeeper()
		longest := time.Duration(0)
		for server := range servers {
			l := laburnumlimit.Limit{Backend: laburnumlever.BackendID(fmt.Sprint("i-", server)), PerSecond: 2}
			k.Report(laburnumlimit.Report{Limit: l}, start)
			for gateway := range gateways {
				if a := k.Reserve(ask(gateway, l, 0), laburnumlimit.FullShare, start); !a.Granted {
					longest = max(longest, time.Duration(a.In))
				}
			}
		}
		return longest
	}
	require.Equal(t, 500*time.Millisecond, retryIn(1, 6), "until the next slot")
	require.InDelta(t, 100, 780/retryIn(1, 780).Seconds(), 1)
	require.InDelta(t, 5000, 60*780/retryIn(60, 780).Seconds(), 50)
	require.Equal(t, 30*time.Second, retryIn(210, 780))
}

// Guards against memory that grows with the number of servers, or is kept for ever.
func TestKeptLimitsAreBounded(t *testing.T) {
	k := laburnumlimit.NewKeeper()
	for i := range 10_000 {
		k.Report(laburnumlimit.Report{Limit: laburnumlimit.Limit{Backend: laburnumlever.BackendID(fmt.Sprint("i-", i)), PerSecond: 1}}, start)
	}
	require.Equal(t, 4096, k.Len())
	require.False(t, k.Reserve(ask(1, laburnumlimit.Limit{Backend: "i-9999"}, time.Second), laburnumlimit.FullShare, start).Granted, "an unknown server")
	require.Empty(t, k.Sweep(at(9*time.Minute)))
	require.Len(t, k.Sweep(at(11*time.Minute)), 4096)
	require.Zero(t, k.Len())
}

// Guards against slots granted of a server's earlier start that the start which has the identity now must wait for.
func TestSlotsOfAnEarlierStartAreForgotten(t *testing.T) {
	k := newKeeper(t, limit(1))
	request := laburnumlimit.SlotRequest{Report: laburnumlimit.Report{Limit: limit(1)}, Gateway: "g-1", Wait: laburnumlever.Duration(3 * time.Second)}
	for range 3 {
		k.Reserve(request, 1, start)
	}
	reborn := limit(1)
	reborn.Incarnation = 8
	require.True(t, k.Report(laburnumlimit.Report{Limit: reborn}, start))
	request.Limit = reborn
	a := k.Reserve(request, 1, start)
	require.True(t, a.Granted)
	require.Zero(t, a.In)
}
