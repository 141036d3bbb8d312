package laburnumroles

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

const (
	// verdictInterval is the least time between two evaluations of the evidence, which takes
	// milliseconds if there is much of it.
	verdictInterval = 50 * time.Millisecond
	// quarantineSweepPeriod is the interval between checks for quarantines that are over.
	quarantineSweepPeriod = 10 * time.Second
	// clearedRetention is how long the feed keeps the entry of a cleared request: longer than a
	// gateway takes to resume at its cursor.
	clearedRetention = 10 * time.Minute
)

// quarantine is the part of a control VM that finds crashing requests from the gateways' reports and
// publishes them. It is safe for concurrent use.
type quarantine struct {
	timers  laburnumlever.Timers
	source  *laburnumfeed.Source
	logger  log.Logger
	verdict *laburnumtimer.Coalescer
	// size is the number of requests that evidence is kept of, listed that of refused requests.
	size, listed           tally.Gauge
	partsSize, partsListed tally.Gauge

	mu       sync.Mutex
	detector *laburnumquarantine.Detector
	parts    *laburnumquarantine.PartDetector
	trials   *laburnumquarantine.Trials
	// refused are the requests that are held or in quarantine.
	refused map[laburnumlever.RequestDigest]laburnumquarantine.State
	cleared map[laburnumlever.RequestDigest]time.Time
	// refusedParts are the parts that are refused, with the number of crashes.
	refusedParts map[laburnumlever.RequestDigest]laburnumquarantine.Entry
}

func newQuarantine(timers laburnumlever.Timers, source *laburnumfeed.Source, logger log.Logger, scope tally.Scope) *quarantine {
	q := &quarantine{
		timers: timers, source: source, logger: logger, detector: laburnumquarantine.NewDetector(), parts: laburnumquarantine.NewPartDetector(), trials: laburnumquarantine.NewTrials(),
		size: scope.Gauge("suspect_requests"), listed: scope.Gauge("quarantined_requests"),
		partsSize: scope.Gauge("suspect_parts"), partsListed: scope.Gauge("quarantined_parts"),
		refused: map[laburnumlever.RequestDigest]laburnumquarantine.State{}, cleared: map[laburnumlever.RequestDigest]time.Time{},
		refusedParts: map[laburnumlever.RequestDigest]laburnumquarantine.Entry{},
	}
	q.verdict = laburnumtimer.NewCoalescer(timers, func() time.Duration { return verdictInterval }, q.publish)
	return q
}

// start begins the sweeps.
func (q *quarantine) start() { q.timers.Every(quarantineSweepPeriod, q.sweep) }

func (q *quarantine) handleReport(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var report laburnumquarantine.Report
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodQuarantineReport, Cause: err}
	}
	now := q.timers.Now()
	q.add(laburnumquarantine.Report{}.Merged(report.Received(now)), now)
	return struct{}{}, nil
}

// add adds a report, with times, to the evidence.
func (q *quarantine) add(report laburnumquarantine.Report, now time.Time) {
	q.mu.Lock()
	q.detector.Add(report, now)
	q.parts.Add(report, now)
	q.mu.Unlock()
	q.verdict.Trigger()
	if len(report.Parts) > 0 {
		q.timers.After(laburnumquarantine.KnownPartDelay, func(time.Time) { q.verdict.Trigger() })
	}
}

// publish evaluates the evidence and publishes what has changed.
func (q *quarantine) publish() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.timers.Now()
	for _, e := range slices.Concat(q.detector.Changes(now), q.parts.Changes(now)) {
		q.logChange(e)
		delete(q.cleared, e.Digest)
		if e.State == laburnumquarantine.Cleared {
			q.cleared[e.Digest] = now
		}
		q.source.SetQuarantine(e)
	}
	requests, _ := q.detector.Size()
	q.size.Update(float64(requests))
	q.listed.Update(float64(len(q.refused)))
	parts, refused := q.parts.Size()
	q.partsSize.Update(float64(parts))
	q.partsListed.Update(float64(refused))
}

// logChange logs that a request is refused or released. The caller holds mu.
func (q *quarantine) logChange(e laburnumquarantine.Entry) {
	if e.Part != nil {
		q.logPart(e)
		return
	}
	before := q.refused[e.Digest]
	switch {
	case e.State.Refused() && e.State != before:
		q.refused[e.Digest] = e.State
		_ = level.Warn(q.logger).Log("event", laburnumlever.EventRequestQuarantined, "digest", e.Digest, "state", e.State, "crashes", e.Crashes, "backends", q.detector.Backends(e.Digest))
	case !e.State.Refused() && before.Refused():
		delete(q.refused, e.Digest)
		_ = level.Info(q.logger).Log("event", laburnumlever.EventRequestReleased, "digest", e.Digest, "state", e.State)
	default:
	}
}

// logPart logs that requests with a part are refused or served again. The caller holds mu.
func (q *quarantine) logPart(e laburnumquarantine.Entry) {
	before, refused := q.refusedParts[e.Digest]
	switch {
	case e.State.Refused() && (!refused || before.Trials != e.Trials):
		q.refusedParts[e.Digest] = e
		_ = level.Warn(q.logger).Log("event", laburnumlever.EventPartQuarantined, "part", e.Part.ID, "service", e.Part.Service, "digest", e.Digest,
			"crashes", e.Crashes, "trials", e.Trials, "known", e.Known, "retry-in", e.RetryIn, "backends", q.parts.Backends(*e.Part))
	case !e.State.Refused() && refused:
		delete(q.refusedParts, e.Digest)
		_ = level.Info(q.logger).Log("event", laburnumlever.EventPartReleased, "part", e.Part.ID, "service", e.Part.Service, "digest", e.Digest, "state", e.State)
	default:
	}
}

// sweep ends quarantines that are over and drops old entries of the feed.
func (q *quarantine) sweep(now time.Time) {
	q.verdict.Trigger()
	q.mu.Lock()
	defer q.mu.Unlock()
	for digest, at := range q.cleared {
		if now.Sub(at) > clearedRetention {
			delete(q.cleared, digest)
			q.source.ForgetQuarantine(digest)
		}
	}
}
