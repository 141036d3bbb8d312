// Package laburnumnode puts one entry VM's process together: it listens, wires
// the parts to the control thread, publishes the view that traffic reads, and ends
// in order.
//
// # Usage
//
//	node, err := laburnumnode.New(settings, laburnumnode.WithLogger(logger))
//	err = node.Start()
//	…
//	err = node.Shutdown(ctx) // graceful; cancel ctx to end at once
//
// The way of the data: backend servers announce themselves to the backends
// listener; membership spreads what they say; an operator's catalogue goes through
// the replicated log (laburnumvoter) and from there to every VM (laburnumdistribution);
// the control thread builds one immutable View out of both and stores it; callers'
// requests read it in laburnumproxy. The zone's owner (laburnumorder) compares it
// with what the engines hold and sends orders.
package laburnumnode
