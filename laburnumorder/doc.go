// Package laburnumorder implements the placement owner of one availability zone. An
// Owner holds the zone's lease, claims the zone's model engines, accounts for their
// memory in a Ledger and sends load and unload orders for the planner's moves.
//
// # Usage
//
//	owner := laburnumorder.New(loop, timers, voter, laburnumorder.NewHTTPEngines(), views, self)
//	owner.Start()
//	defer owner.Close()
//
// Every entry VM runs an Owner. The one to which the quorum grants the lease
// "zone/<zone>" sends orders; the others keep trying to acquire the lease.
//
// # Preventing memory over-commitment
//
// The Ledger counts, for each accelerator, the engine's last inventory plus every
// order that may still take effect. An order is removed from the ledger only by an
// inventory that was read after the order could last have arrived, or when it was
// certainly never sent; a timeout alone never removes it. The ledger ignores load
// reports because they lag: a report only triggers a read of the inventory.
//
// Engines that check fencing numbers are claimed first. The claim raises the engine's
// fencing number and reads its inventory in one step, so that no order of an earlier
// owner can take effect afterwards. Each order and claim has its own number, composed
// of the lease's number and a count (see FencingNumber), so that an owner can also rule
// out its own lost orders without a quorum. An owner that is cut off from the quorum
// continues to order such engines: a new owner has a higher lease number, and once it
// has claimed an engine, the engine refuses orders of the old owner.
//
// Engines that do not check fencing numbers are ordered only under a live lease. The
// intent is committed first, the lease's remaining time is checked with a margin just
// before the send, and a new owner waits until the last order of an earlier owner has
// either arrived or can no longer arrive. These engines are not protected from an order
// that is delayed for longer than that, for example when a VM is frozen between the
// check and the write to the socket; docs/design/orders.md describes this remaining risk.
package laburnumorder
