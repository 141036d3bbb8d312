package laburnumslotqueue_test

import (
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

// Guards against a queue that makes all answers late when twice as many requests arrive as can be
// served.
func TestOverloadedQueueServesMostAnswersInTime(t *testing.T) {
	inTime, late := overload(t, []int{1}, 20*time.Millisecond, 40*time.Millisecond, 20*time.Second)
	require.Greater(t, inTime[1], 450)
	require.Less(t, late[1], 50)
}

// Guards against refusals and reordering, which make answers late, when as many requests arrive as
// can be served.
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
