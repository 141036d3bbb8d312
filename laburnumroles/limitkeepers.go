package laburnumroles

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumtimer"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// slotAttempts is the number of control VMs that are asked for a slot.
	slotAttempts = 2
	// slotAttemptTimeout is the longest round trip between availability zones.
	slotAttemptTimeout = 150 * time.Millisecond
	// keeperBackoff is how long a control VM that did not answer is not asked again.
	keeperBackoff = time.Second
)

// limitKeepers asks control VMs for slots at limited backend servers, and tells them of limits. It is
// safe for concurrent use.
type limitKeepers struct {
	peers  laburnumlever.Peers
	timers laburnumlever.Timers
	logger log.Logger
	// controls returns the peer addresses of the control VMs for a backend server, best first.
	controls  func(zone laburnumlever.ZoneName, id laburnumlever.BackendID) []string
	coalescer *laburnumtimer.Coalescer

	mu sync.Mutex
	// failed is when control VMs last did not answer.
	failed map[string]time.Time
	// pending are the reports that no control VM has received.
	pending map[laburnumlever.BackendID]pendingLimit
}

// pendingLimit is a report and when it was made.
type pendingLimit struct {
	laburnumlimit.Report
	at time.Time
}

var _ laburnumgateway.LimitKeepers = (*limitKeepers)(nil)

func newLimitKeepers(peers laburnumlever.Peers, timers laburnumlever.Timers, logger log.Logger, controls func(laburnumlever.ZoneName, laburnumlever.BackendID) []string) *limitKeepers {
	k := &limitKeepers{
		peers: peers, timers: timers, logger: logger, controls: controls,
		failed: map[string]time.Time{}, pending: map[laburnumlever.BackendID]pendingLimit{},
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
	for _, address := range k.answering(r) {
		if err = k.call(ctx, address, method, params, result); err == nil {
			return nil
		}
		k.mu.Lock()
		k.failed[address] = k.timers.Now()
		k.mu.Unlock()
	}
	return err
}

func (k *limitKeepers) call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, slotAttemptTimeout)
	defer cancel()
	return k.peers.Call(ctx, address, method, params, result)
}

// answering returns the control VMs to ask, best first, without those that have just not answered.
func (k *limitKeepers) answering(r laburnumlimit.Report) []string {
	addresses := k.controls(r.Zone, r.Backend)
	now := k.timers.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return now.Sub(k.failed[address]) < keeperBackoff })
	return addresses[:min(slotAttempts, len(addresses))]
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
	var refused *laburnumlever.PeerRefusedError
	if errors.As(err, &refused) && refused.Kind == kindUnknownMethod {
		return nil
	}
	return err
}
