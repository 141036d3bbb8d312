// Package laburnumquorum decides the members of the replicated log: which replica becomes a
// learner, when it becomes a voter, and which voter it replaces. It is pure; time comes as
// ticks of silence in the leader's view.
//
// It handles a VM that lost its data folder and comes back as a new instance, a voter that is
// silent while another VM with a disk is available, and a log that started with fewer voters
// than needed to tolerate the losses in the settings.
//
// # Usage
//
//	keeper := laburnumquorum.NewKeeper(laburnumquorum.Policy{Target: 3, ReplaceTicks: 24})
//	if change, ok := keeper.Next(view); ok {
//		out := log.Step(laburnumlog.ChangeMembers{Configuration: change.To})
//	}
//
// The leader calls Next when a change is committed, when a replica has caught up or asks to
// join, and at each tick.
package laburnumquorum

//go:generate go tool -modfile=../tools/go.mod enumer -type=Cause -trimprefix=Cause -transform=kebab -output=cause_gen.go
