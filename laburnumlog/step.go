package laburnumlog

// Event is an input to Step.
type Event interface{ isEvent() }

type (
	// Resume is the first event of a replica that starts from what its disk holds: it gives
	// what is known committed at once, not with the first tick.
	Resume struct{}
	// Tick says that one tick of the driver's clock has passed.
	Tick struct{}
	// Receive hands in a message from another replica.
	Receive struct{ Message Message }
	// Propose asks the leader to append commands, one entry each.
	Propose struct{ Data [][]byte }
	// ChangeMembers asks the leader for another configuration. When more than one
	// voter changes, the log goes there by way of a joint one.
	ChangeMembers struct{ Configuration Configuration }
	// Written says that all writes up to Seq are durable.
	Written struct{ Seq uint64 }
	// Compact hands in a snapshot of the state after an applied entry.
	Compact struct{ Snapshot Snapshot }
	// Bootstrap gives an empty replica its first configuration.
	Bootstrap struct{ Configuration Configuration }
	// HandOver asks the leader to let the voter that is furthest on take over.
	HandOver struct{}
)

func (Resume) isEvent()        {}
func (Tick) isEvent()          {}
func (Receive) isEvent()       {}
func (Propose) isEvent()       {}
func (ChangeMembers) isEvent() {}
func (Written) isEvent()       {}
func (Compact) isEvent()       {}
func (Bootstrap) isEvent()     {}
func (HandOver) isEvent()      {}

// Write is what must become durable, in the order of Seq, snapshot first.
// Entries replace all with the same or a higher index.
type Write struct {
	Seq      uint64
	Hard     HardState
	Entries  []Entry
	Snapshot *Snapshot
	// Reset says that the snapshot came from the leader: no entry written
	// before it is part of the log any more.
	Reset bool
	// After may be sent only once this write is durable.
	After []Message
	// Empty says that nothing is to be written: After only waits its turn.
	Empty bool
}

// Output is what one step asks of the driver.
type Output struct {
	Messages []Message
	Write    *Write
	// Install replaces the state machine before Committed is applied.
	Install   *Snapshot
	Committed []Entry
	// Accepted says that a Propose or ChangeMembers was appended, its first
	// entry at First; otherwise nothing was appended.
	Accepted bool
	First    uint64
	// Fault is set when the replicas' logs contradict each other, which no
	// schedule of losses explains: the driver stops the replica.
	Fault error
}

// Step takes one event. It is deterministic: equal logs and equal events give
// equal outputs.
func (l *Log) Step(ev Event) Output {
	l.out = Output{}
	l.after = nil
	switch ev := ev.(type) {
	case Tick:
		l.tick()
	case Receive:
		l.receive(ev.Message)
	case Propose:
		l.propose(ev.Data)
	case ChangeMembers:
		l.changeMembers(ev.Configuration)
	case Written:
		l.written(ev.Seq)
	case Compact:
		l.compact(ev.Snapshot)
	case Bootstrap:
		l.bootstrap(ev.Configuration)
	case HandOver:
		l.startTransfer()
	}
	l.advanceCommit()
	l.leaveJoint()
	l.emitCommitted()
	l.emitWrite()
	out := l.out
	l.out = Output{}
	return out
}

// send sends at once, unless the term is not durable yet.
func (l *Log) send(m Message) {
	if l.hardStateDirty() {
		l.sendDurable(m)
		return
	}
	l.out.Messages = append(l.out.Messages, l.stamp(m))
}

// sendDurable sends once all that the replica has written so far is durable.
func (l *Log) sendDurable(m Message) { l.after = append(l.after, l.stamp(m)) }

func (l *Log) stamp(m Message) Message {
	m.From = l.id
	m.Boot = l.boot
	if m.Term == 0 {
		m.Term = l.hard.Term
	}
	return m
}

func (l *Log) hardStateDirty() bool {
	return l.hard.Term != l.durableHard.Term || l.hard.Vote != l.durableHard.Vote
}

func (l *Log) emitWrite() {
	hard := l.hard.Term != l.emittedHard.Term || l.hard.Vote != l.emittedHard.Vote
	entries := l.entriesFrom(l.unwritten)
	changed := hard || len(entries) > 0 || l.newSnapshot
	if !changed && (len(l.after) == 0 || len(l.pending) == 0) {
		l.out.Messages = append(l.out.Messages, l.after...)
		return
	}
	l.seq++
	w := &Write{Seq: l.seq, Hard: l.hard, Entries: entries, After: l.after, Empty: !changed, Reset: l.reset}
	if l.newSnapshot {
		snapshot := l.snapshot
		w.Snapshot = &snapshot
	}
	last := l.LastIndex()
	l.pending = append(l.pending, pendingWrite{seq: l.seq, index: last, term: l.termAt(last), hard: l.hard})
	l.emittedHard = l.hard
	l.unwritten = last + 1
	l.newSnapshot, l.reset = false, false
	l.out.Write = w
}

func (l *Log) written(seq uint64) {
	for len(l.pending) > 0 && l.pending[0].seq <= seq {
		w := l.pending[0]
		l.pending = l.pending[1:]
		l.durableHard = w.hard
		if w.index > l.stable && w.index <= l.LastIndex() && l.termAt(w.index) == w.term {
			l.stable = w.index
		}
	}
}

func (l *Log) emitCommitted() {
	if l.commit <= l.applied {
		return
	}
	l.out.Committed = l.entriesBetween(l.applied+1, l.commit)
	l.applied = l.commit
}
