package laburnumvoter

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumlog"

	"github.com/go-kit/log/level"
)

const (
	// maxWaiters bounds the proposals in flight on one leader.
	maxWaiters = 1 << 14
	// maxCommandBytes bounds an encoded command. It leaves room for the longest operators' text that does not compress, encoded
	// in base64 twice. An entry of that size, which a message encodes once more, fits into a frame of a peer connection.
	maxCommandBytes = laburnumlever.MaxRoutesDocument*16/9 + 64<<10
)

// waiter is a proposal whose entry was appended to the log but is not committed yet.
type waiter struct {
	*proposal
	term uint64
}

type proposal struct {
	command laburnumlever.Command
	reply   chan proposeAnswer
	// decided is set once, by the control thread when it appends the command or by the
	// proposer when it stops waiting, after which the command is never appended.
	decided *atomic.Bool
	// overtaken are proposals that this one leaves without effect, and that get the same answer.
	overtaken []chan proposeAnswer
}

func (p *proposal) answer(a proposeAnswer) {
	p.reply <- a
	for _, reply := range p.overtaken {
		reply <- a
	}
}

// overtakes reports whether the proposal leaves another one without effect: both are route tables, of which that with the
// higher version counts, and the first of those with the same.
func (p *proposal) overtakes(other *proposal) bool {
	return p.command.Routes != nil && other.command.Routes != nil && p.command.Routes.Version() >= other.command.Routes.Version()
}

// proposalQueue passes proposals from other goroutines to the control thread in batches.
type proposalQueue struct {
	mu   sync.Mutex
	list []*proposal
}

// add reports whether the queue was empty, in which case the control thread must be notified.
func (i *proposalQueue) add(p *proposal) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.list = append(i.list, p)
	return len(i.list) == 1
}

func (i *proposalQueue) take() []*proposal {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.list
	i.list = nil
	return list
}

// Propose finds the leader and returns the result once the command is committed and applied. It
// retries during elections until ctx is done or the proposal timeout has passed. A *NoQuorumError
// means that the command was not and will not be committed, an *OutcomeUnknownError that it may
// have been or may still be, a *CommandRejectedError that it was not carried out.
func (v *Voter) Propose(ctx context.Context, cmd laburnumlever.Command) (laburnumlever.Result, error) {
	cmd = v.withClaimID(cmd)
	ctx, cancel := v.withProposalTimeout(ctx)
	defer cancel()
	s := search{voter: v, known: slices.Concat(v.known.list(), v.contacts())}
	for {
		answer := s.try(ctx, cmd)
		switch answer.Verdict {
		case verdictDone:
			return answer.Result.Check(cmd.Kind)
		case verdictUnknown:
			s.uncertain = true
		default:
		}
		s.detail = answer.Detail
		if !s.next(ctx, answer) {
			return laburnumlever.Result{}, s.failure()
		}
	}
}

// withClaimID sets a unique id on a claim without one, so that the state machine recognises a
// retry after a lost answer.
func (v *Voter) withClaimID(cmd laburnumlever.Command) laburnumlever.Command {
	if cmd.Claim == nil || cmd.Claim.Claim != "" {
		return cmd
	}
	claim := *cmd.Claim
	claim.Claim = string(v.self.ID) + "-" + strconv.FormatUint(v.self.Incarnation, 10) + "-" +
		strconv.FormatInt(v.startedAt.UnixNano(), 10) + "-" + strconv.FormatUint(v.claims.Add(1), 10)
	cmd.Claim = &claim
	return cmd
}

// withProposalTimeout returns a context that is canceled with ctx or after the proposal timeout.
func (v *Voter) withProposalTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := v.timers.After(v.cfg.proposalTimeout, func(time.Time) { cancel() })
	return ctx, func() { stop(); cancel() }
}

// proposeLocally proposes to this VM's own replica.
func (v *Voter) proposeLocally(ctx context.Context, cmd laburnumlever.Command) proposeAnswer {
	p := &proposal{command: cmd, reply: make(chan proposeAnswer, 1), decided: &atomic.Bool{}}
	if v.proposals.add(p) {
		v.loop.Post(v, proposed{})
	}
	select {
	case answer := <-p.reply:
		return answer
	case <-ctx.Done():
	case <-v.done:
	}
	if p.decided.CompareAndSwap(false, true) {
		return proposeAnswer{Verdict: verdictNotTaken, Detail: "stopped waiting before the command was appended"}
	}
	return proposeAnswer{Verdict: verdictUnknown, Detail: "stopped waiting before the outcome was known"}
}

func (v *Voter) handlePropose(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var p proposeParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	ctx, cancel := v.withProposalTimeout(ctx)
	defer cancel()
	return v.proposeLocally(ctx, p.Command), nil
}

func (v *Voter) onProposed() {
	list := v.proposals.take()
	for len(list) > 0 {
		n := min(len(list), v.cfg.batch)
		v.append(list[:n])
		list = list[n:]
	}
}

