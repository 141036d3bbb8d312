package laburnumslotqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumslotqueue"
)

const (
	testWait = 700 * time.Millisecond
	// testOnTime is how long after its arrival a request can still be answered in time.
	testOnTime = 225 * time.Millisecond
)

// overload pushes a request every asked interval and frees a slot every slots interval. It counts
// the requests admitted in time and late, by priority.
func overload(t *testing.T, priorities []int, asked, slots, length time.Duration) (inTime, late map[int]int) {
	t.Helper()
	w := &laburnumslotqueue.Queue{}
	admitted := map[*laburnumslotqueue.Request]bool{}
	inTime, late = map[int]int{}, map[int]int{}
	start := time.Unix(1_000_000, 0)
	nextRequest, nextSlot := start, start
	n := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		if !now.Before(nextRequest) {
			nextRequest = nextRequest.Add(asked)
			r := &laburnumslotqueue.Request{
				Query: laburnumbalance.Query{Model: "m0"}, Priority: priorities[n%len(priorities)], Arrived: now, OnTimeUntil: now.Add(testOnTime),
			}
			r.Admit = func(*laburnumbalance.Ticket) { admitted[r] = true }
			require.True(t, w.Push(r))
			n++
		}
		for _, old := range w.Requests() {
			if now.Sub(old.Arrived) > testWait {
				w.Remove(old)
			}
		}
		if now.Before(nextSlot) {
			continue
		}
		nextSlot = nextSlot.Add(slots)
		before := w.Requests()
		free := 1
		w.Serve(now, func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
			if free == 0 {
				return nil, laburnumbalance.Full
			}
			free--
			return &laburnumbalance.Ticket{Backend: laburnumlever.Heartbeat{Backend: "i-1"}}, laburnumbalance.Found
		})
		for _, n := range before {
			switch {
			case !admitted[n]:
			case now.After(n.OnTimeUntil):
				late[n.Priority]++
			default:
				inTime[n.Priority]++
			}
		}
	}
	return inTime, late
}

// Guards against a queue that makes all answers late when twice as many requests arrive as can be served.
func TestOverloadedQueueServesMostAnswersInTime(t *testing.T) {
	inTime, late := overload(t, []int{1}, 20*time.Millisecond, 40*time.Millisecond, 20*time.Second)
	require.Greater(t, inTime[1], 450)
	require.Less(t, late[1], 50)
}

// Guards against refusals and late answers when no more requests arrive than can be served.
func TestShortQueueIsServedInOrder(t *testing.T) {
	inTime, late := overload(t, []int{1}, 40*time.Millisecond, 40*time.Millisecond, 10*time.Second)
	require.GreaterOrEqual(t, inTime[1], 249)
	require.Zero(t, late[1])
}

// Guards against urgent requests that wait behind less urgent ones during overload.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	inTime, _ := overload(t, []int{0, 1}, 20*time.Millisecond, 40*time.Millisecond, 20*time.Second)
	require.Greater(t, inTime[0], 10*max(1, inTime[1]))
}

// hotAccount has one account send eight times its usual after a while, more than there are slots for, beside others that
// send what they always do. It returns which part of the requests was admitted from then on.
func hotAccount(t *testing.T, byAccount bool) (hot, others float64) {
	t.Helper()
	const accounts, hotTimes, usual = 5, 8, 30 * time.Second
	w := &laburnumslotqueue.Queue{}
	sent, admitted := [accounts]int{}, [accounts]int{}
	start := time.Unix(1_000_000, 0)
	free := 0.0
	for now := start; now.Before(start.Add(usual + 6*time.Second)); now = now.Add(25 * time.Millisecond) {
		surge := now.After(start.Add(usual))
		for account := range accounts {
			n := 1
			if account == 0 && surge {
				n = hotTimes
			}
			for range n {
				r := &laburnumslotqueue.Request{Query: laburnumbalance.Query{Model: "m0"}, Arrived: now, OnTimeUntil: now.Add(testOnTime), Cost: 1}
				if byAccount {
					r.Account = laburnumlever.AccountName(fmt.Sprint(account))
				}
				if surge {
					sent[account]++
					r.Admit = func(*laburnumbalance.Ticket) { admitted[account]++ }
				} else {
					r.Admit = func(*laburnumbalance.Ticket) {}
				}
				w.Arrived(r, now)
				w.Push(r)
			}
		}
		for _, old := range w.Requests() {
			if now.Sub(old.Arrived) > testWait {
				w.Remove(old)
			}
		}
		free = min(free+accounts+1, 2*accounts) // slots for the usual and a fifth
		w.Serve(now, func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
			if free < 1 {
				return nil, laburnumbalance.Full
			}
			free--
			return &laburnumbalance.Ticket{}, laburnumbalance.Found
		})
	}
	rest, restAdmitted := 0, 0
	for i := 1; i < accounts; i++ {
		rest, restAdmitted = rest+sent[i], restAdmitted+admitted[i]
	}
	return float64(admitted[0]) / float64(sent[0]), float64(restAdmitted) / float64(rest)
}

