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
		old, fresh, answering := f.versions(m)
		if len(old) == 0 {
			continue
		}
		full := f.loadNewVersions(m, len(old)-fresh)
		if answering > 0 && (answering >= len(old) || full && answering == fresh) {
			for _, p := range old {
				if !f.fresh(m) || f.answersIn(m, f.engines[p.engine].Zone) {
					f.planUnload(p, ReasonVersion, Move{})
				}
			}
			continue
		}
		if full && fresh == 0 {
			f.switchInTurn(m, old)
		}
	}
}

// answersIn tells whether a copy of the catalogue's version answers in the zone.
func (f *fleet) answersIn(m int, zone laburnumlever.ZoneName) bool {
	return slices.ContainsFunc(f.models[m].copies, func(p *placed) bool {
		return p.current && f.answers(p) && f.engines[p.engine].Zone == zone
	})
}

// versions finds a model's old copies, how many new ones there are, and how many
// of those answer.
func (f *fleet) versions(m int) (old []*placed, fresh, answering int) {
	for _, p := range f.models[m].copies {
		switch {
		case !f.lasting(p):
		case !p.current:
			old = append(old, p)
		default:
			fresh++
			if f.answers(p) {
				answering++
			}
		}
	}
	return old, fresh, answering
}

// loadNewVersions plans up to n new copies and reports whether one found no place.
func (f *fleet) loadNewVersions(m, n int) (full bool) {
	for range n {
		if f.full() {
			return false
		}
		s, ok := f.findSpot(m, anywhere)
		if !ok {
			return true
		}
		f.planLoad(m, s, ReasonVersion, Move{Gain: f.models[m].demand.Now.Requests})
	}
	return false
}

// switchInTurn is for when there is no room beside the old copies: one of them
// goes first if another keeps answering, else other models make room.
func (f *fleet) switchInTurn(m int, old []*placed) {
	if slices.ContainsFunc(f.models[m].copies, func(p *placed) bool { return p.Going || p.Draining }) {
		return
	}
	i := slices.IndexFunc(old, f.mayGo)
	if i >= 0 {
		f.planUnload(old[i], ReasonVersion, Move{})
		return
	}
	f.makeRoom(m, anywhere)
}

// update reloads, in place, copies whose adapters or size are no longer the
// catalogue's. Memory for the larger size is there: addCopies counted it. A copy
// that no longer fits where it is moves.
func (f *fleet) update() {
	for m := range f.models {
		mod := &f.models[m]
		for _, p := range slices.Clone(mod.copies) {
			if !p.current || p.planned || !f.lasting(p) || !p.Ready {
				continue
			}
			want := mod.wanted(p.Accelerators)
			if want.PartMiB == p.PartMiB && slices.Equal(want.Adapters, p.Adapters) {
				continue
			}
			f.updateCopy(m, p)
		}
	}
}

func (f *fleet) updateCopy(m int, p *placed) {
	mod := &f.models[m]
	e := &f.engines[p.engine]
	for i, a := range e.Accelerators {
		if slices.Contains(p.Accelerators, a.ID) && e.free[i] < 0 {
			f.moveOversized(m, p)
			return
		}
	}
	f.moves = append(f.moves, Move{
		Kind: laburnumlever.Load, Engine: e.ID, Zone: e.Zone, Copy: mod.wanted(p.Accelerators),
		Reason: ReasonUpdate, Gain: mod.demand.Now.Requests,
	})
}

// moveOversized replaces a copy that has outgrown its accelerators: a new one
// elsewhere, and this one goes when another may be relied on.
func (f *fleet) moveOversized(m int, p *placed) {
	if f.mayGo(p) {
		f.planUnload(p, ReasonUpdate, Move{})
		return
	}
	if f.underWay(m) {
		return
	}
	if s, ok := f.findSpot(m, func(at int) bool { return at != p.engine }); ok {
		f.planLoad(m, s, ReasonUpdate, Move{Gain: f.models[m].demand.Now.Requests})
	}
}
