// Package laburnumfeed distributes state from control VMs to gateways and to each other by long
// polls: endpoint state of backend servers, the version of the routes, the control VMs.
//
// Every VM polls every control VM that it knows of for changes after a cursor; a gateway gets
// endpoint state from three of them. A poll is held until there is a change, and a VM that
// reconnects resumes from its cursor. Gossip would take several rounds, and a backend server that
// leaves must be known everywhere within two seconds.
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
// A VM has one poll open at each control VM, renewed each second: 544 a second with 68 gateways
// and 8 control VMs at rest. Routes are fetched from one control VM only. Changes are batched for
// a millisecond for each VM that polls and encoded once, so that a control VM sends at most a
// thousand answers a second.
package laburnumfeed
