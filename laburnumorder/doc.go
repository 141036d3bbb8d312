// Package laburnumorder is the placement owner of one availability zone: it holds
// the zone's lease, claims the zone's model engines, keeps the ledger of their
// memory, and carries out the planner's moves by orders.
//
// # Usage
//
//	owner := laburnumorder.New(loop, timers, voter, laburnumorder.NewHTTPEngines(), views, self)
//	owner.Start()
//	defer owner.Close()
//
// Every entry VM runs an Owner; the one that the quorum grants the lease
// "zone/<zone>" orders, the others wait for it to be free.
//
// # How memory is never over-committed
//
// The Ledger counts, for each accelerator, what the engine's last inventory holds
// plus every order that may yet take effect. An order leaves the ledger only by an
// inventory that was read later than the order can arrive, or when it surely never
// left this VM; never because of a timeout. Reports lag, so the ledger never reads
// them: they only hint that an inventory should be read.
//
// Engines that check fencing numbers are claimed first: the claim raises their
// number and reads the inventory in one step, so that no order of an earlier owner
// can take effect after it. Each order and claim has a number of its own, made of
// the lease's number and a count (see Number), so an owner can also rule out
// its own lost orders, without a quorum. An owner that is cut off goes on with
// such engines: a rival has a higher lease number, and from its claim on the orders
// of this one are refused.
//
// Engines that do not check are ordered only under a live lease. The intent is
// committed first, the lease's time is checked just before the send, with a margin,
// and a new owner waits until the last order of an earlier one has either arrived
// or can't any more. Orders under way that long after all, as from a VM that is
// frozen between that check and the write to the socket, are what such engines
// can't be guarded against; docs/design/orders.md says what is left of it.
package laburnumorder
