// Package laburnumlog is the replicated log of the voters as a pure step
// function: an event goes in, and messages, writes and committed entries come
// out. It does no I/O, reads no clock and starts no goroutine, so that every
// schedule of messages, ticks, restarts and losses can be tried in a test.
//
// The protocol is a majority log: a leader elected for a term by a majority
// orders the entries, and an entry is committed once a majority of the voters has
// it on disk. Pre-vote keeps a replica that was cut off from raising the term;
// check-quorum makes a leader step down that hears no majority; learners receive
// the log without counting.
//
// A voter is added or removed by itself: two majorities that differ by one voter share
// one. A voter whose place goes to another is replaced in one step by way of a joint
// configuration, in which elections and commits need a majority of the voters before and of
// those to come; the leader follows it by the new list as soon as it is committed. So
// there is no moment at which the log bears fewer lost disks than either list does.
//
// # Usage
//
//	log := laburnumlog.New("vm-a/1f", laburnumlog.Recovered{}, laburnumlog.WithSeed(1))
//	out := log.Step(laburnumlog.Tick{})
//
// The driver sends out.Messages at once, makes out.Write durable in the order
// given, then sends its After messages and steps Written with its Seq. It
// applies out.Committed in order, after out.Install when that is set.
package laburnumlog

//go:generate go tool -modfile=../tools/go.mod enumer -type=MessageKind,EntryKind,Role,Ballot -transform=kebab -text -json -output=enums_gen.go
