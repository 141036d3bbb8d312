// Package laburnummembership keeps what a VM knows of the other entry VMs and of
// the backend servers, and spreads it.
//
// # Usage
//
//	m := laburnummembership.New(loop, timers, peers, self, laburnummembership.WithSeeds(seeds))
//	m.OnChange(publishView) // on the control thread
//	m.Start()
//	err := m.Announce(ctx, announcement) // any goroutine: from the backends listener
//	view.VMs, view.Backends = m.VMs(), m.Backends() // control thread
//	m.Leave()
//
// The decisions are in a core without goroutines, network or clock: it takes a
// tick, a message or an announcement with the time and returns what to send.
//
// # What is spread, and how
//
// Each VM starts one exchange a tick with one other VM, in turn near (own zone) and
// far. The exchange is the probe too: an answer proves that the other is alive. Both
// messages carry news within a fixed number of bytes, facts first, so a node's cost
// does not grow with the fleet; what grows is how old the load of far
// backend servers is. What gossip missed is found by comparing digests and pulled.
//
// # Failures
//
// A VM that does not answer is probed through others; only if one of these says
// that it does not reach it either is it suspected, and only if it does not refute
// that with a higher incarnation is it down. So one broken link, in one direction or
// both, takes nobody down. A VM whose own clock shows that it was paused
// drops all it was about to conclude.
//
// Every backend server has one VM that speaks for it, among those that hear it
// directly. When that VM no longer hears it, it asks the others by a suspicion; one
// that does hear it takes over.
package laburnummembership
