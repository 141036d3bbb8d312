package laburnumplacement

import (
	"slices"

	"laburnumlever"
)

// switchVersions replaces copies of a version that the catalogue no longer names.
// New copies are loaded beside the old ones; the old ones go when as many new
// ones answer, or when no more new ones fit. Requests in flight finish on the old
// copy: the engine drains it.
func (f *fleet) switchVersions() {
	for m := range f.models {
		old, current, stable := f.versions(m)
		if len(old) == 0 {
			continue
		}
		full := f.loadNewVersions(m, len(old)-current)
		if stable > 0 && (stable >= len(old) || full && stable == current) {
			for _, p := range old {
				if !f.versionRecentlyChanged(m) || f.stableIn(m, f.engines[p.engine].Zone) {
					f.planUnload(p, ReasonVersion, Move{})
				}
			}
			continue
		}
		if full && current == 0 {
			f.switchOneByOne(m, old)
		}
	}
}

// stableIn tells whether a copy of the catalogue's version answers in the zone.
func (f *fleet) stableIn(m int, zone laburnumlever.ZoneName) bool {
	return slices.ContainsFunc(f.models[m].copies, func(p *placement) bool {
		return p.current && f.stable(p) && f.engines[p.engine].Zone == zone
	})
}

// versions finds a model's old copies, how many new ones there are, and how many
// of those answer.
func (f *fleet) versions(m int) (old []*placement, current, stable int) {
	for _, p := range f.models[m].copies {
		switch {
		case !f.resident(p):
		case !p.current:
			old = append(old, p)
		default:
			current++
			if f.stable(p) {
				stable++
			}
		}
	}
	return old, current, stable
}

// loadNewVersions plans up to n new copies and reports whether one found no place.
func (f *fleet) loadNewVersions(m, n int) (full bool) {
	for range n {
		if f.loadLimitReached() {
			return false
		}
		s, ok := f.findEngine(m, anyEngine)
		if !ok {
			return true
		}
		f.planLoad(m, s, ReasonVersion, Move{Gain: f.models[m].demand.Now.Requests})
	}
	return false
}

// switchOneByOne is for when there is no room beside the old copies: one of them
// goes first if another keeps answering, else other models make room.
func (f *fleet) switchOneByOne(m int, old []*placement) {
	if slices.ContainsFunc(f.models[m].copies, func(p *placement) bool { return p.Going || p.Draining }) {
		return
	}
	i := slices.IndexFunc(old, f.canEvict)
	if i >= 0 {
		f.planUnload(old[i], ReasonVersion, Move{})
		return
	}
	f.makeRoom(m, anyEngine)
}

// updateChangedCopies reloads, in place, copies whose adapters or size are no longer the
// catalogue's. Memory for the larger size is there: addCopies counted it. A copy
// that no longer fits where it is moves.
func (f *fleet) updateChangedCopies() {
	for m := range f.models {
		mod := &f.models[m]
		for _, p := range slices.Clone(mod.copies) {
			if !p.current || p.planned || !f.resident(p) || !p.Ready {
				continue
			}
			desired := mod.desiredCopy(p.Accelerators)
			if desired.PartMiB == p.PartMiB && slices.Equal(desired.Adapters, p.Adapters) {
				continue
			}
			f.updateCopy(m, p)
		}
	}
}

func (f *fleet) updateCopy(m int, p *placement) {
	mod := &f.models[m]
	e := &f.engines[p.engine]
	for i, a := range e.Accelerators {
		if slices.Contains(p.Accelerators, a.ID) && e.free[i] < 0 {
			f.moveOversized(m, p)
			return
		}
	}
	f.moves = append(f.moves, Move{
		Kind: laburnumlever.Load, Engine: e.ID, Zone: e.Zone, Copy: mod.desiredCopy(p.Accelerators),
		Reason: ReasonUpdate, Gain: mod.demand.Now.Requests,
	})
}

// moveOversized replaces a copy that has outgrown its accelerators: a new one
// elsewhere, and this one goes when another may be relied on.
func (f *fleet) moveOversized(m int, p *placement) {
	if f.canEvict(p) {
		f.planUnload(p, ReasonUpdate, Move{})
		return
	}
	if f.replacementPending(m) {
		return
	}
	if s, ok := f.findEngine(m, func(at int) bool { return at != p.engine }); ok {
		f.planLoad(m, s, ReasonUpdate, Move{Gain: f.models[m].demand.Now.Requests})
	}
}
