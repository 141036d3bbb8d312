// Package laburnumroles assembles the processes of the two kinds of VM: gateways, which are stateless
// and serve callers, and control VMs, which hold the replicated state, serve heartbeats and operators'
// calls, and place models on engines.
//
// # Usage
//
//	control, err := laburnumroles.NewControl(settings, engines, decode, laburnumroles.WithLogger(logger))
//	err = control.Start(handler) // handler serves operators and backend servers
//	…
//	control.Shutdown(ctx)
//
//	gateway, err := laburnumroles.NewGateway(settings, dialect, laburnumroles.WithLogger(logger))
//	err = gateway.Start(readyHandler)
//	…
//	gateway.Shutdown(ctx)
//
// # Data flow
//
// Backend servers announce themselves to a control VM, which relays their heartbeats to the other
// control VMs and publishes endpoint state to all gateways (laburnumfeed). An operator's routes are
// committed to the replicated log (laburnumvoter) and published to gateways by each control VM. The
// control VM that holds the placement lease orders engines to load and unload (laburnumdirector).
package laburnumroles
