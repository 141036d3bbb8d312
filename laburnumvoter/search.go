package laburnumvoter

import (
	"cmp"
	"context"
	"sync"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
)

const (
	// retryPause is the delay before the next VM is asked without a redirect.
	retryPause = 50 * time.Millisecond
	// maxRedirects bounds consecutive redirects without a pause: during an election two VMs
	// may each name the other as the leader.
	maxRedirects = 2
)

// search looks for the leader on behalf of one proposal.
type search struct {
	voter       *Voter
	known       []laburnumlever.Voter
	target      string // address to ask; empty for this VM's own replica
	asked       int
	redirects   int // since the last pause
	uncertain   bool
	detail      string
	localDetail string // detail of the last answer of this VM's own replica
}

func (s *search) try(ctx context.Context, cmd laburnumlever.Command) proposeAnswer {
	v := s.voter
	if s.target == "" || s.target == v.self.PeerAddress {
		if v.cfg.folder == "" {
			return proposeAnswer{Verdict: verdictNotTaken, Leader: v.known.leader()}
		}
		answer := v.proposeLocally(ctx, cmd)
		s.localDetail = answer.Detail
		return answer
	}
	answer, err := v.forward(ctx, s.target, cmd)
	if err == nil {
		v.known.update(answer, s.target)
		return answer
	}
	v.known.forgetLeader(s.target)
	var unreachable *laburnumlever.PeerUnreachableError
	var refused *laburnumlever.PeerRefusedError
	if errors.As(err, &unreachable) || errors.As(err, &refused) {
		return proposeAnswer{Verdict: verdictNotTaken, Detail: err.Error()}
	}
	return proposeAnswer{Verdict: verdictUnknown, Detail: err.Error()}
}

// next picks the next VM to ask, pausing unless it was redirected. It reports whether to try again.
func (s *search) next(ctx context.Context, answer proposeAnswer) bool {
	if len(answer.Voters) > 0 {
		s.known = answer.Voters
	}
	if answer.Leader.PeerAddress != "" && answer.Leader.PeerAddress != s.target && s.redirects < maxRedirects {
		s.redirects++
		s.target = answer.Leader.PeerAddress
		return ctx.Err() == nil
	}
	if s.asked > len(s.known) && s.voter.leaderlessTooLong() {
		s.detail = cmp.Or(s.localDetail, s.detail)
		return false
	}
	if len(s.known) > 0 {
		s.target = s.known[s.asked%len(s.known)].PeerAddress
	}
	s.asked++
	s.redirects = 0
	if s.target == s.voter.self.PeerAddress && s.voter.cfg.folder == "" {
		s.target = ""
	}
	return s.voter.pause(ctx, retryPause)
}

// leaderlessTooLong reports whether this replica has been without a leader for longer than an
// election takes. Propose then fails once it has asked all known VMs.
func (v *Voter) leaderlessTooLong() bool {
	return time.Duration(v.leaderlessTicks.Load())*v.cfg.tick >= v.cfg.leaderlessTimeout
}

func (s *search) failure() error {
	if s.uncertain {
		return &laburnumlever.OutcomeUnknownError{Detail: s.detail}
	}
	return &laburnumlever.NoQuorumError{Detail: s.detail}
}

// pause waits for d, and reports whether ctx was not done and the voter not closed meanwhile.
func (v *Voter) pause(ctx context.Context, d time.Duration) bool {
	woken := make(chan struct{})
	stop := v.timers.After(d, func(time.Time) { close(woken) })
	defer stop()
	select {
	case <-woken:
		return ctx.Err() == nil
	case <-ctx.Done():
	case <-v.done:
	}
	return false
}

// knownVoters holds the last known voters and leader. It is safe for concurrent use.
type knownVoters struct {
	mu         sync.Mutex
	voters     []laburnumlever.Voter
	leaderHint laburnumlever.Voter
}

func (k *knownVoters) set(voters []laburnumlever.Voter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.voters = voters
}

func (k *knownVoters) list() []laburnumlever.Voter {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.voters
}

func (k *knownVoters) leader() laburnumlever.Voter {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaderHint
}

func (k *knownVoters) update(a proposeAnswer, from string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(a.Voters) > 0 {
		k.voters = a.Voters
	}
	switch {
	case a.Verdict == verdictDone:
		k.leaderHint = laburnumlever.Voter{PeerAddress: from}
	case a.Leader.PeerAddress != "":
		k.leaderHint = a.Leader
	}
}

func (k *knownVoters) forgetLeader(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaderHint.PeerAddress == address {
		k.leaderHint = laburnumlever.Voter{}
	}
}
