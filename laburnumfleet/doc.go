// Package laburnumfleet runs a whole small fleet in one process: real entry VMs,
// each with its own listeners on loopback and its own control thread, beside
// stand-in engines, plain services and a weight store. The quickstart, the load
// tool's experiments and sessions use it; nothing in it is simulated but the
// backend servers, and all parts talk over TCP as they do between machines.
//
// # Usage
//
//	spec, err := laburnumfleet.Load("examples/armor-pose/fleet.jsonc")
//	fleet, err := laburnumfleet.Start(ctx, spec)
//	defer fleet.Close()
//	err = fleet.Apply(ctx)       // the spec's catalogue
//	err = fleet.AwaitLoaded(ctx) // until every model has a ready copy
//	fmt.Println(fleet.Operators())
package laburnumfleet
