// Package laburnumvoter drives the replicated log, its disk and the state machine
// on the control thread, and puts commands through it from any VM.
//
// On a VM with a data folder it is a replica. A worker makes writes durable and
// posts an event when done, so that a slow disk stops acknowledgements but not
// heartbeats. On a VM without one it only forwards commands to the leader.
//
// What it guards against: a caller's command lost with the leader (Propose tries
// again; commands carry what makes a repetition harmless), a data folder that was
// lost or went back (it is a new instance, added again as a learner and counted
// only once it has caught up), and a disk that fails (the replica stops taking
// part at once and says so in its status).
//
// # Usage
//
//	voter, err := laburnumvoter.New(loop, timers, peers, self,
//		laburnumvoter.WithDataFolder("data"), laburnumvoter.WithVoters(voters))
//	voter.OnCatalogue(func(c laburnumlever.Catalogue) { … })
//	voter.Start()
//	result, err := voter.Propose(ctx, command)
package laburnumvoter
