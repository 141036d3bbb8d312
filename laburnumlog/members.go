package laburnumlog

import "slices"

// bootstrapTerm is the term of the first snapshot, which holds only the first
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

// changeMembers appends another configuration, by itself when one voter changes, else the
// joint one that leads there. Any majority of one shares a voter with any of the next, so
// that no second leader or commit can arise. A second change waits until the first is
// committed, and none is taken before the leader has committed an entry of its own term.
//
// A voter is replaced by another in one joint step. In two steps, out first or in first,
// the log stands for a while with as many voters as it needs or with one that is gone among
// an even number: one lost disk then takes the majority away for good, though the
// settings promise to bear that. In the joint configuration each list by itself bears it.
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

// leaveJoint follows a joint configuration by what it leads to as soon as it is committed,
// whichever leader began it.
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

// compact takes a snapshot and drops the entries that it covers, but for the
// last few.
func (l *Log) compact(s Snapshot) {
	if s.Index <= l.snapshot.Index || s.Index > l.applied {
		return
	}
	s.Term = l.termAt(s.Index)
	s.Configuration = l.ConfigurationAt(s.Index)
	if s.Index > l.baseIndex+l.retain {
		base := s.Index - l.retain
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

// ConfigurationAt is the configuration in force at an index that is held.
func (l *Log) ConfigurationAt(index uint64) Configuration {
	found := l.configurations[0].configuration
	for _, c := range l.configurations {
		if c.index <= index {
			found = c.configuration
		}
	}
	return found
}

// startTransfer picks the voter that is furthest on and asks it to campaign once
// it has all; meanwhile nothing is taken, for at most one election timeout.
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
