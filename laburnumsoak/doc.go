// Package laburnumsoak runs the real programs of the users' platform as separate processes on
// one machine, disturbs them from outside for a while, and checks what callers, operators and
// backend servers see.
//
// A run has four control VMs, two gateways, and two backend servers of each of two services,
// on a loopback network of its own. Processes are killed, stopped for seconds, asked to end,
// and started again, in series and overlapping; one control VM loses its disk. The disks below
// control VMs hang, are slow or full, or fail to sync, where the machine lets a process be
// supervised (laburnumdiskfault). Between the VMs
// and before the backend servers stand links that fall silent, both ways or one, reset their
// connections, or are slow. Callers keep their connections open until the process at the other
// end is gone.
// The seed decides which faults come when; what they meet is up to the machine, so a seed that
// failed once need not fail again: its logs are kept.
//
// What must hold all the while: a request that must not run twice runs once at most; one that
// was refused as not run has not run, and one that was answered has; streams have each event
// once and in order, and those that end as complete are; no read of the manifest shows an older
// one than was acknowledged before it was sent; no process of the system ends unasked. In the end the newest that was acknowledged is
// read back and callers are served again.
//
// # Usage
//
//	report, err := laburnumsoak.Run(ctx, laburnumsoak.Config{
//		Program: program, Folder: folder, Seed: 7, Length: 15 * time.Second,
//	})
//	// report.Violations lists what did not hold; the logs are in the folder.
package laburnumsoak
