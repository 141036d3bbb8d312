package laburnumreturn

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

// overdueShare is the part of the told time for which a load is still expected after it should have ended. Concurrent loads are slower.
const overdueShare = 0.5

// Loads are the loads under way, as the placement leader last told of each engine. They are dated by this VM's clock, so that those
// of a leader that has died end by themselves.
type Loads struct {
	// Lag is how much later than it ends a load may become known here.
	Lag     time.Duration
	engines map[laburnumlever.BackendID]engineLoads
}

type engineLoads struct {
	service     laburnumlever.ServiceName
	slots       int
	fence       uint64
	incarnation uint64
	models      []modelLoad
}

type modelLoad struct {
	model            laburnumlever.ModelName
	readyAt, overdue time.Time
}

// Load is the first end of a load of a model.
type Load struct {
	// In is the time until then; 0 if it should have ended by now.
	In time.Duration
	// Slots are those of all engines that load the model.
	Slots int
}

// Apply replaces what is known of an engine, whose last heartbeat is h. An overlay of an earlier leader or of another incarnation is
// ignored.
func (l *Loads) Apply(h laburnumlever.Heartbeat, o laburnumregistry.Overlay, now time.Time) {
	before, known := l.engines[o.Backend]
	if o.Incarnation != h.Incarnation || known && before.incarnation == o.Incarnation && o.Fence < before.fence {
		return
	}
	if !known && len(o.Loading) == 0 {
		return
	}
	e := engineLoads{service: h.Service, slots: h.Slots, fence: o.Fence, incarnation: o.Incarnation}
	for _, m := range o.Loading {
		if told := time.Duration(m.ReadyIn); told > 0 {
			overdue := told + time.Duration(overdueShare*float64(told)) + l.Lag
			e.models = append(e.models, modelLoad{model: m.Model, readyAt: now.Add(told), overdue: now.Add(overdue)})
		}
	}
	if l.engines == nil {
		l.engines = map[laburnumlever.BackendID]engineLoads{}
	}
	l.engines[o.Backend] = e
}

// Keep drops the loads of an engine that is gone or has restarted.
func (l *Loads) Keep(r laburnumregistry.Record) {
	id := r.Heartbeat.Backend
	if e, ok := l.engines[id]; ok && (!r.AcceptsRequests() || e.incarnation != r.Heartbeat.Incarnation) {
		delete(l.engines, id)
	}
}

// Expected returns the first end of a load of a model; false if none is expected.
func (l *Loads) Expected(need Need, now time.Time) (Load, bool) {
	var first Load
	found := false
	for _, e := range l.engines {
		if e.service != need.Service {
			continue
		}
		for _, m := range e.models {
			if m.model != need.Model || now.After(m.overdue) {
				continue
			}
			first.Slots += e.slots
			if in := max(0, m.readyAt.Sub(now)); !found || in < first.In {
				first.In, found = in, true
			}
		}
	}
	return first, found
}
