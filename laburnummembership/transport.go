package laburnummembership

import (
	"context"
	"encoding/json"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
)

// send sends the messages of one step. Each call runs on a goroutine of its own and posts its
// outcome as an event.
func (m *Membership) send(sends []send) {
	for _, s := range sends {
		if s.Token == 0 {
			m.peers.Notify(s.Address, s.Method, s.Params)
			continue
		}
		go m.call(s)
	}
}

func (m *Membership) call(s send) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	o := outcome{token: s.Token, method: s.Method}
	var result any = &o.gossip
	switch s.Method {
	case methodIndirectProbe:
		result = &o.indirectProbe
	case methodSync:
		result = &o.sync
	}
	o.err = m.peers.Call(ctx, s.Address, s.Method, s.Params, result)
	if o.err != nil {
		m.cfg.scope.Counter("membership-failed-calls").Inc(1)
	}
	m.loop.Post(m, o)
}

// handleOutcome dispatches the outcome of a call.
func (c *core) handleOutcome(o outcome, now time.Time) {
	switch {
	case o.method == methodIndirectProbe:
		c.indirectProbeAnswered(o.token, o.indirectProbe, o.err, now)
	case o.err != nil:
		c.exchangeFailed(o.token, now)
	case o.method == methodGossip:
		c.exchangeAnswered(o.token, o.gossip, now)
	default:
		c.pullAnswered(o.token, o.sync, now)
	}
}

func (m *Membership) register() {
	m.peers.Handle(methodGossip, m.handleGossip)
	m.peers.Handle(methodSync, m.handleSync)
	m.peers.Handle(methodIndirectProbe, m.handleIndirectProbe)
	m.peers.Handle(methodDemand, m.handleDemand)
}

func (m *Membership) handleGossip(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var message gossip
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, errors.Wrap(err, "gossip")
	}
	answer := make(chan gossip, 1)
	m.loop.Post(m, gossipReceived{message: message, answer: answer})
	select {
	case g := <-answer:
		return g, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *Membership) handleSync(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var request syncRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "sync")
	}
	answer := make(chan syncAnswer, 1)
	m.loop.Post(m, pullRequested{request: request, answer: answer})
	select {
	case s := <-answer:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handleIndirectProbe probes a VM on behalf of another.
func (m *Membership) handleIndirectProbe(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var request indirectProbeRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "ask")
	}
	known := make(chan bool, 1)
	m.loop.Post(m, reachabilityRequested{target: request.Target, answer: known})
	select {
	case reached := <-known:
		if reached {
			return indirectProbeAnswer{Reached: true}, nil
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer gossip
	// From is left empty: the call only checks that the target answers.
	err := m.peers.Call(ctx, request.Address, methodGossip, gossip{To: request.Target}, &answer)
	return indirectProbeAnswer{Reached: err == nil && answer.From == request.Target}, nil
}

func (m *Membership) handleDemand(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var message demandReport
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, errors.Wrap(err, "demand")
	}
	m.loop.Post(m, demandReceived{message: message})
	return struct{}{}, nil
}
