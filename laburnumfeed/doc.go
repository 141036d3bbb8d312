// Package laburnumfeed brings what control VMs know to the gateways and to each
// other: backend servers, the version of the routes, who the control VMs are.
//
// Every VM asks every control VM that it knows for what is newer than the cursor
// it holds; a gateway asks three of them for backend servers too. The question
// waits at the control VM until there is something, so news is on its way within a
// moment of being learned, and a VM that lost its link asks again with its old
// cursor and misses nothing. A push over a gossip's rounds would take several of
// their periods; a backend server that leaves has two seconds.
//
// # Usage
//
//	source := laburnumfeed.NewSource(peers, timers, self) // on a control VM
//	source.SetRecord(record)
//
//	follower := laburnumfeed.NewFollower(peers, timers, self, seeds, sink) // everywhere
//	defer follower.Close()
//
// # Cost
//
// A VM holds one question open at each control VM: with 68 gateways and 8 control
// VMs, 544 questions a second at most when nothing happens. The routes themselves
// are fetched from one control VM only. News that follows closely is told together,
// after a millisecond for each VM that asks, and encoded once for all of them, so
// that a control VM gives a thousand answers a second at most.
package laburnumfeed
