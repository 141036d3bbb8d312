// Package laburnumvoter runs a replica of the replicated log with its disk and state
// machine, and proposes commands from any VM.
//
// A VM with a data folder is a replica. Writes are synced on a separate goroutine, so that a
// slow disk delays acknowledgements but not heartbeats. A VM without a data folder forwards
// commands to the leader.
//
// # Failures
//
//   - The leader fails with a proposal in flight: Propose retries; commands are idempotent.
//   - A data folder is lost or was restored from an older copy: the replica rejoins as a new
//     instance, as a learner until it has caught up.
//   - The disk fails: the replica stops at once and retries opening the data folder.
//
// # Usage
//
//	voter, err := laburnumvoter.New(loop, timers, peers, self,
//		laburnumvoter.WithDataFolder("data"), laburnumvoter.WithVoters(voters))
//	voter.OnCatalogue(func(c laburnumlever.Catalogue) { … })
//	voter.Start()
//	result, err := voter.Propose(ctx, command)
package laburnumvoter
