// Package laburnumquorum decides who the voters of the log are to be: which replica
// is to catch up, when it counts, and which voter it takes the place of. It does no
// I/O and reads no clock; time comes as ticks of silence in what the leader sees.
//
// It answers three losses: a VM whose data folder is lost and that comes back as a new
// instance, a voter that stays silent while another VM with a disk is there, and a log
// that was founded by fewer voters than it needs to bear the losses of the settings.
//
// # Usage
//
//	keeper := laburnumquorum.NewKeeper(laburnumquorum.Policy{Target: 3, ReplaceTicks: 24})
//	if change, ok := keeper.Next(view); ok {
//		out := log.Step(laburnumlog.ChangeMembers{Configuration: change.To})
//	}
//
// The leader asks again when the change is committed, a replica has caught up or asks
// to join, and now and then in between.
package laburnumquorum

//go:generate go tool -modfile=../tools/go.mod enumer -type=Cause -trimprefix=Cause -transform=kebab -output=cause_gen.go
