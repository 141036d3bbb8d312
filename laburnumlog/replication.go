package laburnumlog

import "slices"

// progress is what a leader knows of one member.
type progress struct {
	match uint64 // known durable there
	next  uint64 // the next to send
	// probing sends one entry at a time until the place where the logs match
	// is found.
	probing         bool
	paused          bool // a probe or snapshot is under way
	snapshotIndex   uint64
	inFlight        int
	boot            uint64 // the highest boot heard of
	conflictingBoot uint64 // a boot heard of that is not later than the highest
	ackedBoot       uint64 // the boot that acknowledged match
	dataLost        bool
	unackedTicks    int // ticks since the last acknowledgement that brought something new
	silentTicks     int // ticks since any answer
	behindTicks     int // ticks for which it has lacked entries and acknowledged none
}

// probe starts over from the given index, keeping what is known for good.
func (p progress) probe(next uint64) progress {
	return progress{match: p.match, next: next, probing: true, silentTicks: p.silentTicks, behindTicks: p.behindTicks, boot: p.boot, conflictingBoot: p.conflictingBoot, ackedBoot: p.ackedBoot, dataLost: p.dataLost}
}

// observeBoot notes an answer, and tells whether it is from the latest start of the
// member.
func (p *progress) observeBoot(boot uint64) bool {
	if boot != p.boot && boot>>nonceBits <= p.boot>>nonceBits && p.boot != 0 {
		p.conflictingBoot = boot
		return false
	}
	p.conflictingBoot = 0
	p.boot = boot
	p.silentTicks = 0
	return true
}

// MemberProgress is what the leader knows of one member.
type MemberProgress struct {
	Match uint64
	// SilentTicks is how long the member has not answered.
	SilentTicks int
	// BehindTicks is how long it has lacked entries without acknowledging any.
	BehindTicks int
	// Boot is the highest that the member has answered with.
	Boot uint64
	// Older is another start that answered though it is not later: a late
	// message, or a disk that went back. Only the member can tell which.
	Older uint64
	// Lost tells that the member, since it was started again, lacks entries
	// that it had acknowledged before: its disk went back.
	Lost bool
}

// Progress returns what the leader knows of the member; false elsewhere.
func (l *Log) Progress(id ReplicaID) (MemberProgress, bool) {
	p, ok := l.progress[id]
	if id == l.id && l.role == Leader {
		return MemberProgress{Match: l.stable}, true
	}
	return MemberProgress{
		Match: p.match, SilentTicks: p.silentTicks, BehindTicks: p.behindTicks, Boot: p.boot, Older: p.conflictingBoot, Lost: p.dataLost,
	}, ok
}

// LossesBorne is how many more voters may be lost for good, disks and all, so that those
// left are still a majority. A leader counts only the voters that answer; others count
// all that are on the list. It is negative when a majority is gone already.
func (l *Log) LossesBorne() int {
	return l.Configuration().Spare(func(m Member) bool {
		p, ok := l.Progress(m.ID)
		return !ok || !p.Lost && p.SilentTicks < electionTicks
	})
}

// syncProgress makes the progress table follow the configuration.
func (l *Log) syncProgress() {
	old := l.progress
	l.progress = map[ReplicaID]progress{}
	for _, m := range l.Configuration().Members {
		if m.ID == l.id {
			continue
		}
		p, ok := old[m.ID]
		if !ok {
			p = progress{next: l.LastIndex(), probing: true}
			p.next = max(p.next, 1)
		}
		l.progress[m.ID] = p
	}
}

func (l *Log) tickLeader() {
	for id, p := range l.progress {
		p.silentTicks++
		p.unackedTicks++
		p.behindTicks++
		if p.match >= l.LastIndex() {
			p.behindTicks = 0
		}
		l.progress[id] = p
	}
	for _, m := range l.Configuration().Members {
		if m.ID != l.id {
			l.resend(m.ID)
		}
	}
	heard := func(m Member) bool { return m.ID == l.id || l.progress[m.ID].silentTicks < electionTicks }
	if !l.Configuration().HasMajority(heard) {
		// Check-quorum: without it a leader that is cut off would go on taking
		// commands that it can never commit.
		l.becomeFollower(l.hard.Term, "")
		return
	}
	if l.transferTarget != "" && l.elapsed >= electionTicks {
		l.transferTarget = ""
	}
	l.heartbeat()
}

// resend takes what is under way for lost when nothing was acknowledged for long.
func (l *Log) resend(id ReplicaID) {
	p := l.progress[id]
	wait := resendTicks
	if p.snapshotIndex > 0 {
		wait = snapshotResendTicks
	}
	if p.unackedTicks < wait || p.match >= l.LastIndex() || p.dataLost {
		return
	}
	next := p.next
	if !p.probing {
		next = p.match + 1
	}
	// A probe that was lost goes out again as it was: a member that was only
	// down while the leader was elected would otherwise be sent a snapshot.
	l.progress[id] = p.probe(next)
	l.replicate(id)
}

func (l *Log) heartbeat() {
	for _, m := range l.Configuration().Members {
		p, ok := l.progress[m.ID]
		if !ok {
			continue
		}
		l.send(Message{Kind: MessageHeartbeat, To: m.ID, Commit: min(l.commit, p.match)})
	}
}

func (l *Log) replicateAll() {
	for _, m := range l.Configuration().Members {
		if m.ID != l.id {
			l.replicate(m.ID)
		}
	}
}

