package laburnummembership

import "slices"

// updateQueue holds the keys of what is to be passed on. An item is sent a limited
// number of times and read from the tables only when it is sent, so that a message
// always carries the newest state.
//
// The newest facts go first, every time, until their sends are used up: in a burst
// (a cold start, a healed zone) the queue is longer than the bytes allow, and a leaving
// that waited its turn behind it would come many seconds late. What is starved by
// that is found by the digests.
type updateQueue struct {
	order []string // the newest last
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

// contains tells whether an item waits.
func (q *updateQueue) contains(key string) bool {
	_, ok := q.sends[key]
	return ok
}

// take goes through the queue once, the newest first. add tries to put an item into
// the message and tells what became of it.
func (q *updateQueue) take(limit int, add func(key string) addResult) {
	var kept []string // the newest first, until it is turned round below
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

// addResult is what became of an item offered to a message.
type addResult int

const (
	addSent    addResult = iota
	addSkipped           // left for another message
	addGone              // no longer there
	addFull              // the message is full
)
