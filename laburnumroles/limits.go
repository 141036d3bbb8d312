package laburnumroles

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumlimit"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// limitSweepPeriod is the interval between checks for limits and gateways that are to be dropped.
const limitSweepPeriod = 10 * time.Second

// limits is the part of a control VM that grants slots at limited backend servers and publishes their
// limits. It is safe for concurrent use.
type limits struct {
	timers laburnumlever.Timers
	source *laburnumfeed.Source
	logger log.Logger
	// size is the number of backend servers whose limits are kept.
	size tally.Gauge
	// granted and refused count requests for slots.
	granted, refused tally.Counter

	mu     sync.Mutex
	keeper *laburnumlimit.Keeper
}

func newLimits(timers laburnumlever.Timers, source *laburnumfeed.Source, logger log.Logger, scope tally.Scope) *limits {
	return &limits{
		timers: timers, source: source, logger: logger, keeper: laburnumlimit.NewKeeper(), size: scope.Gauge("limited_backends"),
		granted: scope.Tagged(map[string]string{"outcome": "granted"}).Counter("limit_slots"),
		refused: scope.Tagged(map[string]string{"outcome": "refused"}).Counter("limit_slots"),
	}
}

// start begins the sweeps.
func (l *limits) start() { l.timers.Every(limitSweepPeriod, l.sweep) }

func (l *limits) handleReport(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var report laburnumlimit.Report
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodLimitReport, Cause: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(report, l.timers.Now())
	return struct{}{}, nil
}

func (l *limits) handleSlot(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var q laburnumlimit.SlotRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodLimitSlot, Cause: err}
	}
	share := laburnumlimit.StandInShare
	if l.source.IsFirstFor(q.Zone, string(q.Backend)) {
		share = laburnumlimit.FullShare
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Now()
	l.record(q.Report, now)
	answer := l.keeper.Reserve(q, share, now)
	if answer.Granted {
		l.granted.Inc(1)
	} else {
		l.refused.Inc(1)
	}
	return answer, nil
}

// record records what a gateway tells, and publishes what is news. The caller holds mu.
func (l *limits) record(r laburnumlimit.Report, now time.Time) {
	if !l.keeper.Report(r, now) {
		return
	}
	_ = level.Info(l.logger).Log("event", laburnumlever.EventLimitChanged, "backend", r.Backend, "limit", r.Limit)
	l.source.SetLimit(r.Limit)
	l.size.Update(float64(l.keeper.Len()))
}

// sweep drops limits that no gateway asks of any more.
func (l *limits) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.keeper.Sweep(now) {
		l.source.ForgetLimit(id)
	}
	l.size.Update(float64(l.keeper.Len()))
}
