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
	if l.role != Leader || l.handOverTo != "" || l.ChangePending() || !l.ownTermCommitted() {
		return
	}
	if from.Joint() || to.Joint() || len(to.Voters()) == 0 {
		return
	}
	if from.changes(to) > 1 {
		to = from.towards(to)
	}
	l.out.Accepted = true
	l.out.First = l.LastIndex() + 1
	l.appendConfiguration(to)
}

// settleChange follows a joint configuration by what it leads to as soon as it is committed,
// whichever leader began it.
func (l *Log) settleChange() {
	if l.role != Leader || !l.Configuration().Joint() || l.ChangePending() {
		return
	}
	if l.handOverTo == "" && l.ownTermCommitted() {
		l.appendConfiguration(l.Configuration().settled())
	}
}

func (l *Log) ownTermCommitted() bool {
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

// startHandOver picks the voter that is furthest on and asks it to campaign once
// it has all; meanwhile nothing is taken, for at most one election timeout.
func (l *Log) startHandOver() {
	if l.role != Leader || l.handOverTo != "" {
		return
	}
	var best ReplicaID
	for _, m := range l.Configuration().Voters() {
		p, ok := l.progress[m.ID]
		if ok && !m.Leaving && p.silent < electionTicks && (best == "" || p.match > l.progress[best].match) {
			best = m.ID
		}
	}
	if best == "" {
		return
	}
	l.handOverTo = best
	l.elapsed = 0
	l.finishHandOver(best)
}

func (l *Log) finishHandOver(id ReplicaID) {
	if l.role == Leader && l.handOverTo == id && l.progress[id].match == l.LastIndex() {
		l.send(Message{Kind: MessageCampaignNow, To: id})
	}
}
