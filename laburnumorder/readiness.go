package laburnumorder

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"
)

// readiness remembers since when each copy has been seen ready without a break.
type readiness struct{ since map[copyID]time.Time }

type copyID struct {
	backend laburnumlever.BackendID
	model   laburnumlever.ModelName
	version laburnumlever.Version
	first   laburnumlever.AcceleratorID
}

func newReadiness() readiness { return readiness{since: make(map[copyID]time.Time)} }

// mark sets which copies are stable. A copy that is not seen, or on an engine that
// is down, begins anew: to rely on it again takes as long as on a new one.
func (r *readiness) mark(engines []laburnumplacement.Engine, now time.Time) {
	next := make(map[copyID]time.Time, len(r.since))
	for _, e := range engines {
		if !e.Serving {
			continue
		}
		for i, c := range e.Copies {
			if !c.Ready || len(c.Accelerators) == 0 {
				continue
			}
			id := copyID{backend: e.ID, model: c.Model, version: c.Version, first: c.Accelerators[0]}
			since, known := r.since[id]
			if !known {
				since = now
			}
			next[id] = since
			e.Copies[i].Stable = now.Sub(since) >= stableAfter
		}
	}
	r.since = next
}

// progress follows whether the zones get on with their repairs.
type progress struct {
	missing int
	at      time.Time
}

// overdue lists the models without a copy if their number has not fallen for too
// long. While it falls, the rest only wait for the weight store.
func (p *progress) overdue(s laburnumplacement.Snapshot, now time.Time) map[laburnumlever.ModelName]bool {
	missing := make(map[laburnumlever.ModelName]bool)
	for _, m := range s.Catalogue.Models {
		missing[m.Name] = true
	}
	for _, e := range s.Engines {
		for _, c := range e.Copies {
			if e.Serving && !c.Going && !c.Draining {
				delete(missing, c.Model)
			}
		}
	}
	if len(missing) < p.missing || p.missing == 0 {
		p.at = now
	}
	p.missing = len(missing)
	if now.Sub(p.at) < overdueAfter {
		return nil
	}
	return missing
}
