// Package laburnumroles puts together the processes of a system that has its work
// split over two kinds of VM: gateways, which serve callers and keep nothing, and
// control VMs, which keep the state, hear the backend servers and the operators,
// and give the orders to engines.
//
// # Usage
//
//	control, err := laburnumroles.NewControl(settings, laburnumroles.WithLogger(logger))
//	err = control.Start(handler) // the platform's calls
//	…
//	control.Shutdown(ctx)
//
//	gateway, err := laburnumroles.NewGateway(settings, dialect, laburnumroles.WithLogger(logger))
//	err = gateway.Start(readyHandler)
//	…
//	gateway.Shutdown(ctx)
//
// The way of the data: backend servers announce themselves to a control VM, which
// tells the other control VMs and offers the news to all gateways (laburnumfeed). An
// operator's routes go through the replicated log (laburnumvoter) and from each
// control VM to the gateways the same way. The control VM that holds the lease
// (laburnumdirector) gives the orders to engines.
package laburnumroles