// Guards against callers who are refused because another account sends many times its usual.
func TestSurgingAccountDoesNotTakeTheSlotsOfOthers(t *testing.T) {
	hot, others := hotAccount(t, false)
	t.Logf("in order of arrival: %.2f of the account that surges, %.2f of the others", hot, others)
	hot, others = hotAccount(t, true)
	t.Logf("by account: %.2f of the account that surges, %.2f of the others", hot, others)
	require.Greater(t, others, 0.95, "there are slots for their usual")
	require.Greater(t, hot, 0.2, "it gets what the others leave")
}

// Guards against late answers of accounts that are large as usual: as long as none surges, requests are served in order of arrival.
func TestLargeAccountsAreServedInOrder(t *testing.T) {
	w := &laburnumslotqueue.Queue{}
	start := time.Unix(1_000_000, 0)
	var served []int
	for n := range 4000 { // a request each 25 ms, nine of ten by one account
		r := &laburnumslotqueue.Request{Arrived: start.Add(time.Duration(n) * 25 * time.Millisecond), Account: "large", Cost: 1}
		if n%10 == 5 {
			r.Account = "small"
		}
		w.Arrived(r, r.Arrived)
		if n >= 3990 {
			r.Admit = func(*laburnumbalance.Ticket) { served = append(served, n) }
			require.True(t, w.Push(r))
		}
	}
	w.Serve(start.Add(100*time.Second), func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
		return &laburnumbalance.Ticket{}, laburnumbalance.Found
	})
	require.IsIncreasing(t, served)
	require.Len(t, served, 10)
}

// Guards against small accounts that come last because two of their requests came close together.
func TestSmallAccountsDoNotSurgeByChance(t *testing.T) {
	w := &laburnumslotqueue.Queue{}
	start := time.Unix(1_000_000, 0)
	at := func(n int) time.Time { return start.Add(time.Duration(n) * 25 * time.Millisecond) }
	for n := range 4000 {
		w.Arrived(&laburnumslotqueue.Request{Account: "large", Cost: 1}, at(n))
	}
	var served []laburnumlever.AccountName
	for n, account := range []laburnumlever.AccountName{"small", "small", "large"} {
		r := &laburnumslotqueue.Request{Account: account, Cost: 1, Arrived: at(4000 + n)}
		r.Admit = func(*laburnumbalance.Ticket) { served = append(served, account) }
		w.Arrived(r, r.Arrived)
		require.True(t, w.Push(r))
	}
	w.Serve(at(4003), func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
		return &laburnumbalance.Ticket{}, laburnumbalance.Found
	})
	require.Equal(t, []laburnumlever.AccountName{"small", "small", "large"}, served)
}

// Guards against a queue that an account fills alone.
func TestSurgingAccountDoesNotFillTheQueue(t *testing.T) {
	w := &laburnumslotqueue.Queue{}
	queued := 0
	for range 1000 {
		r := &laburnumslotqueue.Request{Arrived: time.Unix(1_000_000, 0), Account: "hot", Cost: 1}
		w.Arrived(r, r.Arrived)
		if w.Push(r) {
			queued++
		}
	}
	require.Equal(t, 128, queued)
	require.True(t, w.Push(&laburnumslotqueue.Request{Account: "other"}))
}

// Guards against a request that may take a free slot, but waits since one before it must leave the slot to more urgent ones.
func TestRequestBehindOneThatLeavesHeadroomIsServed(t *testing.T) {
	w := &laburnumslotqueue.Queue{}
	var served []string
	for n, rank := range []int{2, 0} {
		r := &laburnumslotqueue.Request{Query: laburnumbalance.Query{Model: "m0", Rank: rank}, Priority: 2, Arrived: time.Unix(int64(n), 0)}
		r.Admit = func(*laburnumbalance.Ticket) { served = append(served, fmt.Sprint(rank)) }
		require.True(t, w.Push(r))
	}
	w.Serve(time.Unix(2, 0), func(q laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
		if q.Rank > 0 {
			return nil, laburnumbalance.Full
		}
		return &laburnumbalance.Ticket{}, laburnumbalance.Found
	})
	require.Equal(t, []string{"0"}, served)
}

