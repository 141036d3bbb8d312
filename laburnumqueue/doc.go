// Package laburnumqueue is a bounded, fair priority queue of requests that wait for a slot on
// a backend server. It decides which request gets the next free slot and which requests are
// evicted or expire.
//
// It is designed for bursts, for a few callers that send most of the requests, for long
// prompts among short ones and for batch requests beside interactive ones. With first come,
// first served, a thousand requests of one caller delay the one request of another, and a
// long prompt delays many short ones that could all have been on time. Requests would also
// stay queued after their deadline, so that engines work on answers that are too late and
// make all later ones late too.
//
// Requests are grouped in flows by owner, caller key, entry, priority and size (short or
// long). Each flow's head has a virtual finish time, the flow's virtual start time plus the
// head's cost in tokens; the lowest is next (weighted fair queueing). Owners get equal
// shares, and the keys of one owner equal parts of its share. A short request precedes a
// long one that arrived at the same time, but the long one is not starved, because virtual
// time advances with the work done. Interactive requests precede batch requests; every
// sixteenth slot goes to a queued batch request, so that batch work progresses.
//
// When the queue is full, the flow with the most queued requests loses its last one, which
// is the new request itself if it belongs to that flow. A caller can therefore fill only
// the part of the queue that nobody else uses. A request expires at its deadline.
//
// # Usage
//
//	queue := laburnumqueue.New(laburnumqueue.DefaultSize)
//	evicted := queue.Push(item)
//	for _, late := range queue.Expire(now) { … }
//	next := queue.Pop(func(i *laburnumqueue.Item) bool { return hasSlot(i) })
//
// A Queue is not safe for concurrent use.
package laburnumqueue
