package laburnumorder

import (
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"
)

// readiness remembers since when each copy has been seen ready without a break. It
// is kept by engine, in the order of its report: from round to round hardly any
// engine's copies change, and a map of all copies was two fifths of a round.
type readiness struct {
	engines map[laburnumlever.BackendID]seenCopies
}

type seenCopies struct {
	copies []laburnumplacement.Copy
	since  []time.Time // zero for a copy that was not ready
}

func newReadiness() readiness {
	return readiness{engines: make(map[laburnumlever.BackendID]seenCopies)}
}

// mark sets which copies are stable. A copy that is not seen, or on an engine that
// is down, begins anew: to rely on it again takes as long as on a new one.
// So does one whose engine has not reported for some time (old).
func (r *readiness) mark(engines []laburnumplacement.Engine, old map[laburnumlever.BackendID]bool, now time.Time) {
	next := make(map[laburnumlever.BackendID]seenCopies, len(engines))
	for _, e := range engines {
		if !e.Serving || old[e.ID] {
			continue
		}
		before := r.engines[e.ID]
		seen := seenCopies{copies: e.Copies, since: make([]time.Time, len(e.Copies))}
		for i, c := range e.Copies {
			if !c.Ready {
				continue
			}
			seen.since[i] = before.sinceOf(i, c)
			if seen.since[i].IsZero() {
				seen.since[i] = now
			}
			e.Copies[i].Stable = now.Sub(seen.since[i]) >= stableAfter
		}
		next[e.ID] = seen
	}
	r.engines = next
}

// sinceOf finds since when a copy has been ready, where it stood last time first.
func (s seenCopies) sinceOf(i int, c laburnumplacement.Copy) time.Time {
	if i < len(s.copies) && sameCopy(s.copies[i].Loaded, c.Loaded) {
		return s.since[i]
	}
	for j := range s.copies {
		if sameCopy(s.copies[j].Loaded, c.Loaded) {
			return s.since[j]
		}
	}
	return time.Time{}
}

func sameCopy(a, b laburnumlever.Loaded) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Accelerators, b.Accelerators)
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
			if e.Serving && !c.Unloading && !c.Draining {
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

// versions remembers since when each model has had its version.
type versions map[laburnumlever.ModelName]versionSince

type versionSince struct {
	version laburnumlever.Version
	since   time.Time
}

// recentlyChanged lists the models whose version changed a moment ago.
func (v versions) recentlyChanged(models []laburnumlever.Model, now time.Time) map[laburnumlever.ModelName]bool {
	list := make(map[laburnumlever.ModelName]bool)
	for _, m := range models {
		known, ok := v[m.Name]
		if !ok || known.version != m.Version {
			known = versionSince{version: m.Version, since: now}
			v[m.Name] = known
		}
		if now.Sub(known.since) < versionAge {
			list[m.Name] = true
		}
	}
	return list
}