// Guards against an account that surges over all gateways and is served first by each, as none of them sees the surge.
func TestAccountThatSurgesElsewhereComesLast(t *testing.T) {
	w := &laburnumslotqueue.Queue{}
	w.SetSurging("quotes", []laburnumlever.AccountName{"hot"})
	serve := func() (served []laburnumlever.AccountName) {
		for n, account := range []laburnumlever.AccountName{"hot", "other"} {
			r := &laburnumslotqueue.Request{Query: laburnumbalance.Query{Service: "quotes"}, Account: account, Arrived: time.Unix(int64(n), 0)}
			r.Admit = func(*laburnumbalance.Ticket) { served = append(served, account) }
			w.Arrived(r, r.Arrived)
			require.True(t, w.Push(r))
		}
		w.Serve(time.Unix(2, 0), func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
			return &laburnumbalance.Ticket{}, laburnumbalance.Found
		})
		return served
	}
	require.Equal(t, []laburnumlever.AccountName{"other", "hot"}, serve())
	w.SetSurging("quotes", nil)
	require.Equal(t, []laburnumlever.AccountName{"hot", "other"}, serve())
}

// Guards against a caller that returns as it was told to and waits behind all that came meanwhile.
func TestReturnedCallerIsServedByItsFirstArrival(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	w := &laburnumslotqueue.Queue{}
	var served []string
	push := func(name string, arrived, asked time.Time, model laburnumlever.ModelName) *laburnumslotqueue.Request {
		r := &laburnumslotqueue.Request{Query: laburnumbalance.Query{Model: model}, Arrived: arrived, Asked: asked, OnTimeUntil: arrived.Add(testOnTime)}
		r.Admit = func(*laburnumbalance.Ticket) { served = append(served, name) }
		require.True(t, w.Push(r))
		return r
	}
	last := push("new", start, time.Time{}, "m0")
	push("other", start, time.Time{}, "m1")
	push("returned", start.Add(time.Millisecond), start.Add(-3*time.Second), "m0")
	require.Equal(t, 1, w.Ahead(last, start.Add(time.Millisecond)))
	require.Zero(t, w.Ahead(last, start.Add(time.Second)), "what is late gets no slot before others")
	w.Serve(start.Add(time.Millisecond), func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
		return &laburnumbalance.Ticket{}, laburnumbalance.Found
	})
	require.Equal(t, []string{"returned", "new", "other"}, served)
}

// versions has new streams and ones that are taken up at the old software version wait for the slots of two versions, and returns
// which part of each was admitted. A stream is taken up every takenUpEvery.
func versions(t *testing.T, slotsOld, slotsNew time.Duration) (begun, takenUp float64) {
	t.Helper()
	const takenUpEvery = 40 * time.Millisecond
	w := &laburnumslotqueue.Queue{}
	start := time.Unix(1_000_000, 0)
	asked, admitted := map[laburnumlever.SoftwareVersion]int{}, map[laburnumlever.SoftwareVersion]int{}
	arrive := func(now time.Time, software laburnumlever.SoftwareVersion) {
		asked[software]++
		require.True(t, w.Push(&laburnumslotqueue.Request{
			Query: laburnumbalance.Query{Model: "m0", Software: software}, Arrived: now, OnTimeUntil: now.Add(testOnTime),
			Admit: func(*laburnumbalance.Ticket) { admitted[software]++ },
		}))
	}
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		arrive(now, "")
		if now.Sub(start)%takenUpEvery == 0 {
			arrive(now, "old")
		}
		for _, old := range w.Requests() {
			if now.Sub(old.Arrived) > testWait {
				w.Remove(old)
			}
		}
		free := map[laburnumlever.SoftwareVersion]int{}
		if now.Sub(start)%slotsOld == 0 {
			free["old"]++
		}
		if now.Sub(start)%slotsNew == 0 {
			free["new"]++
		}
		w.Serve(now, func(q laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
			for _, software := range []laburnumlever.SoftwareVersion{"old", "new"} {
				if free[software] > 0 && (q.Software == "" || q.Software == software) {
					free[software]--
					return &laburnumbalance.Ticket{}, laburnumbalance.Found
				}
			}
			return nil, laburnumbalance.Full
		})
	}
	return float64(admitted[""]) / float64(asked[""]), float64(admitted["old"]) / float64(asked["old"])
}

// Guards against streams that are lost, since new ones take the slots of the only version that can go on with them.
func TestStreamsTakenUpAreServedBeforeNewOnes(t *testing.T) {
	begun, takenUp := versions(t, 40*time.Millisecond, 40*time.Millisecond)
	require.Greater(t, takenUp, 0.95)
	require.InDelta(t, 0.25, begun, 0.01, "the slots of the new version")
}

// Guards against new streams that get no slot of one version, since one that waits finds the other version full.
func TestNewStreamsAreServedBesideAFullVersion(t *testing.T) {
	begun, _ := versions(t, 400*time.Millisecond, 10*time.Millisecond)
	require.Greater(t, begun, 0.95)
}
