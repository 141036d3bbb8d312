package laburnumlog

// Event is an input of Step.
type Event interface{ isEvent() }

type (
	// Resume is the first event of a replica that recovered from its disk. It returns the
	// entries known to be committed at once instead of at the first tick.
	Resume struct{}
	// Tick reports that one tick of the driver's clock has passed.
	Tick struct{}
	// Met reports a replica that runs on another VM. Unaware is set if its program does not know
	// of starts.
	Met struct {
		Start   Start
		Unaware bool
	}
	// Receive delivers a message from another replica.
	Receive struct{ Message Message }
	// Propose asks the leader to append commands, one entry each.
	Propose struct{ Data [][]byte }
	// ChangeMembers asks the leader to change to the given configuration. If more than one
	// voter differs, the change goes through a joint configuration.
	ChangeMembers struct{ Configuration Configuration }
	// Written reports that all writes up to Seq are durable.
	Written struct{ Seq uint64 }
	// Compact passes a snapshot of the state machine as of an applied entry.
	Compact struct{ Snapshot Snapshot }
	// Bootstrap gives an empty replica its first configuration.
	Bootstrap struct{ Configuration Configuration }
	// TransferLeadership asks the leader to transfer leadership to the most up-to-date voter.
	TransferLeadership struct{}
)

func (Resume) isEvent()             {}
func (Tick) isEvent()               {}
func (Met) isEvent()                {}
func (Receive) isEvent()            {}
func (Propose) isEvent()            {}
func (ChangeMembers) isEvent()      {}
func (Written) isEvent()            {}
func (Compact) isEvent()            {}
func (Bootstrap) isEvent()          {}
func (TransferLeadership) isEvent() {}

// Write is the state to make durable: writes in the order of Seq, the snapshot of each first.
// Entries replace all stored entries with the same or a higher index.
type Write struct {
	Seq      uint64
	Hard     HardState
	Entries  []Entry
	Snapshot *Snapshot
	// Reset is set when the snapshot came from the leader: entries written before it are no
	// longer part of the log.
	Reset bool
	// DeferredMessages are messages that may be sent only once this write is durable.
	DeferredMessages []Message
	// Empty is set when there is nothing to write and DeferredMessages only wait for earlier
	// writes.
	Empty bool
}

// Output is what the driver has to do after one step.
type Output struct {
	Messages []Message
	Write    *Write
	// Install, if set, replaces the state machine's state before Committed is applied.
	Install   *Snapshot
	Committed []Entry
	// Accepted is set when a Propose or ChangeMembers was appended, with its first entry at
	// index First. Otherwise nothing was appended.
	Accepted bool
	First    uint64
	// Superseded is set when the replica was started from an older copy of its disk. The driver
	// must start it again as a new replica with an empty disk.
	Superseded bool
	// Fault is set when the replicas' logs conflict in a way that no loss of messages
	// explains. The driver must stop the replica.
	Fault error
}

// Step processes one event. It is deterministic: the same state and event give the same
// output.
func (l *Log) Step(ev Event) Output {
	l.out = Output{}
	l.after = nil
	switch ev := ev.(type) {
	case Resume:
		l.announceAll()
	case Met:
		l.meet(ev)
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
	case TransferLeadership:
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

// send sends the message at once, or once the current term and vote are durable.
func (l *Log) send(m Message) {
	if l.hardStateDirty() {
		l.sendDurable(m)
		return
	}
	l.out.Messages = append(l.out.Messages, l.stamp(m))
}

// sendDurable sends the message once everything that the replica has written is durable.
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
	hard := l.hard.Term != l.emittedHard.Term || l.hard.Vote != l.emittedHard.Vote || l.startsChanged
	entries := l.entriesFrom(l.unwritten)
	changed := hard || len(entries) > 0 || l.newSnapshot
	if !changed && (len(l.after) == 0 || len(l.pending) == 0) {
		l.out.Messages = append(l.out.Messages, l.after...)
		return
	}
	l.seq++
	w := &Write{Seq: l.seq, Hard: l.hard, Entries: entries, DeferredMessages: l.after, Empty: !changed, Reset: l.reset}
	if l.newSnapshot {
		snapshot := l.snapshot
		w.Snapshot = &snapshot
	}
	last := l.LastIndex()
	l.pending = append(l.pending, pendingWrite{seq: l.seq, index: last, term: l.termAt(last), hard: l.hard})
	l.emittedHard = l.hard
	l.unwritten = last + 1
	l.newSnapshot, l.reset, l.startsChanged = false, false, false
	l.out.Write = w
}

func (l *Log) written(seq uint64) {
	for len(l.pending) > 0 && l.pending[0].seq <= seq {
		w := l.pending[0]
		l.pending = l.pending[1:]
		if l.role != Leader && (l.durableHard.Term != w.hard.Term || l.durableHard.Vote != w.hard.Vote) {
			l.elapsed = 0 // the answer to the vote leaves only now
		}
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
