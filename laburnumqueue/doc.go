// Package laburnumqueue decides which waiting request goes next when a place
// becomes free, and which are given up.
//
// The load patterns it answers: a burst, a few callers that send most of the
// requests, long prompts among short ones, batch work beside interactive. Without
// it, first come first served lets one caller's thousand requests stand before
// another's one, and a long prompt before many short ones that could all have been
// in time; and requests wait on after their deadline, so that engines work on
// answers that come too late, and every later one is late too.
//
// Requests wait in flows: one for each owner, caller key, entry and size (short or
// long). Each flow's head has a virtual finish time, its cost in tokens added to
// where the flow stands; the lowest goes next. Owners get equal parts, and the keys
// of one owner equal parts of its part. A short request goes before a long one that
// came at the same time, but not for ever: virtual time moves on with the work done,
// so a long one's turn comes. Interactive goes before batch; one in sixteen places
// goes to batch when it waits, so that it does move.
//
// The queue is bounded. When it is full, the flow with the most waiting gives up its
// last, which is the newcomer itself if it belongs to that flow: a caller can fill
// the queue only with what nobody else wants. A request whose deadline has passed is
// given up at once.
//
// # Usage
//
//	queue := laburnumqueue.New(laburnumqueue.DefaultSize)
//	evicted := queue.Push(item)
//	for _, late := range queue.Expire(now) { … }
//	next := queue.Pop(func(i *laburnumqueue.Item) bool { return hasRoom(i) })
//
// A Queue is not safe for concurrent use.
package laburnumqueue
