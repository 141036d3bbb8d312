package laburnummembership

// newsQueue holds the keys of what is to be passed on. An item is sent a limited
// number of times, the newest first, and read from the tables only when it is sent,
// so that a message always carries the newest state.
type newsQueue struct {
	order []string
	sends map[string]int
}

func newNewsQueue() *newsQueue { return &newsQueue{sends: map[string]int{}} }

// push queues a changed item before all others.
func (q *newsQueue) push(key string) {
	if _, ok := q.sends[key]; !ok {
		q.order = append([]string{key}, q.order...)
	}
	q.sends[key] = 0
}

// pushBack queues a changed item behind the others: all get their turn even if
// the bytes never suffice for all.
func (q *newsQueue) pushBack(key string) {
	if _, ok := q.sends[key]; !ok {
		q.order = append(q.order, key)
	}
	q.sends[key] = 0
}

// take goes through the queue once. add tries to put an item into the message and
// tells what became of it.
func (q *newsQueue) take(limit int, add func(key string) taken) {
	waiting := q.order
	var kept, sent []string
	for i, key := range waiting {
		verdict := add(key)
		if verdict == takenFull {
			kept = append(kept, waiting[i:]...)
			break
		}
		if verdict == takenNot {
			kept = append(kept, key)
			continue
		}
		q.sends[key]++
		if verdict == takenGone || q.sends[key] >= limit {
			delete(q.sends, key)
			continue
		}
		sent = append(sent, key)
	}
	q.order = append(kept, sent...)
}

// taken is what became of an item offered to a message.
type taken int

const (
	takenSent taken = iota
	takenNot        // left for another message
	takenGone       // no longer there
	takenFull       // the message is full
)
