package laburnumlog

func (l *Log) tick() {
	l.tickStarts()
	l.elapsed++
	if l.role == Leader {
		l.tickLeader()
		return
	}
	// A new election would discard a vote that is not durable yet, and put one more write before the next one.
	if l.elapsed < l.timeout || !l.start.confirmed || l.hardStateDirty() {
		return
	}
	l.resetTimeout()
	l.leader = ""
	if l.mayCampaign() {
		l.preCampaign()
	}
}

// mayCampaign reports whether the replica is a voter, or was one before a change that is not
// known to be committed. The second case is needed when a leader restarts before its own
// removal is committed: it has the longest log and grants no other replica its vote, so no one
// else could be elected. It still needs the votes of the configuration in effect, and steps
// down once the change is committed.
func (l *Log) mayCampaign() bool {
	return l.Configuration().IsVoter(l.id) ||
		l.ChangePending() && l.ConfigurationAt(l.commit).IsVoter(l.id)
}

// preCampaign starts a pre-vote, which asks whether an election could be won without raising
// the term. Without it, a partitioned replica would return with a higher term and depose a
// working leader.
//
// Answers to an earlier pre-vote of the last quorumTicks count: among starved VMs they take longer than the time until the next one.
func (l *Log) preCampaign() {
	if l.role != PreCandidate || l.ticks-l.preVotesSince >= quorumTicks {
		l.preVotes, l.preVotesSince = map[ReplicaID]bool{l.id: true}, l.ticks
		l.preCampaigns++
	}
	l.role = PreCandidate
	l.resetTimeout()
	l.votes = l.preVotes
	if l.hasVoteMajority() {
		l.campaign(false)
		return
	}
	l.requestVotes(MessagePreVote, l.hard.Term+1, false)
}

func (l *Log) campaign(force bool) {
	l.role = Candidate
	l.leader = ""
	l.elections++
	l.preCampaigns, l.gaveWay = 0, false
	l.hard.Term++
	l.hard.Vote = l.id
	l.votes = map[ReplicaID]bool{}
	l.termVotes = l.votes
	l.resetTimeout()
	l.requestVotes(MessageVote, l.hard.Term, force)
	// The replica's own vote is sent as a message too, so it counts only once it is durable.
	l.sendDurable(Message{Kind: MessageVoteAnswer, To: l.id})
}

func (l *Log) requestVotes(kind MessageKind, term uint64, force bool) {
	for _, m := range l.Configuration().Voters() {
		if m.ID == l.id {
			continue
		}
		last := l.LastIndex()
		l.send(Message{Kind: kind, To: m.ID, Term: term, Index: last, LogTerm: l.termAt(last), Force: force})
	}
}

func (l *Log) hasVoteMajority() bool {
	return l.Configuration().HasMajority(func(m Member) bool { return l.votes[m.ID] })
}

func (l *Log) becomeFollower(term uint64, leader ReplicaID) {
	if term > l.hard.Term {
		l.hard.Term = term
		l.hard.Vote = ""
		l.elections++
	}
	l.role = Follower
	l.termVotes = nil
	l.leader = leader
	l.preCampaigns, l.gaveWay = 0, false
	if leader != "" {
		l.elections = 0
	}
	l.transferTarget = ""
	l.progress = map[ReplicaID]progress{}
	l.resetTimeout()
}

func (l *Log) becomeLeader() {
	l.role = Leader
	l.leader = l.id
	l.elections = 0
	l.elapsed = 0
	l.progress = map[ReplicaID]progress{}
	l.appendEntries(Entry{Index: l.LastIndex() + 1, Term: l.hard.Term, Kind: EntryBarrier})
	l.syncProgress()
	l.heartbeat()
	l.replicateAll()
}

func (l *Log) receive(m Message) {
	if m.To != l.id {
		return
	}
	l.heardAt[m.From.VM()] = l.ticks
	switch {
	case m.Kind == MessageStart:
		l.onStart(m)
		return
	case m.Kind == MessageStartAnswer:
		l.onStartAnswer(m)
		return
	case !l.start.confirmed:
		return
	case m.Term > l.hard.Term:
		if !l.adoptHigherTerm(m) {
			return
		}
	case m.Term < l.hard.Term:
		l.rejectLowerTerm(m)
		return
	}
	l.dispatch(m)
}

// adoptHigherTerm handles the term of a message that is higher than the replica's, and
// reports whether the message should be processed.
func (l *Log) adoptHigherTerm(m Message) bool {
	switch {
	case m.Kind == MessagePreVote, m.Kind == MessagePreVoteAnswer && !m.Reject:
		// The sender has not adopted this term; it is the term that it would campaign in.
		return true
	case m.Kind == MessageVote && l.hasLeader() && !m.Force:
		return false
	case m.Kind == MessageAppend, m.Kind == MessageHeartbeat, m.Kind == MessageSnapshot:
		l.becomeFollower(m.Term, m.From)
	default:
		l.becomeFollower(m.Term, "")
	}
	return true
}

