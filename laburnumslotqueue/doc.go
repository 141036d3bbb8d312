// Package laburnumslotqueue is a priority queue of requests that wait for a slot on a backend
// server. It does no I/O and reads no clock.
//
// Load pattern: for a few seconds more requests arrive for a model than its engines can serve. In
// a first-in, first-out queue every request would then wait until it nearly times out, and almost
// all answers would start late. Here slots go first to requests whose answer can still start in
// time, by priority and then by arrival.
//
// # Usage
//
//	var queue laburnumslotqueue.Queue
//	ok := queue.Push(&laburnumslotqueue.Request{Query: query, Arrived: now, OnTimeUntil: until, Admit: admit})
//	queue.Serve(now, reserve) // whenever a slot may be free
//
// A Queue is not safe for concurrent use.
package laburnumslotqueue
