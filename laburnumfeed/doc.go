// Package laburnumfeed distributes state from control VMs to gateways and to each other by long
// polls: endpoint state of backend servers, the version of the route table, and the control VMs.
//
// Every VM polls every known control VM for changes after a cursor; a gateway gets endpoint state
// from three of them. A poll returns when there is a change, or after a second without one. A VM
// that reconnects resumes from its cursor. Long polls were chosen over gossip, which takes several
// rounds: every VM must know within two seconds that a backend server is leaving.
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
// A VM keeps one poll open at each control VM and renews it every second: without changes, 68
// gateways and 8 control VMs make 544 polls a second. The route table is fetched from one control VM
// only. Changes are batched for one millisecond per polling VM and encoded once, which limits a
// control VM to a thousand answers a second.
package laburnumfeed
