// Package laburnumdispatch puts the decisions under load together: what is let in
// (laburnumadmission), what waits and for how long (laburnumqueue), where work goes
// (laburnumrouter) and what is tried again (laburnumretry).
//
// The load pattern it answers: saturation. Without a queue on this side of the
// engines, work piles up inside them where nobody can reorder it or give it up, and
// every answer comes late; a fleet at twice its capacity then answers nearly nothing
// in time. A request is sent only to a server with a free place as far as this VM can
// tell; else it waits here, in a fair order, until its deadline. One whose turn can't
// come before its deadline, by the rate at which waiting work has lately been
// started, is refused when it comes: its caller can turn elsewhere at once.
//
// The deadline leaves a quarter of the class's first-token target for what comes
// after the wait. Waiting up to the target itself makes each request that waited
// long late by a little, and the engine's work on it useless. A class of batch work
// has a long target. Without a target it is defaultWait.
//
// # Usage
//
//	dispatcher := laburnumdispatch.New(zone, seed)
//	dispatcher.Update(index, share)
//	err := dispatcher.Submit(ticket, now) // ticket.Placed(), or it waits
//	…
//	dispatcher.EndAttempt(ticket, sample, now)
//	dispatcher.Finish(ticket, used, now)
//
// A Dispatcher is not safe for concurrent use. Wake functions run within its methods
// and must be short. Time is passed in.
package laburnumdispatch