// append appends proposals to the log as one batch, or rejects all of them if this VM isn't the
// leader or has too many proposals in flight.
func (v *Voter) append(list []*proposal) {
	if !v.isLeader() || len(v.waiters)+len(list) > maxWaiters {
		v.reject(list)
		return
	}
	at := v.clock(v.timers.Now())
	data := make([][]byte, 0, len(list))
	taken := make([]*proposal, 0, len(list))
	for _, p := range list {
		if !p.decided.CompareAndSwap(false, true) {
			continue
		}
		if d, ok := v.encode(p, at, taken); ok {
			data = append(data, d)
			taken = append(taken, p)
		}
	}
	out := v.step(laburnumlog.Propose{Data: data})
	if !out.Accepted {
		v.reject(taken)
		return
	}
	v.cfg.scope.Counter("voter-proposals").Inc(int64(len(taken)))
	for i, p := range taken {
		index := out.First + uint64(i)
		v.waiters[index] = waiter{proposal: p, term: v.log.Term()}
		if p.command.Routes != nil {
			v.appendedRoutes = p
		}
	}
}

// encode returns the entry of a proposal. If it is not to be appended behind batch, it is answered, or will be.
func (v *Voter) encode(p *proposal, at int64, batch []*proposal) (data []byte, ok bool) {
	if p.command.ChangesCatalogue() && v.tooFewVoters() {
		p.answer(proposeAnswer{Verdict: verdictNotTaken, Detail: "too few committed voters for the first change; more must join", Voters: v.voterList()})
		return nil, false
	}
	if v.overtaken(p, batch) {
		return nil, false
	}
	data, err := json.Marshal(entryData{At: at, Command: p.command})
	if err != nil || len(data) > maxCommandBytes {
		v.rejectCommand(p, len(data), err)
		return nil, false
	}
	return data, true
}

// overtaken reports whether a route table is left without effect by a committed one, which answers it, or by one that waits for
// its commit or precedes it in a batch, which answers it then. An operator sends a table again until it is acknowledged, and
// each large copy in the log would delay the acknowledgement.
func (v *Voter) overtaken(p *proposal, batch []*proposal) bool {
	if p.command.Routes == nil {
		return false
	}
	if routes := v.machine.Routes(); routes != nil && routes.Version() >= p.command.Routes.Version() {
		p.answer(proposeAnswer{Verdict: verdictDone, Result: laburnumlever.Result{RoutesVersion: routes.Version()}})
		return true
	}
	earlier := batch
	if v.appendedRoutes != nil {
		earlier = append([]*proposal{v.appendedRoutes}, batch...)
	}
	for _, e := range earlier {
		if e.overtakes(p) {
			e.overtaken = append(e.overtaken, p.reply)
			return true
		}
	}
	return false
}

// rejectCommand answers a command that can't be encoded or is larger than maxCommandBytes.
func (v *Voter) rejectCommand(p *proposal, size int, cause error) {
	_ = level.Warn(v.cfg.logger).Log("event", laburnumlever.EventCommandRejected, "kind", p.command.Kind, "bytes", size, "limit", maxCommandBytes, "cause", cause)
	v.cfg.scope.Counter("voter-commands-rejected").Inc(1)
	p.answer(proposeAnswer{Verdict: verdictDone, Result: laburnumlever.Result{
		Code: laburnumlever.ResultInvalid, Detail: fmt.Sprintf("the command of %d bytes can't be encoded or is larger than %d", size, maxCommandBytes),
	}})
}

// tooFewVoters reports whether the first change must still be rejected, see
// WithFirstChangeTolerance. Only committed voters count, since another leader may overwrite an
// uncommitted configuration.
func (v *Voter) tooFewVoters() bool {
	if v.machine.Routes() != nil || v.machine.Catalogue().Revision > 0 {
		return false
	}
	committed := v.log.ConfigurationAt(v.log.Commit())
	bears := committed.MajorityMargin(func(laburnumlog.Member) bool { return true })
	return bears < v.cfg.firstChangeTolerance && v.timers.Now().Sub(v.startedAt) < v.cfg.firstChangeTimeout
}

func (v *Voter) reject(list []*proposal) {
	answer := proposeAnswer{Verdict: verdictNotTaken, Detail: v.notLeaderReason(), Voters: v.voterList()}
	if v.log != nil {
		if m, ok := v.log.Configuration().Find(v.log.Leader()); ok && m.ID != v.log.ID() {
			answer.Leader = laburnumlever.Voter{VM: m.VM, PeerAddress: m.Address}
		}
	}
	for _, p := range list {
		p.answer(answer)
	}
}

// failWaiters answers all proposals in flight with an unknown outcome: the next leader may or may
// not commit them.
func (v *Voter) failWaiters(detail string) {
	v.appendedRoutes = nil
	for index, w := range v.waiters {
		w.answer(proposeAnswer{Verdict: verdictUnknown, Detail: detail})
		delete(v.waiters, index)
	}
}

// settle answers a proposal that waited for its commit.
func (v *Voter) settle(p *proposal, a proposeAnswer) {
	if v.appendedRoutes == p {
		v.appendedRoutes = nil
	}
	p.answer(a)
}
