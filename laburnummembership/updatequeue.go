package laburnummembership

import "slices"

// updateQueue holds the keys of updates to be gossiped. An update is sent a limited number of
// times and is read from the tables only when it is sent, so that a message always carries the
// latest state.
//
// The newest updates go first in every message until their sends are used up. In a burst (a
// cold start, a healed zone) the queue is longer than the byte budget, and in order of arrival
// a leaving backend server would be announced many seconds late. Updates starved by that are
// found by comparing digests.
type updateQueue struct {
	order []string // newest last
	sends map[string]int
}

func newUpdateQueue() *updateQueue { return &updateQueue{sends: map[string]int{}} }

// push queues a changed item as the newest.
func (q *updateQueue) push(key string) {
	if _, ok := q.sends[key]; ok {
		q.order = slices.DeleteFunc(q.order, func(k string) bool { return k == key })
	}
	q.order = append(q.order, key)
	q.sends[key] = 0
}

// contains tells whether an item is queued.
func (q *updateQueue) contains(key string) bool {
	_, ok := q.sends[key]
	return ok
}

// take goes through the queue once, newest first. add tries to put an item into the message and
// returns the result.
func (q *updateQueue) take(limit int, add func(key string) addResult) {
	var kept []string // newest first, reversed below
	i := len(q.order) - 1
	for ; i >= 0; i-- {
		key := q.order[i]
		result := add(key)
		if result == addFull {
			break
		}
		if result == addSent {
			q.sends[key]++
		}
		if result == addGone || q.sends[key] >= limit {
			delete(q.sends, key)
			continue
		}
		kept = append(kept, key)
	}
	slices.Reverse(kept)
	q.order = append(q.order[:i+1], kept...)
}

// addResult is the result of adding an item to a message.
type addResult int

const (
	addSent    addResult = iota
	addSkipped           // left for another message
	addGone              // no longer known
	addFull              // the message is full
)
