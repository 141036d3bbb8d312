package laburnumlog

func (l *Log) followLeader(m Message) {
	if l.role != Follower || l.leader != m.From {
		l.becomeFollower(l.hard.Term, m.From)
	}
	l.elapsed = 0
}

func (l *Log) onHeartbeat(m Message) {
	l.followLeader(m)
	l.commitTo(min(m.Commit, l.LastIndex()))
	l.send(Message{Kind: MessageHeartbeatAnswer, To: m.From})
}

func (l *Log) commitTo(index uint64) {
	if index > l.commit {
		l.commit = index
		l.hard.Commit = index
	}
}

func (l *Log) onAppend(m Message) {
	l.followLeader(m)
	if m.Index < l.commit {
		m = l.trimCommitted(m)
	}
	if l.out.Fault != nil {
		return
	}
	if m.Index > l.LastIndex() || l.termAt(m.Index) != m.LogTerm {
		l.send(Message{Kind: MessageAppendAnswer, To: m.From, Reject: true, Index: m.Index, Hint: l.conflictHint(m.Index), Commit: l.LastIndex()})
		return
	}
	for i, e := range m.Entries {
		if e.Index <= l.LastIndex() && l.termAt(e.Index) == e.Term {
			continue
		}
		if e.Index <= l.commit {
			l.out.Fault = &CommittedConflictError{Index: e.Index, LeaderTerm: e.Term, CommittedTerm: l.termAt(e.Index)}
			return
		}
		if e.Index <= l.LastIndex() {
			l.truncate(e.Index)
		}
		l.appendEntries(m.Entries[i:]...)
		break
	}
	last := m.Index + uint64(len(m.Entries))
	l.commitTo(min(m.Commit, last))
	l.sendDurable(Message{Kind: MessageAppendAnswer, To: m.From, Index: last})
}

// trimCommitted removes the entries that are already committed on this replica, after checking
// that their terms match.
func (l *Log) trimCommitted(m Message) Message {
	for len(m.Entries) > 0 && m.Entries[0].Index <= l.commit {
		e := m.Entries[0]
		held := l.termAt(e.Index)
		if held != 0 && held != e.Term {
			l.out.Fault = &CommittedConflictError{Index: e.Index, LeaderTerm: e.Term, CommittedTerm: held}
		}
		m.Entries = m.Entries[1:]
	}
	m.Index, m.LogTerm = l.commit, l.termAt(l.commit)
	return m
}

// conflictHint returns the last index that may match the leader's log. It skips all entries of
// the conflicting term; otherwise the leader would step back by one entry per round trip.
func (l *Log) conflictHint(index uint64) uint64 {
	if index > l.LastIndex() {
		return l.LastIndex()
	}
	term := l.termAt(index)
	for index > l.commit && l.termAt(index) == term {
		index--
	}
	return index
}

func (l *Log) onSnapshot(m Message) {
	l.followLeader(m)
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index > l.commit {
		l.install(*s)
	}
	l.sendDurable(Message{Kind: MessageAppendAnswer, To: m.From, Index: l.commit})
}

// install replaces the log by the snapshot, unless the log already holds the snapshot's last
// entry; then it only advances the commit index.
func (l *Log) install(s Snapshot) {
	if s.Index <= l.LastIndex() && l.termAt(s.Index) == s.Term {
		l.commitTo(s.Index)
		return
	}
	l.snapshot = s
	l.newSnapshot = true
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.configurations = []configurationAt{{index: s.Index, configuration: s.Configuration}}
	l.commit, l.applied = s.Index, s.Index
	l.hard.Commit = s.Index
	l.stable, l.unwritten = s.Index, s.Index+1
	l.reset = true
	l.out.Install = &s
}
