// Package laburnumwaiting is a priority queue of requests that wait for a slot on a backend
// server. It is pure.
//
// Load pattern: for a few seconds more requests arrive for a model than its engines serve.
// First in, first out would let every request wait as long as the longest wait is, so that
// nearly all answers begin late. Slots go first to requests whose answer can still begin in
// time, by priority and then by arrival.
//
// # Usage
//
//	var queue laburnumwaiting.Queue
//	ok := queue.Push(&laburnumwaiting.Request{Query: query, Arrived: now, FreshUntil: until, Admit: admit})
//	queue.Serve(now, reserve) // whenever a slot may be free
//
// Calls must be serialised by the owner of the queue.
package laburnumwaiting
