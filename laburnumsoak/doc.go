// Package laburnumsoak is a fault-injection soak test: it runs the platform's real programs as
// separate processes on one machine, injects faults from outside, and checks what callers,
// operators and backend servers observe.
//
// A run has four control VMs, two gateways, and two backend servers for each of two services, on
// a private loopback network. Processes are killed, paused for seconds, terminated and restarted,
// one after the other and overlapping; one control VM loses its data folder or gets an older copy
// of it. Where the machine allows a process to be supervised (laburnumdiskfault), the disks of
// control VMs stall, are slow or full, or fail to sync. The links between the VMs and to the
// backend servers freeze in one or both directions, reset their connections, or delay traffic.
// Callers keep their connections open until the process at the other end exits. For each service one
// caller repeats a request at which backend servers crash, and one sends requests of which no two are alike but for a part at which they
// crash; they are restarted a second later. Backend
// servers name limits, change them and end them, and say that they are brittle: they fall over if they reject too much. A
// gateway loses its links to all backend servers, or to those of one service: they hang, are reset, or refuse new connections.
// The engines of one service run two software versions at a time: some are released anew again and again, the others keep theirs.
// They ask for rest, and some say in their answers that they leave before they announce it. Callers take up broken streams of
// it at any gateway.
// Servers of three more services have no other fault than that one, those of one service or all fall silent for about a second and
// go on, while gateways run for a quarter of the time only, and while the routes to them come, go and move to another service and their limits change.
// Some callers of theirs read with pauses of up to two seconds. The machines of another service are shared with others: the pace at which its
// engines work changes four times a second, and answers and health checks tell it. Gateways and control VMs of the new build have all decisions
// for shared machines switched on.
// Callers have the keys of client accounts; each change takes one key away and adds another, and one account sends all the time
// what exceeds its quota.
// Servers of two more services have no other fault than that they spoil a tenth of their answers: they send bytes that are no event or
// no chunk, events with a wrong id, ends that come early, or answers that are cut, encoded or another request's.
// The seed determines which faults are injected and when. Their effect also depends on the
// timing of the machine, so a failing seed may pass when repeated: its logs are kept.
//
// The invariants checked during the run: a non-idempotent request runs at most once; a request
// refused as not run did not run, and an answered one did; streams deliver each event once and in
// order and nothing else but comments, and a stream that ends as complete is complete; an answer of one piece is the one that a server
// made; a read of the manifest returns no version
// older than those acknowledged before the read was sent; no process of the system exits on its
// own; no other request is refused as one that crashes backend servers; a request runs for the account of its key, which
// is not passed on, not with a key that was taken away longer than the revoke time before, and not beyond the quota. After the run, a change must
// be acknowledged and read back, callers must be served, and all gateways must refuse the crashing
// requests, which run at most three times more. A backend server that then names a limit must get no more than
// one and a half times as much; requests are refused only where all servers are limited, and then as
// such; each gateway gets a part of a limit, and everything is served once it has ended. A gateway that has lost its links to all
// backend servers, or to those of one service, serves first tries at least two thirds as often as the other one, and brittle servers that have more
// callers than room fall over at most twice. A stream has events of one software version only, and when a gateway is killed at least half
// of its streams go on at the other one. No gateway without a fault sends a server more than two requests while that rests, or any
// later than two seconds after the server told it that it leaves. Unless a gateway is killed or ends after its grace, no
// whole request to the servers that only fall silent goes without an answer or a refusal, and none of their answers is cut; a slow reader's may
// be if a gateway's log says that it ended that for want of memory, and one that ends as complete is complete. At most three
// requests reach one of them later than half a second after their callers have left.
//
// With disk faults, a control VM then loses its folder while all other VMs are killed at the same moment; what was acknowledged must
// be read back, and changes and callers served.
//
// With an earlier build's program, each start of a VM runs either build, so that both share the fleet, its log and its data; all
// VMs are restarted with the newer one before the checks after the run.
//
// # Usage
//
//	report, err := laburnumsoak.Run(ctx, laburnumsoak.Config{
//		Program: program, Folder: folder, Seed: 7, Length: 15 * time.Second,
//	})
//	// report.Violations lists what did not hold; the logs are in the folder.
package laburnumsoak
