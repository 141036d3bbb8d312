package laburnumwaiting_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumwaiting"
)

const (
	testWait = 700 * time.Millisecond
	// testFresh is how long an answer can still begin in time.
	testFresh = 225 * time.Millisecond
)

// overload plays callers that come at a steady rate to a model whose engines give a place
// at another, and counts those who got one while their answer could still be in time, and
// later.
func overload(t *testing.T, ranks []int, asked, places, length time.Duration) (inTime, late map[int]int) {
	t.Helper()
	w := &laburnumwaiting.List{}
	given := map[*laburnumwaiting.Request]bool{}
	inTime, late = map[int]int{}, map[int]int{}
	start := time.Unix(1_000_000, 0)
	nextAsked, nextPlace := start, start
	n := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		if !now.Before(nextAsked) {
			nextAsked = nextAsked.Add(asked)
			r := &laburnumwaiting.Request{
				Query: laburnumbalance.Query{Model: "m0"}, Rank: ranks[n%len(ranks)], Since: now, FreshTill: now.Add(testFresh),
			}
			r.Give = func(*laburnumbalance.Ticket) { given[r] = true }
			require.True(t, w.Add(r))
			n++
		}
		for _, old := range w.Requests() {
			if now.Sub(old.Since) > testWait {
				w.Remove(old)
			}
		}
		if now.Before(nextPlace) {
			continue
		}
		nextPlace = nextPlace.Add(places)
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
			case !given[n]:
			case now.After(n.FreshTill):
				late[n.Rank]++
			default:
				inTime[n.Rank]++
			}
		}
	}
	return inTime, late
}

// Fifty callers a second ask for what twenty-five places a second can serve. Strictly in
// turn each would wait as long as callers wait at most, so that all answers are late. Those
// who can still be in time go first, so nearly every place serves one in time.
func TestOverloadServesInTimeWhomItServes(t *testing.T) {
	inTime, late := overload(t, []int{1}, 20*time.Millisecond, 40*time.Millisecond, 20*time.Second)
	require.Greater(t, inTime[1], 450)
	require.Less(t, late[1], 50)
}

// A moment's burst is over before anybody has waited for long: nobody is turned away, and
// each is served in the order of coming.
func TestShortQueueIsServedInTurn(t *testing.T) {
	inTime, late := overload(t, []int{1}, 40*time.Millisecond, 40*time.Millisecond, 10*time.Second)
	require.GreaterOrEqual(t, inTime[1], 249)
	require.Zero(t, late[1])
}

// Urgent callers and others share the places of a model that more ask for than it serves.
// The urgent go first as long as they can be in time.
func TestUrgentGoFirstWhileTheyAreInTime(t *testing.T) {
	inTime, _ := overload(t, []int{0, 1}, 20*time.Millisecond, 40*time.Millisecond, 20*time.Second)
	require.Greater(t, inTime[0], 10*max(1, inTime[1]))
}
