// Package laburnumdirector orders model engines to load and unload models. One control VM does so
// at a time: the holder of the placement lease, under the lease's fencing number.
//
// # What it guards against
//
//   - Two owners: a new holder waits for a whole lease before its first order. A holder checks its
//     lease before each order, by a clock that counts suspensions of the VM.
//   - An order whose answer is lost, or that takes effect late: each order names the number of
//     orders that the engine must have accepted, so at most one of two with the same number takes
//     effect. An order of unknown outcome is retried under its number until the engine has
//     accepted it or another; its model counts as held until then.
//   - Memory overcommitted: a model counts as held while its load or unload may be in progress.
//   - Weight store overload: a token bucket is charged for each load that may use the store,
//     retries included.
//
// # Usage
//
//	director := laburnumdirector.New(loop, timers, voter, engines, self,
//		laburnumdirector.WithLease(3*time.Second))
//	director.OnOverlay(source.SetOverlay)
//	director.Start()
//	director.SetRecord(record) // also SetRoutes, SetNews, SetHeard
//	backends, err := director.Need(ctx, need)
package laburnumdirector
