package laburnumtimer

import (
	"container/heap"
	"time"
)

// subscription is a scheduled function. With a period of 0 it runs once.
type subscription struct {
	due      time.Time
	sequence uint64 // orders subscriptions with equal due times
	period   time.Duration
	fn       func(now time.Time)
	index    int // in the heap; -1 if not in it
}

// schedule is a min-heap of subscriptions by due time.
type schedule []*subscription

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	if s[i].due.Equal(s[j].due) {
		return s[i].sequence < s[j].sequence
	}
	return s[i].due.Before(s[j].due)
}

func (s schedule) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index = i
	s[j].index = j
}

// Push implements heap.Interface.
func (s *schedule) Push(x any) {
	sub := x.(*subscription) //nolint:forcetypeassert // heap.Push is only called with subscriptions
	sub.index = len(*s)
	*s = append(*s, sub)
}

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*s = old[:len(old)-1]
	return last
}

// popDue removes and returns the earliest subscription if it is due. A periodic one
// stays, with its next due time.
func (s *schedule) popDue(now time.Time) (*subscription, bool) {
	if len(*s) == 0 || (*s)[0].due.After(now) {
		return nil, false
	}
	sub := (*s)[0]
	if sub.period == 0 {
		heap.Pop(s)
		return sub, true
	}
	sub.due = nextDue(sub.due, sub.period, now)
	heap.Fix(s, 0)
	return sub, true
}

// nextDue returns the next due time after now and skips missed ones. Otherwise, after a
// VM was frozen for a minute, a function with a period of a second would run 60 times
// in a row.
func nextDue(due time.Time, period time.Duration, now time.Time) time.Time {
	next := due.Add(period)
	if next.After(now) {
		return next
	}
	missed := now.Sub(due) / period
	return due.Add((missed + 1) * period)
}

func (s *schedule) remove(sub *subscription) {
	if sub.index >= 0 {
		heap.Remove(s, sub.index)
	}
}
