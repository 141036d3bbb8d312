// Package laburnumdirector orders model engines to load and unload models. One control VM does so
// at a time: the holder of the placement lease. Each order carries the lease's fencing number.
//
// # Failures it guards against
//
//   - Two directors at once: a new lease holder delays its first order until the orders of the
//     previous one can no longer arrive. A holder checks its lease before each order, by a clock
//     that also runs while the VM is suspended.
//   - An order whose answer is lost, or that takes effect late: each order states how many orders
//     the engine must have accepted before it, so at most one of two orders with the same number
//     takes effect. An order of unknown outcome is retried with the same number until the engine
//     has accepted it or another one; until then its model counts as held.
//   - Overcommitted memory: a model counts as held while its load or unload may be in progress.
//   - Overload of the weight store: each load that may use the store takes a token from a bucket,
//     retries included.
//
// # Usage
//
//	director := laburnumdirector.New(loop, timers, voter, engines, self,
//		laburnumdirector.WithLease(3*time.Second))
//	director.OnOverlay(source.SetOverlay)
//	director.Start()
//	director.SetRecord(record) // also SetRoutes, SetGatewayReport, SetHeartbeat
//	backends, err := director.EnsureAdapter(ctx, request)
package laburnumdirector
