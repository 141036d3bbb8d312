// Package laburnumquorum plans membership changes of the replicated log: which replica becomes
// a learner, when it becomes a voter, and which voter it replaces. It does no I/O and reads no
// clock; time comes as ticks since a member's last answer, in the leader's view.
//
// It handles a VM that lost its data folder and returns as a new replica, a voter that does not
// answer while another VM with a disk is available, and a log that started with fewer voters
// than needed to tolerate the losses in the settings.
//
// # Usage
//
//	planner := laburnumquorum.NewPlanner(laburnumquorum.Policy{Target: 3, ReplaceTicks: 24})
//	if change, ok := planner.Next(view); ok {
//		out := log.Step(laburnumlog.ChangeMembers{Configuration: change.To})
//	}
//
// The leader calls Next when a change is committed, when a replica has caught up or asks to
// join, and at each tick.
package laburnumquorum

//go:generate go tool -modfile=../tools/go.mod enumer -type=Cause -trimprefix=Cause -transform=kebab -output=cause_gen.go
