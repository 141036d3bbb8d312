// Package laburnumvoter runs a replica of the replicated log with its disk and state
// machine, and proposes commands from any VM.
//
// A VM with a data folder is a replica. A worker syncs writes and posts an event when
// done, so that a slow disk delays acknowledgements but not heartbeats. A VM without one
// forwards commands to the leader.
//
// # Failures
//
//   - The leader fails with a proposal under way: Propose retries; commands are idempotent.
//   - A data folder is lost or was restored from an older copy: the replica rejoins as a new
//     instance, a learner until it has caught up.
//   - The disk fails: the replica stops at once, and opens the folder again once it can.
//
// # Usage
//
//	voter, err := laburnumvoter.New(loop, timers, peers, self,
//		laburnumvoter.WithDataFolder("data"), laburnumvoter.WithVoters(voters))
//	voter.OnCatalogue(func(c laburnumlever.Catalogue) { … })
//	voter.Start()
//	result, err := voter.Propose(ctx, command)
package laburnumvoter
