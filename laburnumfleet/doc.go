// Package laburnumfleet runs a small fleet in one process: real entry VMs, each with
// its own loopback listeners and control thread, and stand-in engines, plain services
// and a weight store. Only the backend servers and the weight store are fakes; all
// parts communicate over TCP, as they do between machines. The quickstart, the load
// tool's experiments and the txtar sessions use it.
//
// # Usage
//
//	spec, catalogue, err := laburnumfleet.Load("examples/armor-pose/fleet.jsonc")
//	fleet, err := laburnumfleet.Start(ctx, spec, catalogue)
//	defer fleet.Close()
//	revision, err := fleet.Apply(ctx)
//	err = fleet.AwaitLoaded(ctx, revision) // until every model has a ready copy
//	fmt.Println(fleet.OperatorsAddresses())
package laburnumfleet
