package laburnumlog

import (
	"encoding/binary"
	"slices"
)

// Digest appends the state that determines the replica's next steps. It leaves out the timeouts,
// as no time passes in the exhaustive runs.
func (l *Log) Digest(to []byte) []byte {
	for _, n := range []uint64{
		uint64(l.role), l.hard.Term, l.durableHard.Term, l.commit, l.applied, l.stable, l.unwritten,
		l.LastIndex(), l.termAt(l.LastIndex()), l.snapshot.Index, l.baseIndex, uint64(len(l.pending)),
	} {
		to = binary.AppendUvarint(to, n)
	}
	to = append(to, l.hard.Vote...)
	to = append(to, l.durableHard.Vote...)
	to = append(to, l.leader...)
	for _, m := range l.Configuration().Members {
		p := l.progress[m.ID]
		to = binary.AppendUvarint(to, p.match)
		to = binary.AppendUvarint(to, p.next)
		to = append(to, boolByte(l.votes[m.ID]), boolByte(p.probing), boolByte(p.paused), byte(p.inFlight), byte(p.boot))
	}
	return to
}

// Digest returns the fields that distinguish the message from others.
func (m Message) Digest() string {
	to := []byte(m.From)
	to = append(to, m.To...)
	for _, n := range []uint64{uint64(m.Kind), m.Term, m.Boot, m.Index, m.LogTerm, m.Commit, uint64(len(m.Entries)), m.Hint} {
		to = binary.AppendUvarint(to, n)
	}
	return string(slices.Concat(to, []byte{boolByte(m.Reject), boolByte(m.Force)}))
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}
