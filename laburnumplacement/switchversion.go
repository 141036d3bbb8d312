package laburnumplacement

import (
	"slices"

	"laburnumlever"
)

// switchVersions replaces copies of a version that is no longer in the catalogue. New copies are
// loaded beside the old ones. The old ones are unloaded when as many new copies are stable, or when
// no more new copies fit. The engine drains an old copy, so requests in flight finish on it.
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

// stableIn reports whether the zone has a stable copy of the catalogue's version.
func (f *fleet) stableIn(m int, zone laburnumlever.ZoneName) bool {
	return slices.ContainsFunc(f.models[m].copies, func(p *placement) bool {
		return p.current && f.stable(p) && f.engines[p.engine].Zone == zone
	})
}

// versions returns the resident copies of old versions, the number of copies of the current
// version, and how many of these are stable.
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

// loadNewVersions plans up to n copies of the current version and reports whether one did not fit.
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

// switchOneByOne handles a model without room for a new copy beside the old ones. It unloads one
// old copy if another one stays stable, and otherwise makes room at the expense of other models.
func (f *fleet) switchOneByOne(m int, old []*placement) {
	if slices.ContainsFunc(f.models[m].copies, func(p *placement) bool { return p.Unloading || p.Draining }) {
		return
	}
	i := slices.IndexFunc(old, f.canEvict)
	if i >= 0 {
		f.planUnload(old[i], ReasonVersion, Move{})
		return
	}
	f.makeRoom(m, anyEngine)
}

// updateChangedCopies reloads, in place, copies whose adapters or size differ from the catalogue.
// addCopies has already reserved the memory for the larger size. A copy that no longer fits its
// accelerators is moved.
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

// moveOversized replaces a copy that no longer fits its accelerators: a new copy is loaded on
// another engine, if need be in place of copies of other models, and this one is unloaded as soon as
// canEvict allows. If there is no way, the copies beside it make room.
func (f *fleet) moveOversized(m int, p *placement) {
	if f.canEvict(p) {
		f.planUnload(p, ReasonUpdate, Move{})
		return
	}
	if f.replacementPending(m) {
		return
	}
	elsewhere := func(at int) bool { return f.releases(p, at) && !f.hasCopy(at, m) }
	if s, ok := f.findEngine(m, elsewhere); ok {
		f.planLoad(m, s, ReasonUpdate, Move{Gain: f.models[m].demand.Now.Requests})
		return
	}
	if !f.makeRoom(m, elsewhere) {
		f.makeRoomBeside(p)
	}
}

// makeRoomBeside unloads copies on the accelerators of a copy that has outgrown them.
func (f *fleet) makeRoomBeside(p *placement) {
	e := &f.engines[p.engine]
	if e.unloading {
		return // the memory is about to be free
	}
	for _, other := range e.copies {
		shares := slices.ContainsFunc(other.Accelerators, func(id laburnumlever.AcceleratorID) bool { return slices.Contains(p.Accelerators, id) })
		if other != p && shares && !other.planned && !other.StaysReserved && f.canEvict(other) {
			f.planUnload(other, ReasonUpdate, Move{For: p.Model})
			return
		}
	}
}