func (l *Log) replicate(id ReplicaID) {
	for l.role == Leader && l.sendNext(id) {
		continue
	}
}

// sendNext sends one append or snapshot and tells whether another may follow.
func (l *Log) sendNext(id ReplicaID) bool {
	p, ok := l.progress[id]
	if !ok || p.dataLost || p.paused || p.inFlight >= maxInFlight || p.next > l.LastIndex() {
		return false
	}
	if p.next <= l.baseIndex {
		l.sendSnapshot(id, p)
		return false
	}
	entries := l.batch(p.next, p.probing)
	l.send(Message{
		Kind: MessageAppend, To: id, Index: p.next - 1, LogTerm: l.termAt(p.next - 1),
		Entries: entries, Commit: l.commit,
	})
	if p.inFlight == 0 {
		p.unackedTicks = 0
	}
	if p.probing {
		p.paused = true
	} else {
		p.next += uint64(len(entries))
		p.inFlight++
	}
	l.progress[id] = p
	return !p.probing
}

func (l *Log) sendSnapshot(id ReplicaID, p progress) {
	snapshot := l.snapshot
	l.send(Message{Kind: MessageSnapshot, To: id, Snapshot: &snapshot})
	p.paused = true
	p.snapshotIndex = snapshot.Index
	p.unackedTicks = 0
	l.progress[id] = p
}

func (l *Log) batch(first uint64, one bool) []Entry {
	size := 0
	last := first
	for last < l.LastIndex() && !one {
		size += len(l.entries[last-l.baseIndex-1].Data)
		if size+len(l.entries[last-l.baseIndex].Data) > maxBatchBytes {
			break
		}
		last++
	}
	return l.entriesBetween(first, last)
}

func (l *Log) onAppendAnswer(m Message) {
	p, ok := l.progress[m.From]
	if !ok || l.role != Leader || p.dataLost {
		return
	}
	if !p.observeBoot(m.Boot) {
		l.progress[m.From] = p
		return
	}
	if m.Reject {
		l.progress[m.From] = p
		l.onRejectedAppend(m)
		return
	}
	if m.Index >= p.match {
		p.ackedBoot = p.boot
	}
	if m.Index > p.match {
		p.match = m.Index
		p.unackedTicks, p.behindTicks = 0, 0
	}
	p.next = max(p.next, p.match+1)
	p.inFlight = max(0, p.inFlight-1)
	if p.probing && m.Index+1 >= p.next || p.snapshotIndex > 0 && m.Index >= p.snapshotIndex {
		p.probing, p.paused, p.snapshotIndex = false, false, 0
	}
	l.progress[m.From] = p
	l.advanceCommit()
	l.replicate(m.From)
	l.finishTransfer(m.From)
}

func (l *Log) onRejectedAppend(m Message) {
	p := l.progress[m.From]
	if m.Boot > p.ackedBoot && p.ackedBoot > 0 && m.Commit < p.match {
		// Of the same boot this would be a late message; from a later one it
		// says that the disk lost what had been acknowledged.
		p.dataLost = true
		l.progress[m.From] = p
		return
	}
	stale := m.Index < p.match || m.Index >= p.next || (p.probing && m.Index != p.next-1)
	if stale || p.snapshotIndex > 0 || m.Hint < p.match {
		return
	}
	l.progress[m.From] = p.probe(max(p.match+1, min(m.Hint+1, m.Index)))
	l.replicate(m.From)
}

func (l *Log) onHeartbeatAnswer(m Message) {
	p, ok := l.progress[m.From]
	if !ok || l.role != Leader || p.dataLost {
		return
	}
	if !p.observeBoot(m.Boot) {
		l.progress[m.From] = p
		return
	}
	l.progress[m.From] = p
}

// advanceCommit commits what a majority has, of each list of a joint configuration, if it
// is of the leader's own term: an entry of an older term held by a majority could still be
// replaced.
func (l *Log) advanceCommit() {
	if l.role != Leader {
		return
	}
	index := l.LastIndex()
	for _, voters := range l.Configuration().voterSets() {
		index = min(index, l.majorityMatch(voters))
	}
	if index > l.commit && l.termAt(index) == l.hard.Term {
		l.commit = index
		l.hard.Commit = index
		l.stepDownIfRemoved()
	}
}

// majorityMatch is the last index that a majority of the voters has on disk.
func (l *Log) majorityMatch(voters []Member) uint64 {
	var held []uint64
	for _, m := range voters {
		if m.ID == l.id {
			held = append(held, l.stable)
			continue
		}
		held = append(held, l.progress[m.ID].match)
	}
	if len(held) == 0 {
		return 0
	}
	slices.Sort(held)
	return held[len(held)-majority(len(held))]
}

// stepDownIfRemoved ends the leadership of a replica whose removal is committed.
func (l *Log) stepDownIfRemoved() {
	if !l.ChangePending() && !l.Configuration().IsVoter(l.id) {
		l.becomeFollower(l.hard.Term, "")
	}
}

func (l *Log) propose(data [][]byte) {
	if l.role != Leader || l.transferTarget != "" {
		return
	}
	l.out.Accepted = true
	l.out.First = l.LastIndex() + 1
	for _, d := range data {
		l.appendEntries(Entry{Index: l.LastIndex() + 1, Term: l.hard.Term, Kind: EntryCommand, Data: d})
	}
	l.replicateAll()
}
