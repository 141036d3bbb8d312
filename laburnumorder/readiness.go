package laburnumorder

import (
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"
)

// readiness records since when each copy has been continuously ready. Copies are stored
// per engine in the order of its report, because they rarely change between rounds; a map
// of all copies took two fifths of a round.
type readiness struct {
	engines map[laburnumlever.BackendID]readyCopies
}

type readyCopies struct {
	copies []laburnumplacement.Copy
	since  []time.Time // zero for a copy that was not ready
}

func newReadiness() readiness {
	return readiness{engines: make(map[laburnumlever.BackendID]readyCopies)}
}

// markStable sets Stable on copies that have been ready for stableAfter. The time restarts
// for a copy that was missing, and for copies on an engine that is down or whose reports
// are too old (old).
func (r *readiness) markStable(engines []laburnumplacement.Engine, old map[laburnumlever.BackendID]bool, now time.Time) {
	next := make(map[laburnumlever.BackendID]readyCopies, len(engines))
	for _, e := range engines {
		if !e.Serving || old[e.ID] {
			continue
		}
		before := r.engines[e.ID]
		seen := readyCopies{copies: e.Copies, since: make([]time.Time, len(e.Copies))}
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

// sinceOf returns since when a copy has been ready. It tries the copy's previous index
// first.
func (s readyCopies) sinceOf(i int, c laburnumplacement.Copy) time.Time {
	if i < len(s.copies) && sameCopy(s.copies[i].ModelCopy, c.ModelCopy) {
		return s.since[i]
	}
	for j := range s.copies {
		if sameCopy(s.copies[j].ModelCopy, c.ModelCopy) {
			return s.since[j]
		}
	}
	return time.Time{}
}

func sameCopy(a, b laburnumlever.ModelCopy) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Accelerators, b.Accelerators)
}

// progress tracks whether the number of models without a copy falls.
type progress struct {
	missing int
	at      time.Time
}

// overdue returns the models without a copy if their number has not fallen for
// overdueAfter. While it falls, the others only wait for the weight store.
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

// versions records since when each model has had its version.
type versions map[laburnumlever.ModelName]versionSince

type versionSince struct {
	version laburnumlever.Version
	since   time.Time
}

// recentlyChanged returns the models whose version changed within freshVersionPeriod.
func (v versions) recentlyChanged(models []laburnumlever.Model, now time.Time) map[laburnumlever.ModelName]bool {
	list := make(map[laburnumlever.ModelName]bool)
	for _, m := range models {
		known, ok := v[m.Name]
		if !ok || known.version != m.Version {
			known = versionSince{version: m.Version, since: now}
			v[m.Name] = known
		}
		if now.Sub(known.since) < freshVersionPeriod {
			list[m.Name] = true
		}
	}
	return list
}
