package laburnumroles

import (
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumendpoints"
	"laburnumlever/laburnumregistry"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// savePeriods is the interval between saves of endpoint state that changes, in heartbeat periods.
const savePeriods = 2

// endpoints saves endpoint state on a control VM. It is safe for concurrent use.
type endpoints struct {
	store  *laburnumendpoints.Store
	saves  *saves
	logger log.Logger

	mu      sync.Mutex
	changed bool
	// saving is set while a save runs: a disk may hang for seconds.
	saving bool
	failed bool
}

func newEndpoints(folder string, running *saves, logger log.Logger) *endpoints {
	return &endpoints{store: laburnumendpoints.New(folder), saves: running, logger: logger}
}

// load returns what was saved before this start; none if it can't be read.
func (e *endpoints) load() []laburnumregistry.Record {
	records, err := e.store.Load()
	if err != nil {
		_ = level.Warn(e.logger).Log("event", laburnumlever.EventEndpointsNotLoaded, "cause", err)
	}
	return records
}

// start saves changed state from now on.
func (e *endpoints) start(timers laburnumlever.Timers, period time.Duration, records func() []laburnumregistry.Record) {
	timers.Every(savePeriods*period, func(time.Time) { e.saveChanged(records) })
}

// noteChange records that the state has changed.
func (e *endpoints) noteChange() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed = true
}

func (e *endpoints) saveChanged(records func() []laburnumregistry.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.changed || e.saving {
		return
	}
	e.changed, e.saving = false, e.saves.start(func() { e.saved(e.store.Save(records())) })
}

// saved records the result of a save.
func (e *endpoints) saved(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil && !e.failed {
		_ = level.Warn(e.logger).Log("event", laburnumlever.EventEndpointsNotSaved, "cause", err)
	}
	e.saving, e.failed, e.changed = false, err != nil, e.changed || err != nil
}
