// Package laburnumnode assembles the process of one entry VM: it opens the listeners,
// connects the components to the control thread, publishes the view that the proxy
// reads, and shuts down gracefully.
//
// # Usage
//
//	node, err := laburnumnode.New(settings, laburnumnode.WithLogger(logger))
//	err = node.Start()
//	…
//	err = node.Shutdown(ctx) // graceful; cancel ctx to skip the drain
//
// # Data flow
//
// Backend servers announce themselves on the backends listener, and laburnummembership
// gossips their state to the other VMs. An operator's catalogue is committed to the
// replicated log (laburnumvoter) and distributed to every VM (laburnumdistribution). The
// control thread builds one immutable View from both; laburnumproxy routes callers'
// requests by it. The zone's owner (laburnumorder) compares it with the engines'
// inventories and sends load and unload orders.
package laburnumnode
