// Package laburnumreachability decides whether a VM has lost its own links to the backend servers, or whether the
// servers have failed. It needs no network: the caller reports what it sees and makes the probes.
//
// # Evidence
//
// From one VM, a server that is down and a link that is down look alike. Two observations raise a suspicion:
//
//   - Connections to two servers or more failed (refused, reset, timed out) within suspicionTime, and nothing was
//     received since on a connection opened after the first failure. Connections from before prove nothing: they
//     may live on while new ones are refused.
//   - Two servers or more owe answers, and nothing at all was received for silenceTime: open connections that hang.
//
// A suspicion is verified by probes of a few servers, each directly and through another VM. The links are lost if no
// server answers directly and two answer the other VM; a server that answers neither has failed itself. Without
// another VM the links count as lost if none of several servers answers and no open connection does. Servers of the VM's own availability zone should be
// among them: a zone that is cut off still reaches those.
//
// While the links are doubted, which is until a server answers directly, a VM is no witness for others: in a zone that is cut off
// its VMs would confirm to each other that all servers have failed.
//
// Once the links are lost, servers are probed directly until two of them answer, or one where no other VM could be asked.
//
// Links to some servers may be lost while others work. A server that fails twice in a row is probed in the same way; if
// it answers another VM alone, connections to it make a detour until it answers directly again.
//
// # Usage
//
//	monitor := laburnumreachability.New()
//	monitor.Failed(address, now)
//	if failed, ok := monitor.Suspicion(servers, now); ok {
//		// probe the failed servers, and others up to laburnumreachability.ProbedServers
//		monitor.Verified(probes, servers, now)
//	}
//	if monitor.Lost() { … }
//
//	detours := laburnumreachability.NewDetours()
//	if detours.Failed(address, now) {
//		// probe the server, directly and through another VM
//		open := detours.Probed(probe, now)
//	}
//	for _, address := range detours.Due(n, now) {
//		// probe it directly; if it answers:
//		detours.Close(address)
//	}
//
// Neither a Monitor nor Detours are safe for concurrent use.
package laburnumreachability
