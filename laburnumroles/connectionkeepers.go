package laburnumroles

import (
	"context"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumconnections"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// connectionAskPeriod is the interval between two batches of asks.
	connectionAskPeriod = 2 * time.Millisecond
	// connectionAskTime is how much longer than usual an answer is awaited: no request waits for it alone, and a gateway that is
	// behind reads it late.
	connectionAskTime = 350 * time.Millisecond
	// connectionTries is the number of control VMs that one ask is sent to.
	connectionTries = 3
)

// connectionKeepers asks control VMs for leases of connections to backend servers, in batches. It is safe for concurrent use.
type connectionKeepers struct {
	calls  *keeperCalls
	logger log.Logger
	// controls returns the peer addresses of the control VMs for a backend server, best first.
	controls  func(zone laburnumlever.ZoneName, id laburnumlever.BackendID) []string
	coalescer *laburnumtimer.Coalescer

	mu      sync.Mutex
	pending []*connectionAsk
}

// connectionAsk is an ask without an answer, with the control VMs that it was sent to.
type connectionAsk struct {
	laburnumconnections.Ask
	answered func(laburnumgateway.ConnectionAnswer)
	tried    map[string]struct{}
}

var _ laburnumgateway.ConnectionKeepers = (*connectionKeepers)(nil)

func newConnectionKeepers(calls *keeperCalls, timers laburnumlever.Timers, logger log.Logger, controls func(laburnumlever.ZoneName, laburnumlever.BackendID) []string) *connectionKeepers {
	k := &connectionKeepers{calls: calls, logger: logger, controls: controls}
	k.coalescer = laburnumtimer.NewCoalescer(timers, func() time.Duration { return connectionAskPeriod }, func() { go k.flush() })
	return k
}

// Lease implements laburnumgateway.ConnectionKeepers.
func (k *connectionKeepers) Lease(asks []laburnumconnections.Ask, answered func(laburnumgateway.ConnectionAnswer)) {
	k.mu.Lock()
	for _, ask := range asks {
		k.pending = append(k.pending, &connectionAsk{Ask: ask, answered: answered, tried: map[string]struct{}{}})
	}
	k.mu.Unlock()
	k.coalescer.Trigger()
}

func (k *connectionKeepers) flush() {
	k.mu.Lock()
	pending := k.pending
	k.pending = nil
	k.mu.Unlock()
	k.sendAll(pending, &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"})
}

// sendAll sends each ask to the best control VM that it was not sent to. Those that have no other one fail with a cause.
func (k *connectionKeepers) sendAll(asks []*connectionAsk, cause error) {
	batches := map[string][]*connectionAsk{}
	for _, ask := range asks {
		address := k.next(ask)
		if address == "" {
			ask.answered(laburnumgateway.ConnectionAnswer{Ask: ask.Ask, Err: cause})
			continue
		}
		batches[address] = append(batches[address], ask)
	}
	for address, batch := range batches {
		go k.send(address, batch)
	}
}

// next returns the address of the control VM that an ask is sent to; empty for none.
func (k *connectionKeepers) next(ask *connectionAsk) string {
	if len(ask.tried) >= connectionTries {
		return ""
	}
	for _, address := range k.calls.answering(k.controls(ask.Zone, ask.Backend), connectionTries) {
		if _, tried := ask.tried[address]; !tried {
			return address
		}
	}
	return ""
}

// send sends a batch to a control VM, and what that leaves to the servers' keepers to them.
func (k *connectionKeepers) send(address string, batch []*connectionAsk) {
	asked := laburnumtimer.SinceBoot()
	asks := make([]laburnumconnections.Ask, 0, len(batch))
	for _, ask := range batch {
		ask.tried[address] = struct{}{}
		asks = append(asks, ask.Ask)
	}
	var grants []laburnumconnections.Grant
	err := k.calls.callWaiting(context.Background(), address, methodLeaseConnections, connectionAskTime, asks, &grants)
	if err == nil && len(grants) != len(batch) {
		err = &AnswerLengthError{Address: address, Want: len(batch), Got: len(grants)}
	}
	if err != nil {
		_ = level.Debug(k.logger).Log("event", laburnumlever.EventConnectionsNotAsked, "address", address, "asks", len(batch), "cause", err)
		k.sendAll(batch, err)
		return
	}
	deferred := map[string][]*connectionAsk{}
	for i, ask := range batch {
		keeper := grants[i].Keeper
		if _, tried := ask.tried[keeper]; keeper != "" && !tried && len(ask.tried) < connectionTries {
			deferred[keeper] = append(deferred[keeper], ask)
			continue
		}
		ask.answered(laburnumgateway.ConnectionAnswer{Ask: ask.Ask, Grant: grants[i], Asked: asked})
	}
	for keeper, asks := range deferred {
		k.calls.answers(keeper)
		k.send(keeper, asks)
	}
}
