// Package laburnumdirector gives the orders to model engines. Of all control VMs one
// does so at a time: the holder of a lease in the replicated log, under the lease's
// fencing number.
//
// # What it guards against
//
//   - Two owners that take turns: a new holder waits as long as a lease lasts before
//     its first order, and a holder looks at its lease and at a clock that goes on
//     while the VM is suspended before each order.
//   - An order whose answer is lost, or that is carried out seconds late: each order
//     names the number of orders that the engine must have accepted before, so of two
//     with one number at most one takes effect. An order of unknown outcome is sent
//     again with its number until the engine has taken it or something else in its
//     place; until then its model counts as held.
//   - An engine asked to hold more than it has: what counts is all that may be on the
//     engine, with what is on its way in and not yet surely out.
//   - The weight store overrun: a bucket that pays for each order that may load from
//     it, sent again or not.
//
// # Usage
//
//	director := laburnumdirector.New(loop, timers, voter, engines, self,
//		laburnumdirector.WithLease(3*time.Second))
//	director.OnOverlay(source.SetOverlay)
//	director.Start()
//	director.Post…  // records, routes, demand: see the methods
//	backends, err := director.Need(ctx, service, model, adapter)
package laburnumdirector
