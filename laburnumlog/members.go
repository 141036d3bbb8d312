package laburnumlog

import "slices"

// bootstrapTerm is the term of the bootstrap snapshot, which holds only the first
// configuration.
const bootstrapTerm = 1

func (l *Log) bootstrap(configuration Configuration) {
	if len(l.Configuration().Members) > 0 || l.LastIndex() > 0 {
		return
	}
	l.hard.Term = max(l.hard.Term, bootstrapTerm)
	l.install(Snapshot{Index: 1, Term: bootstrapTerm, Configuration: configuration})
	l.out.Install = nil
	l.resetTimeout()
}

// changeMembers appends the given configuration if at most one voter differs, otherwise the
// joint configuration that leads to it. Any majority of a configuration overlaps with any
// majority of the next one, so there is never a second leader or a conflicting commit. A
// change is accepted only when the previous one is committed and the leader has committed an
// entry of its own term.
//
// A voter is replaced by another in one joint change. Two separate changes would leave the log
// with no voter to spare for a while, either one voter short or with an even number that
// includes the failed one. Losing one disk then would destroy the majority for good, although
// the settings promise to tolerate it. In a joint configuration each voter set tolerates it.
func (l *Log) changeMembers(to Configuration) {
	from := l.Configuration()
	if l.role != Leader || l.transferTarget != "" || l.ChangePending() || !l.committedInOwnTerm() {
		return
	}
	if from.Joint() || to.Joint() || len(to.Voters()) == 0 {
		return
	}
	if from.voterChanges(to) > 1 {
		to = from.jointTo(to)
	}
	l.out.Accepted = true
	l.out.First = l.LastIndex() + 1
	l.appendConfiguration(to)
}

// leaveJoint appends the final configuration as soon as a joint one is committed, whichever
// leader started the change.
func (l *Log) leaveJoint() {
	if l.role != Leader || !l.Configuration().Joint() || l.ChangePending() {
		return
	}
	if l.transferTarget == "" && l.committedInOwnTerm() {
		l.appendConfiguration(l.Configuration().final())
	}
}

func (l *Log) committedInOwnTerm() bool {
	return l.commit > 0 && l.termAt(l.commit) == l.hard.Term
}

func (l *Log) appendConfiguration(c Configuration) {
	l.appendEntries(Entry{Index: l.LastIndex() + 1, Term: l.hard.Term, Kind: EntryConfiguration, Configuration: &c})
	l.syncProgress()
	l.replicateAll()
}

// compact stores a snapshot and drops the entries that it covers, except for the last retain
// entries.
func (l *Log) compact(s Snapshot) {
	if s.Index <= l.snapshot.Index || s.Index > l.applied {
		return
	}
	s.Term = l.termAt(s.Index)
	s.Configuration = l.ConfigurationAt(s.Index)
	if base := l.retainedFrom(s.Index); base > l.baseIndex {
		term := l.termAt(base)
		l.entries = slices.Clone(l.entries[base-l.baseIndex:])
		l.baseIndex, l.baseTerm = base, term
	}
	for len(l.configurations) > 1 && l.configurations[1].index <= l.baseIndex {
		l.configurations = l.configurations[1:]
	}
	l.snapshot = s
	l.newSnapshot = true
}

// retainedFrom returns the index of the last entry to drop for a snapshot at index.
func (l *Log) retainedFrom(index uint64) uint64 {
	base, size := index, 0
	for base > l.baseIndex && index-base < l.retain {
		size += l.bytesBetween(base, base)
		if size > retainedBytes {
			break
		}
		base--
	}
	return base
}

// ConfigurationAt returns the configuration in effect at an index that the log holds.
func (l *Log) ConfigurationAt(index uint64) Configuration {
	found := l.configurations[0].configuration
	for _, c := range l.configurations {
		if c.index <= index {
			found = c.configuration
		}
	}
	return found
}

// startTransfer picks the most up-to-date voter and asks it to campaign once it has the whole
// log. Until then the leader accepts no proposals or changes, for at most electionTicks.
func (l *Log) startTransfer() {
	if l.role != Leader || l.transferTarget != "" {
		return
	}
	var best ReplicaID
	for _, m := range l.Configuration().Voters() {
		p, ok := l.progress[m.ID]
		if ok && !m.Leaving && p.silentTicks < electionTicks && (best == "" || p.match > l.progress[best].match) {
			best = m.ID
		}
	}
	if best == "" {
		return
	}
	l.transferTarget = best
	l.elapsed = 0
	l.finishTransfer(best)
}

func (l *Log) finishTransfer(id ReplicaID) {
	if l.role == Leader && l.transferTarget == id && l.progress[id].match == l.LastIndex() {
		l.send(Message{Kind: MessageCampaignNow, To: id})
	}
}
