package laburnumroles

import (
	"context"
	"maps"
	"sync"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
)

// restingEngines sends engines that have asked this VM for rest nothing until it is over. It is safe for concurrent use.
type restingEngines struct {
	engines laburnumlever.ModelEngines
	timers  laburnumlever.Timers

	mu sync.Mutex
	// until are the ends of the rests.
	until map[laburnumlever.BackendStart]time.Time
}

var _ laburnumlever.ModelEngines = (*restingEngines)(nil)

func newRestingEngines(engines laburnumlever.ModelEngines, timers laburnumlever.Timers) *restingEngines {
	return &restingEngines{engines: engines, timers: timers, until: map[laburnumlever.BackendStart]time.Time{}}
}

// Order implements laburnumlever.ModelEngines.
func (e *restingEngines) Order(ctx context.Context, to laburnumlever.Heartbeat, order laburnumlever.EngineOrder) (laburnumlever.EngineVerdict, error) {
	if err := e.check(to); err != nil {
		return 0, err
	}
	verdict, err := e.engines.Order(ctx, to, order)
	e.note(to, err)
	return verdict, err
}

// State implements laburnumlever.ModelEngines.
func (e *restingEngines) State(ctx context.Context, to laburnumlever.Heartbeat) (laburnumlever.EngineState, error) {
	if err := e.check(to); err != nil {
		return laburnumlever.EngineState{}, err
	}
	state, err := e.engines.State(ctx, to)
	e.note(to, err)
	return state, err
}

// check returns a *laburnumlever.NotSentError if the engine rests.
func (e *restingEngines) check(to laburnumlever.Heartbeat) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	left := e.until[startOf(to)].Sub(e.timers.Now())
	if left <= 0 {
		return nil
	}
	return &laburnumlever.NotSentError{Cause: &laburnumlever.BackendRestsError{Backend: to.Backend, Rest: left}}
}

// note records the rest that an engine asked for; the longest counts.
func (e *restingEngines) note(to laburnumlever.Heartbeat, err error) {
	var rests *laburnumlever.BackendRestsError
	if !errors.As(err, &rests) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	maps.DeleteFunc(e.until, func(_ laburnumlever.BackendStart, until time.Time) bool { return !until.After(now) })
	if end := now.Add(rests.Rest); end.After(e.until[startOf(to)]) {
		e.until[startOf(to)] = end
	}
}

func startOf(h laburnumlever.Heartbeat) laburnumlever.BackendStart {
	return laburnumlever.BackendStart{Backend: h.Backend, Incarnation: h.Incarnation}
}
