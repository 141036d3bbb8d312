package laburnumroles

import (
	"context"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumtimer"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// slotAttempts is the number of control VMs that are asked for a slot.
const slotAttempts = 2

// limitKeepers asks control VMs for slots at limited backend servers, and tells them of limits. It is
// safe for concurrent use.
type limitKeepers struct {
	calls  *keeperCalls
	timers laburnumlever.Timers
	logger log.Logger
	// controls returns the peer addresses of the control VMs for a backend server, best first.
	controls  func(zone laburnumlever.ZoneName, id laburnumlever.BackendID) []string
	coalescer *laburnumtimer.Coalescer
	returns   *leaseReturns

	mu sync.Mutex
	// pending are the reports that no control VM has received.
	pending map[laburnumlever.BackendID]pendingLimit
}

// pendingLimit is a report and when it was made.
type pendingLimit struct {
	laburnumlimit.Report
	at time.Time
}

var _ laburnumgateway.LimitKeepers = (*limitKeepers)(nil)

func newLimitKeepers(calls *keeperCalls, timers laburnumlever.Timers, logger log.Logger, controls func(laburnumlever.ZoneName, laburnumlever.BackendID) []string) *limitKeepers {
	k := &limitKeepers{
		calls: calls, timers: timers, logger: logger, controls: controls,
		pending: map[laburnumlever.BackendID]pendingLimit{}, returns: newLeaseReturns(calls, timers, logger),
	}
	k.coalescer = laburnumtimer.NewCoalescer(timers, func() time.Duration { return reportPeriod }, func() { go k.flush() })
	return k
}

// Reserve implements laburnumgateway.LimitKeepers. Errors: *laburnumlever.NotFoundError while no control
// VM answers, and those of a call to another VM.
func (k *limitKeepers) Reserve(ctx context.Context, q laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error) {
	var answer laburnumlimit.SlotAnswer
	err := k.callFirst(ctx, q.Report, methodLimitSlot, q, &answer)
	return answer, err
}

// callFirst calls the first control VM for the report's backend server that answers.
func (k *limitKeepers) callFirst(ctx context.Context, r laburnumlimit.Report, method string, params, result any) error {
	var err error = &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
	for _, address := range k.calls.answering(k.controls(r.Zone, r.Backend), slotAttempts) {
		if err = k.calls.call(ctx, address, method, params, result); err == nil {
			return nil
		}
	}
	return err
}

// Lease implements laburnumgateway.LimitKeepers, with the errors of Reserve.
func (k *limitKeepers) Lease(ctx context.Context, q laburnumconcurrency.Request) (laburnumconcurrency.Answer, string, error) {
	q.Ask = laburnumconcurrency.NewAskID()
	var err error = &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
	for _, address := range k.calls.answering(k.controls(q.Zone, q.Backend), slotAttempts) {
		var answer laburnumconcurrency.Answer
		if err = k.askLease(ctx, address, q, &answer); err == nil {
			return k.leaseOfKeeper(ctx, q, answer, address)
		}
	}
	return laburnumconcurrency.Answer{}, "", err
}

// askLease asks one control VM. One that doesn't answer in time may have granted a lease, which is returned.
func (k *limitKeepers) askLease(ctx context.Context, address string, q laburnumconcurrency.Request, answer *laburnumconcurrency.Answer) error {
	err := k.calls.callWaiting(ctx, address, methodLease, time.Duration(q.Wait), q, answer)
	var lost *laburnumlever.PeerLostError
	if errors.As(err, &lost) {
		k.returns.add(address, laburnumconcurrency.Release{Backend: q.Backend, Ask: q.Ask})
	}
	return err
}

// leaseOfKeeper asks the server's keeper again if another control VM answered that it still grants leases.
func (k *limitKeepers) leaseOfKeeper(ctx context.Context, q laburnumconcurrency.Request, answer laburnumconcurrency.Answer, address string) (laburnumconcurrency.Answer, string, error) {
	if answer.Keeper == "" {
		return answer, address, nil
	}
	k.calls.answers(answer.Keeper)
	var again laburnumconcurrency.Answer
	if err := k.askLease(ctx, answer.Keeper, q, &again); err != nil {
		return answer, address, nil //nolint:nilerr // the other control VM's refusal is the answer
	}
	return again, answer.Keeper, nil
}

// Return implements laburnumgateway.LimitKeepers.
func (k *limitKeepers) Return(to laburnumlever.Heartbeat, address string, r laburnumconcurrency.Release) {
	if address != "" {
		k.returns.add(address, r)
		return
	}
	for _, first := range k.calls.answering(k.controls(to.Zone, to.Backend), 1) {
		k.returns.add(first, r)
	}
}

// Report implements laburnumgateway.LimitKeepers.
func (k *limitKeepers) Report(r laburnumlimit.Report) {
	k.mu.Lock()
	k.pending[r.Backend] = pendingLimit{Report: r, at: k.timers.Now()}
	k.mu.Unlock()
	k.coalescer.Trigger()
}

// flush sends the pending reports. Those that no control VM received are sent again later, unless a
// newer one has replaced them.
func (k *limitKeepers) flush() {
	k.mu.Lock()
	pending := k.pending
	k.pending = map[laburnumlever.BackendID]pendingLimit{}
	k.mu.Unlock()
	unsent := map[laburnumlever.BackendID]pendingLimit{}
	var err error
	for id, p := range pending {
		if failed := k.send(p); failed != nil {
			unsent[id], err = p, failed
		}
	}
	if err == nil {
		return
	}
	_ = level.Info(k.logger).Log("event", laburnumlever.EventLimitNotReported, "limits", len(unsent), "cause", err)
	k.mu.Lock()
	for id, p := range unsent {
		if _, newer := k.pending[id]; !newer {
			k.pending[id] = p
		}
	}
	k.mu.Unlock()
	k.timers.After(reportRetryDelay, func(time.Time) { k.coalescer.Trigger() })
}

// send sends a report to a control VM. One that does not know the method counts as one that received
// it: sending it again would not help.
func (k *limitKeepers) send(p pendingLimit) error {
	p.Age = laburnumlever.Duration(k.timers.Now().Sub(p.at))
	var answer struct{}
	err := k.callFirst(context.Background(), p.Report, methodLimitReport, p.Report, &answer)
	if isUnknownMethod(err) {
		return nil
	}
	return err
}
