package laburnumroles

import (
	"context"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumtimer"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// reportPeriod is the least time between two reports of a gateway to the same control VMs.
	reportPeriod  = 20 * time.Millisecond
	reportTimeout = time.Second
	// reportRetryDelay is the time after which a report that reached no control VM is sent again.
	reportRetryDelay = 500 * time.Millisecond
)

// quarantineReporter sends a gateway's reports on crashing requests to all control VMs. A report that
// none of them received is kept and sent again, with the later ones.
type quarantineReporter struct {
	peers  laburnumlever.Peers
	timers laburnumlever.Timers
	logger log.Logger
	// controls returns the peer addresses of the known control VMs.
	controls  func() []string
	coalescer *laburnumtimer.Coalescer

	mu      sync.Mutex
	pending laburnumquarantine.Report
}

var _ laburnumgateway.QuarantineReporter = (*quarantineReporter)(nil)

func newQuarantineReporter(peers laburnumlever.Peers, timers laburnumlever.Timers, logger log.Logger, controls func() []string) *quarantineReporter {
	r := &quarantineReporter{peers: peers, timers: timers, logger: logger, controls: controls}
	r.coalescer = laburnumtimer.NewCoalescer(timers, func() time.Duration { return reportPeriod }, func() { go r.flush() })
	return r
}

// ReportToAll implements laburnumgateway.QuarantineReporter.
func (r *quarantineReporter) ReportToAll(report laburnumquarantine.Report) {
	r.mu.Lock()
	r.pending = r.pending.Merged(report)
	r.mu.Unlock()
	r.coalescer.Trigger()
}

// ReportTo implements laburnumgateway.QuarantineReporter.
func (r *quarantineReporter) ReportTo(address string, report laburnumquarantine.Report) {
	go func() { _ = r.send(address, report) }()
}

func (r *quarantineReporter) flush() {
	r.mu.Lock()
	report := r.pending
	r.pending = laburnumquarantine.Report{}
	r.mu.Unlock()
	if report.IsZero() || r.sendToAll(report) {
		return
	}
	r.mu.Lock()
	r.pending = report.Merged(r.pending)
	r.mu.Unlock()
	r.timers.After(reportRetryDelay, func(time.Time) { r.coalescer.Trigger() })
}

// sendToAll reports whether a control VM received the report.
func (r *quarantineReporter) sendToAll(report laburnumquarantine.Report) bool {
	controls := r.controls()
	results := make(chan error, len(controls))
	for _, address := range controls {
		go func() { results <- r.send(address, report) }()
	}
	received := false
	for range controls {
		received = <-results == nil || received
	}
	return received
}

// send sends a report to a control VM. A control VM that does not know the method counts as one that
// received it: sending it again would not help.
func (r *quarantineReporter) send(address string, report laburnumquarantine.Report) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var answer struct{}
	err := r.peers.Call(ctx, address, methodQuarantineReport, report.Sent(r.timers.Now()), &answer)
	if err == nil {
		return nil
	}
	_ = level.Info(r.logger).Log("event", laburnumlever.EventQuarantineNotReported, "address", address, "cause", err)
	var refused *laburnumlever.PeerRefusedError
	if errors.As(err, &refused) {
		return nil
	}
	return err
}
