package laburnumlog

import "slices"

// progress is the leader's view of one member's replication state.
type progress struct {
	match uint64 // last index known to be durable on the member
	next  uint64 // index of the next entry to send
	// probing is set while the leader sends one entry at a time to find the last index at
	// which the logs match.
	probing         bool
	paused          bool // waiting for the answer to a probe or snapshot
	snapshotIndex   uint64
	inFlight        int
	boot            uint64 // latest boot that answered
	conflictingBoot uint64 // another boot that answered with the same or an earlier start
	ackedBoot       uint64 // boot that acknowledged match
	dataLost        bool
	unackedTicks    int // ticks since new entries were acknowledged, or sent with none in flight
	silentTicks     int // ticks since the last answer
	behindTicks     int // ticks for which the member has lacked entries without acknowledging any
}

// probe returns the progress reset to probing from the given index; match, the boots and the
// tick counts of the member stay valid.
func (p progress) probe(next uint64) progress {
	return progress{match: p.match, next: next, probing: true, silentTicks: p.silentTicks, behindTicks: p.behindTicks, boot: p.boot, conflictingBoot: p.conflictingBoot, ackedBoot: p.ackedBoot, dataLost: p.dataLost}
}

// observeBoot records an answer's boot, and reports whether it is from the latest start of
// the member.
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

// MemberProgress is the leader's view of one member.
type MemberProgress struct {
	// Match is the last index known to be durable on the member.
	Match uint64
	// SilentTicks is the number of ticks since the member's last answer.
	SilentTicks int
	// BehindTicks is the number of ticks for which the member has lacked entries without
	// acknowledging any.
	BehindTicks int
	// Boot is the latest boot that the member has answered with.
	Boot uint64
	// ConflictingBoot is a boot that answered after Boot but is not later, or 0. It is either a
	// delayed message or a disk that was rolled back; only the member can tell which.
	ConflictingBoot uint64
	// DataLost is set when the member, after a restart, lacks entries that it had acknowledged
	// before: its disk was rolled back to an older state.
	DataLost bool
}

// Progress returns the leader's view of the member, false if there is none. Only a leader has
// one.
func (l *Log) Progress(id ReplicaID) (MemberProgress, bool) {
	p, ok := l.progress[id]
	if id == l.id && l.role == Leader {
		return MemberProgress{Match: l.stable}, true
	}
	return MemberProgress{
		Match: p.match, SilentTicks: p.silentTicks, BehindTicks: p.behindTicks, Boot: p.boot, ConflictingBoot: p.conflictingBoot, DataLost: p.dataLost,
	}, ok
}

// ToleratedLosses returns how many more voters may be lost permanently, including their disks,
// while the rest still form a majority. A leader counts only voters that answer; other
// replicas count all voters. It is negative when there is no majority already.
func (l *Log) ToleratedLosses() int {
	return l.Configuration().MajorityMargin(func(m Member) bool {
		p, ok := l.Progress(m.ID)
		return !ok || !p.DataLost && p.SilentTicks < electionTicks
	})
}

// syncProgress adds and removes members of the progress table to match the configuration.
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
	heard := func(m Member) bool {
		p := l.progress[m.ID]
		return m.ID == l.id || p.silentTicks < quorumTicks || p.boot == 0 && p.silentTicks < firstQuorumTicks
	}
	if !l.Configuration().HasMajority(heard) {
		// Check-quorum: otherwise a partitioned leader would keep accepting commands that it
		// can never commit.
		l.becomeFollower(l.hard.Term, "")
		return
	}
	if l.transferTarget != "" && l.elapsed >= electionTicks {
		l.transferTarget = ""
	}
	l.heartbeat()
}

// resend restarts replication to a member that has acknowledged nothing for resendTicks and the time to transfer what is
// on its way, or snapshotResendTicks for a snapshot, as its messages may be lost.
func (l *Log) resend(id ReplicaID) {
	p := l.progress[id]
	if p.unackedTicks < resendTicks {
		return
	}
	wait := resendTicks + l.unackedBytes(p)/bytesPerTick
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
	// A lost probe is sent again from the same index. Starting from match, which is 0 for a
	// member that was down during the election, would send it a whole snapshot.
	l.progress[id] = p.probe(next)
	l.replicate(id)
}

// unackedBytes returns the data size of the entries that are on their way to a member.
func (l *Log) unackedBytes(p progress) int {
	last := p.next - 1
	if p.probing && p.paused {
		last = p.next
	}
	return l.bytesBetween(p.match+1, last)
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

// sendNext sends one append or snapshot, and reports whether another may follow at once.
func (l *Log) sendNext(id ReplicaID) bool {
	p, ok := l.progress[id]
	if !ok || p.dataLost || p.paused || p.inFlight >= maxInFlight || p.next > l.LastIndex() {
		return false
	}
	if p.inFlight > 0 && l.unackedBytes(p) >= maxUnackedBytes {
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
		// From the same boot this would be a delayed message; from a later one it means that
		// the disk lost acknowledged entries.
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

// advanceCommit commits the entries that a majority has on disk, in a joint configuration a
// majority of each voter set, if the last of them is of the leader's own term: an entry of an
// older term that a majority holds could still be replaced.
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

// majorityMatch returns the last index that a majority of the voters has on disk.
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

// stepDownIfRemoved makes the leader step down once its own removal is committed.
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