// rejectLowerTerm rejects a message of an older term, so that its sender learns the newer one.
func (l *Log) rejectLowerTerm(m Message) {
	switch m.Kind {
	case MessagePreVote:
		l.send(Message{Kind: MessagePreVoteAnswer, To: m.From, Reject: true})
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		l.send(Message{Kind: MessageAppendAnswer, To: m.From, Reject: true, Index: m.Index, Hint: l.LastIndex(), Commit: l.LastIndex()})
	default:
	}
}

// hasLeader reports whether the replica leads or heard from a leader within the minimum
// election timeout. Votes are rejected then, so that a removed or partitioned replica cannot
// disrupt a working group.
func (l *Log) hasLeader() bool {
	return l.role == Leader || (l.leader != "" && l.elapsed < electionTicks)
}

func (l *Log) dispatch(m Message) {
	switch m.Kind {
	case MessagePreVote:
		l.onPreVote(m)
	case MessagePreVoteAnswer:
		l.onPreVoteAnswer(m)
	case MessageVote:
		l.onVote(m)
	case MessageVoteAnswer:
		l.onVoteAnswer(m)
	case MessageAppend:
		l.onAppend(m)
	case MessageAppendAnswer:
		l.onAppendAnswer(m)
	case MessageHeartbeat:
		l.onHeartbeat(m)
	case MessageHeartbeatAnswer:
		l.onHeartbeatAnswer(m)
	case MessageSnapshot:
		l.onSnapshot(m)
	case MessageCampaignNow:
		l.onCampaignNow()
	default: // receive handles starts
	}
}

func (l *Log) onCampaignNow() {
	if l.role != Leader && l.mayCampaign() {
		l.campaign(true)
	}
}

func (l *Log) upToDate(m Message) bool {
	last := l.LastIndex()
	term := l.termAt(last)
	return m.LogTerm > term || (m.LogTerm == term && m.Index >= last)
}

func (l *Log) onPreVote(m Message) {
	first := l.role == PreCandidate && l.goesBefore(m)
	// A later round is no reason to refuse others: the first one has failed, so that they may have better links.
	if l.hasLeader() || !l.upToDate(m) || m.Term <= l.hard.Term || first && l.preCampaigns == 1 && l.hearsMajority() {
		l.send(Message{Kind: MessagePreVoteAnswer, To: m.From, Reject: true})
		return
	}
	if !first {
		l.giveWay()
	}
	l.send(Message{Kind: MessagePreVoteAnswer, To: m.From, Term: m.Term})
}

// goesBefore reports whether this replica's pre-vote goes before that of another one whose log is as long: if both led to an election,
// they would take each other's votes.
func (l *Log) goesBefore(m Message) bool {
	last := l.LastIndex()
	return m.LogTerm == l.termAt(last) && m.Index == last && l.id < m.From
}

// hearsMajority reports whether this replica has heard a majority of the voters lately.
func (l *Log) hearsMajority() bool {
	return l.Configuration().HasMajority(func(m Member) bool {
		at, ok := l.heardAt[m.ID.VM()]
		return m.ID == l.id || ok && l.ticks-at < quorumTicks
	})
}

// giveWay leaves the next election to another replica, but only once: that one may lack links that this one has.
func (l *Log) giveWay() {
	if l.gaveWay || l.role != Follower && l.role != PreCandidate {
		return
	}
	l.gaveWay = true
	l.role, l.leader = Follower, ""
	l.resetTimeout()
}

func (l *Log) onPreVoteAnswer(m Message) {
	if l.role == PreCandidate && m.Reject {
		l.recordRejection(m.From)
		return
	}
	if l.role != PreCandidate || m.Term != l.hard.Term+1 {
		return
	}
	l.votes[m.From] = true
	if l.hasVoteMajority() {
		l.campaign(false)
	}
}

func (l *Log) onVote(m Message) {
	free := l.hard.Vote == "" || l.hard.Vote == m.From
	if !free || !l.upToDate(m) {
		l.send(Message{Kind: MessageVoteAnswer, To: m.From, Reject: true})
		return
	}
	l.hard.Vote = m.From
	l.resetTimeout()
	l.sendDurable(Message{Kind: MessageVoteAnswer, To: m.From})
}

// onVoteAnswer counts the votes of a term for as long as the replica knows no leader of it: they may come after its next pre-vote.
func (l *Log) onVoteAnswer(m Message) {
	if l.termVotes == nil || l.role != Candidate && l.role != PreCandidate {
		return
	}
	if m.Reject {
		if l.role == Candidate {
			l.recordRejection(m.From)
		}
		return
	}
	l.termVotes[m.From] = true
	if l.Configuration().HasMajority(func(v Member) bool { return l.termVotes[v.ID] }) {
		l.becomeLeader()
	}
}

// recordRejection records a rejected vote request for VoteResponse. It does not override a granted
// vote, as the rejection then belongs to an earlier round.
func (l *Log) recordRejection(from ReplicaID) {
	if _, answered := l.votes[from]; !answered {
		l.votes[from] = false
	}
}

// VoteResponse returns a member's response to this replica's last vote request.
func (l *Log) VoteResponse(id ReplicaID) VoteResponse {
	granted, answered := l.votes[id]
	switch {
	case granted:
		return Granted
	case answered:
		return Refused
	default:
		return Unanswered
	}
}
