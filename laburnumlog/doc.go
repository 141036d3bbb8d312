// Package laburnumlog implements a Raft-style replicated log as a deterministic state
// machine: Step takes an event and returns messages, writes and committed entries. It does
// no I/O, reads no clock and starts no goroutine, so tests can explore any schedule of
// messages, ticks, restarts and disk losses.
//
// A leader, elected for a term by a majority of the voters, orders the entries. An entry is
// committed once a majority of the voters has it on disk. Pre-vote keeps a partitioned
// replica from raising the term. Check-quorum makes a leader step down when it hears from
// no majority. Learners receive the log but do not count toward any majority.
//
// A single voter is added or removed directly, because majorities of two configurations that
// differ by one voter always overlap. Replacing a voter goes through a joint configuration,
// in which elections and commits need a majority of both the old and the new voters. The
// leader appends the new configuration as soon as the joint one is committed. The log
// therefore never tolerates fewer lost disks than either configuration does.
//
// # Usage
//
//	log := laburnumlog.New("vm-a/1f", laburnumlog.Recovered{}, laburnumlog.WithSeed(1))
//	out := log.Step(laburnumlog.Tick{})
//
// The driver sends out.Messages at once and makes each out.Write durable, in the order in
// which they were returned. Once a write is durable, it sends the write's DeferredMessages
// and steps Written with the write's Seq. It installs out.Install, if set, and then applies
// out.Committed in order.
package laburnumlog

//go:generate go tool -modfile=../tools/go.mod enumer -type=MessageKind,EntryKind,Role,VoteResponse -transform=kebab -text -json -output=enums_gen.go
