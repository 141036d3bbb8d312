package laburnumplacement

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// canEvict tells whether a copy can be given up without its model being lost, also when
// another zone's owner decides the same of its own copies at this moment: either
// the copy's own zone keeps another that answers, or a zone that goes before
// this one in the model's own order of zones does. Of two zones only one can be
// the other's predecessor, so they can't each give up the last but one.
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
			// The other is about to go itself, on the strength of this one.
			continue
		}
		zone := f.engines[other.engine].Zone
		if zone == ownZone || !f.versionRecentlyChanged(p.model) && f.precedes(p.model, zone, ownZone) {
			return true
		}
	}
	return false
}

// versionRecentlyChanged guards a copy in a zone whose owner acts on another version for a moment: it
// gives up its copy of the version before last for one here, while this one gives
// that up for the other, and the model is lost.
func (f *fleet) versionRecentlyChanged(m int) bool { return f.snapshot.Fresh[f.models[m].Name] }

func (f *fleet) precedes(m int, a, b laburnumlever.ZoneName) bool {
	name := string(f.models[m].Name)
	return hash(name, string(a)) < hash(name, string(b))
}

// makeRoom frees memory for a model that has no copy and no place: it unloads
// surplus copies of an engine, or begins to move the only copy of another model to
// where it fits. It reports whether there is a way; the model itself follows in a
// later round, once the memory is free. Only engines that are allowed count: room in a
// zone whose owner does not act would keep the model away for as long as that lasts.
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
		c, ok := f.evictionOn(at, m, func(p *placement) bool { return p.Going || p.Draining || f.canEvict(p) }, f.demandPerCopy)
		if !ok {
			continue
		}
		c.victims = slices.DeleteFunc(c.victims, func(p *placement) bool { return p.Going || p.Draining })
		if !found || c.cheaperThan(best) {
			best, found = c, true
		}
	}
	return best, found
}

// evictionCandidate is a copy that may go, and what it is worth.
type evictionCandidate struct {
	copy *placement
	cost float64
}

func (c eviction) cheaperThan(other eviction) bool {
	return cmp.Or(cmp.Compare(c.cost, other.cost), cmp.Compare(len(c.victims), len(other.victims))) < 0
}

// evictionOn finds the copies to unload so that the model fits on the engine,
// those whose models have the least demand first. A copy whose memory stays counted
// is left alone: unloaded, it would free nothing yet, and the next round would load
// it there again, in turns for as long as its order counts.
func (f *fleet) evictionOn(at, m int, evictable func(p *placement) bool, cost func(p *placement) float64) (eviction, bool) {
	e := &f.engines[at]
	mod := &f.models[m]
	if !e.Usable || len(e.free) < mod.span {
		return eviction{}, false
	}
	free := slices.Clone(e.free)
	var candidates []evictionCandidate
	for _, p := range e.copies {
		if !p.planned && !p.Counted && p.model != m && evictable(p) {
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

func hasRoom(free []int, partMiB, span int) bool {
	for _, n := range free {
		if n >= partMiB {
			span--
		}
	}
	return span <= 0
}

// demandPerCopy is the demand a copy stands for; one that is going already costs nothing.
func (f *fleet) demandPerCopy(p *placement) float64 {
	if p.model < 0 || p.Going || p.Draining {
		return 0
	}
	return f.models[p.model].demand.Hold.Requests / float64(len(f.models[p.model].copies))
}

// relocate moves the only copy of another model away: it is loaded where it fits
// now, and unloaded here in a later round, once the new copy has answered for
// some time. The target is in the same zone or in one that precedes it, or mayGo
// would hold the old copy for ever.
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
	from := f.engines[p.engine].Zone
	if f.replacementPending(p.model) {
		return true
	}
	s, ok := f.findEngine(p.model, func(at int) bool {
		to := f.engines[at].Zone
		return at != p.engine && (to == from || f.precedes(p.model, to, from))
	})
	if !ok {
		return false
	}
	f.planLoad(p.model, s, ReasonMakeRoom, Move{For: f.models[m].Name})
	return true
}

// replacementPending tells whether another copy of the model is loading or has just been
// loaded, so that the move away has begun.
func (f *fleet) replacementPending(m int) bool {
	return slices.ContainsFunc(f.models[m].copies, func(p *placement) bool {
		return f.resident(p) && !f.stable(p)
	})
}
