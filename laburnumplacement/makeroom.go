package laburnumplacement

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// canEvict reports whether a copy can be unloaded without losing its model, even if the owner of
// another zone unloads its own copies at the same moment. Either the copy's zone keeps another
// stable copy, or a zone that precedes it in the model's order of zones does. Of two zones only one
// precedes the other, so they cannot both unload and lose the last two copies.
func (f *fleet) canEvict(p *placement) bool {
	if p.model < 0 {
		return true
	}
	ownZone := f.engines[p.engine].Zone
	for _, other := range f.models[p.model].copies {
		if other == p || !f.stable(other) || !f.resident(other) {
			continue
		}
		if p.current && !other.current {
			// The old version will be unloaded because this copy is there.
			continue
		}
		zone := f.engines[other.engine].Zone
		if zone == ownZone || !f.versionRecentlyChanged(p.model) && f.precedes(p.model, zone, ownZone) {
			return true
		}
	}
	return false
}

// versionRecentlyChanged reports whether the owner of another zone may still act on the model's
// previous version. To that owner, copies of the version before it are the old ones: it may unload
// its copy of that version because of a copy of the previous version here, while this zone unloads
// the latter because of the former, and the model would be lost.
func (f *fleet) versionRecentlyChanged(m int) bool {
	return f.snapshot.RecentlyChanged[f.models[m].Name]
}

// precedes reports whether zone a comes before zone b in the model's order of zones.
func (f *fleet) precedes(m int, a, b laburnumlever.ZoneName) bool {
	name := string(f.models[m].Name)
	return hash(name, string(a)) < hash(name, string(b))
}

// makeRoom frees memory for a model that has no copy and fits nowhere: it unloads surplus copies of
// an engine, or starts to move the only copy of another model to where it fits. It reports whether
// there is a way; the model itself is loaded in a later round, once the memory is free. Only
// allowed engines count: relying on room in a zone whose owner does not act would keep the model
// unavailable as long as that lasts.
func (f *fleet) makeRoom(m int, allowed func(at int) bool) bool {
	if f.roomPending(m, allowed) {
		return true
	}
	best, ok := f.cheapestEviction(m, allowed)
	if ok {
		for _, p := range best.victims {
			f.planUnload(p, ReasonMakeRoom, Move{For: f.models[m].Name})
		}
		return true
	}
	return f.relocate(m, allowed)
}

// eviction is a set of copies whose unloading makes room on one engine.
type eviction struct {
	engine  int
	victims []*placement
	cost    float64
}

func (f *fleet) cheapestEviction(m int, allowed func(at int) bool) (eviction, bool) {
	var best eviction
	found := false
	for at := range f.engines {
		if !allowed(at) {
			continue
		}
		c, ok := f.evictionOn(at, m, func(p *placement) bool { return p.Unloading || p.Draining || f.canEvict(p) }, f.demandPerCopy)
		if !ok {
			continue
		}
		c.victims = slices.DeleteFunc(c.victims, func(p *placement) bool { return p.Unloading || p.Draining })
		if !found || c.cheaperThan(best) {
			best, found = c, true
		}
	}
	return best, found
}

// evictionCandidate is a copy that may be unloaded, and the cost of that.
type evictionCandidate struct {
	copy *placement
	cost float64
}

func (c eviction) cheaperThan(other eviction) bool {
	return cmp.Or(cmp.Compare(c.cost, other.cost), cmp.Compare(len(c.victims), len(other.victims))) < 0
}

// evictionOn selects the copies to unload so that the model fits on the engine, lowest cost first.
// It skips copies whose memory stays reserved: unloading one frees nothing yet, and the next round
// would reload it there, over and over until its load order expires.
func (f *fleet) evictionOn(at, m int, evictable func(p *placement) bool, cost func(p *placement) float64) (eviction, bool) {
	e := &f.engines[at]
	mod := &f.models[m]
	if !e.AcceptsOrders || len(e.free) < mod.span {
		return eviction{}, false
	}
	free := slices.Clone(e.free)
	var candidates []evictionCandidate
	for _, p := range e.copies {
		if !p.planned && !p.StaysReserved && p.model != m && evictable(p) {
			candidates = append(candidates, evictionCandidate{copy: p, cost: cost(p)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.copy.Model, b.copy.Model))
	})
	c := eviction{engine: at}
	for _, candidate := range candidates {
		if hasRoom(free, mod.partMiB, mod.span) {
			break
		}
		for i, a := range e.Accelerators {
			if slices.Contains(candidate.copy.Accelerators, a.ID) {
				free[i] += candidate.copy.PartMiB
			}
		}
		c.victims = append(c.victims, candidate.copy)
		c.cost += candidate.cost
	}
	return c, hasRoom(free, mod.partMiB, mod.span)
}

// hasRoom reports whether at least span accelerators have partMiB free.
func hasRoom(free []int, partMiB, span int) bool {
	for _, n := range free {
		if n >= partMiB {
			span--
		}
	}
	return span <= 0
}

// demandPerCopy returns the model's peak demand divided by its copies; 0 for a copy that is already
// being unloaded.
func (f *fleet) demandPerCopy(p *placement) float64 {
	if p.model < 0 || p.Unloading || p.Draining {
		return 0
	}
	return f.models[p.model].demand.Peak.Requests / float64(len(f.models[p.model].copies))
}

// releases reports whether a stable copy of the same model on another engine would let canEvict
// release a copy: it is in the same zone or in one that precedes it.
func (f *fleet) releases(p *placement, at int) bool {
	from, to := f.engines[p.engine].Zone, f.engines[at].Zone
	return at != p.engine && (to == from || f.precedes(p.model, to, from))
}

// relocate moves the only copy of another model away: it is loaded where it fits now, and unloaded
// here in a later round, once the new copy is stable.
func (f *fleet) relocate(m int, allowed func(at int) bool) bool {
	for at := range f.engines {
		if !allowed(at) {
			continue
		}
		for _, p := range f.engines[at].copies {
			if p.model < 0 || p.planned || !f.stable(p) || !p.current {
				continue
			}
			if _, ok := f.evictionOn(at, m, func(other *placement) bool { return other == p || f.canEvict(other) }, f.demandPerCopy); !ok {
				continue
			}
			if f.relocateCopy(p, m) {
				return true
			}
		}
	}
	return false
}

func (f *fleet) relocateCopy(p *placement, m int) bool {
	if f.replacementPending(p.model) {
		return true
	}
	s, ok := f.findEngine(p.model, func(at int) bool { return f.releases(p, at) })
	if !ok {
		return false
	}
	f.planLoad(p.model, s, ReasonMakeRoom, Move{For: f.models[m].Name})
	return true
}

// replacementPending reports whether another copy of the model is loading or not yet stable, that
// is, whether its move has started.
func (f *fleet) replacementPending(m int) bool {
	return slices.ContainsFunc(f.models[m].copies, func(p *placement) bool {
		return f.resident(p) && !f.stable(p)
	})
}
