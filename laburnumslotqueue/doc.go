// Package laburnumslotqueue is a priority queue of requests that wait for a slot on a backend
// server. It does no I/O and reads no clock.
//
// Load pattern: for a few seconds more requests arrive for a model than its engines can serve. In
// a first-in, first-out queue every request would then wait until it nearly times out, and almost
// all answers would start late. Here slots go first to requests whose answer can still start in
// time, by priority and then by arrival.
//
// Load pattern: one client account sends many times its usual, within its quota. Its requests are then most of the queue, and
// the others' wait behind them. So an account that surges comes last within a priority, and fills half of the queue at most.
// Accounts that are large as usual don't surge: an order by account costs answers that start in time.
//
// # Usage
//
//	var queue laburnumslotqueue.Queue
//	ok := queue.Push(&laburnumslotqueue.Request{Query: query, Arrived: now, OnTimeUntil: until, Admit: admit})
//	queue.Serve(now, reserve) // whenever a slot may be free
//
// A Queue is not safe for concurrent use.
package laburnumslotqueue
