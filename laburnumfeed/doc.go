// Package laburnumfeed brings what control VMs know to the gateways and to each
// other: backend servers, the version of the routes, who the control VMs are.
//
// Every VM asks every control VM that it knows for what is newer than the cursor
// it holds. The question waits at the control VM until there is something, so news
// is on its way within a moment of being learned, and a VM that lost its link asks
// again with its old cursor and misses nothing. A push over a gossip's rounds
// would take several of their periods; a backend server that leaves has two
// seconds.
//
// # Usage
//
//	source := laburnumfeed.NewSource(peers, boot)   // on a control VM
//	source.SetRecord(record)
//
//	follower := laburnumfeed.NewFollower(peers, self, seeds, sink)  // everywhere
//	follower.Start()
//
// # Cost
//
// A VM holds one question open at each control VM: with 68 gateways and 8 control
// VMs, 544 questions a second at most when nothing happens. The routes themselves
// are fetched from one control VM only.
package laburnumfeed
