// Package laburnumdispatch combines the decisions under load: which requests are admitted
// (laburnumadmission), which are queued and for how long (laburnumqueue), to which backend
// server they go (laburnumrouter) and which attempts are retried (laburnumretry).
//
// It is designed for saturation. If requests queue inside the engines, nobody can reorder
// or drop them there and every answer is late; a fleet at twice its capacity then answers
// almost nothing in time. A request is therefore sent only to a server that has a free
// slot as far as this VM can tell. Otherwise it waits here, in a fair order, until its
// deadline. A request that would be dequeued after its deadline, by the rate at which
// queued work was started recently, is refused on arrival, so that its caller can go
// elsewhere at once.
//
// The deadline leaves a quarter of the class's first-token target for the time after the
// queue. Waiting up to the target itself would make each request that waited long slightly
// late, and the engine's work on it useless. Classes for batch work have long targets. For
// a class without a target, defaultFirstTokenTarget applies.
//
// # Usage
//
//	dispatcher := laburnumdispatch.New(zone, seed)
//	dispatcher.Update(index, share, now)
//	err := dispatcher.Submit(ticket, now) // ticket.Assigned(), or it is queued
//	…
//	dispatcher.EndAttempt(ticket, sample, now)
//	dispatcher.Finish(ticket, used, now)
//
// A Dispatcher is not safe for concurrent use. Wake functions run within its methods and
// must be short. The current time is passed in.
package laburnumdispatch
