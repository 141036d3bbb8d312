// Package laburnummembership tracks the entry VMs and the backend servers and spreads
// their state among the entry VMs by gossip.
//
// # Usage
//
//	m := laburnummembership.New(loop, timers, peers, self, laburnummembership.WithSeeds(seeds))
//	m.OnChange(publishView) // on the control thread
//	m.Start()
//	err := m.Announce(ctx, announcement) // any goroutine: from the backends listener
//	view.VMs, view.Backends = m.VMs(), m.Backends() // control thread
//	m.LeaveFleet()
//
// All decisions are made in a core without goroutines, network or clock: it is given a
// tick, a message or an announcement with the time, and queues the messages to send.
//
// # Gossip
//
// At each tick a VM starts one exchange with another VM, alternating between VMs of its
// own zone and all VMs. The exchange is also the probe: an answer proves that the other VM
// is alive. Both messages carry updates within a fixed number of bytes, facts (the states
// of VMs and backend servers) before load. So the cost of a VM does not grow with the fleet;
// only the age of the load of distant backend servers does. VMs compare digests of their
// facts and pull what gossip missed.
//
// # Failure detection
//
// A VM that does not answer is probed indirectly through other VMs. It is suspected only if
// one of these reports that it can't reach it either, and marked as down only if it does
// not refute the suspicion with a higher incarnation. So a single broken link, in one
// direction or both, marks no VM as down. A VM whose clock shows that it was paused
// discards its pending probes and extends its deadlines by the pause.
//
// Each backend server has one publisher: a VM in direct contact with it that publishes its
// state. When the publisher loses contact it marks the backend server as suspected; another
// VM that is still in contact then takes over as publisher.
package laburnummembership
