// Package laburnumlimit keeps the limits that backend servers name: the requests per second that a
// server takes from all gateways together. It does no I/O and reads no clock.
//
// Load pattern: a server in need names a limit of a few requests a second, and several hundred
// gateways send to it. A limit is too small to be divided: most gateways would wait minutes for
// their part of it, while others don't need theirs.
//
//   - Each request to a limited server needs a slot. The slots of a server are the moments at which
//     its limit allows one more request. A control VM, the server's keeper, grants them in order.
//   - A control VM that grants slots while the server's keeper may be running grants StandInShare of
//     the limit. Gateways that reach no control VM send a share together, see Table.Share.
//   - Under contention a gateway that got more than its part of the slots must be content with those
//     that are due soon; the rest is left to gateways that got less.
//   - A gateway that got no slot is told when to ask again, and refuses until then by itself.
//   - A Table on each gateway contains the limits that its own answers and the control VMs told.
//
// # Usage
//
//	keeper := laburnumlimit.NewKeeper() // on a control VM
//	answer := keeper.Reserve(laburnumlimit.SlotRequest{…}, laburnumlimit.FullShare, now)
//
//	table := laburnumlimit.NewTable(vm) // on a gateway
//	table.Observe(laburnumlimit.Observation{…}, now)
//	if limit, ok := table.Limit(backend, incarnation); ok { askForSlot() }
//
// Neither is safe for concurrent use.
package laburnumlimit
