package laburnumplacement

import (
	"cmp"
	"slices"

	"laburnumlever"
)

// mayGo tells whether a copy can be given up without its model being lost, also when
// another zone's owner decides the same of its own copies at this moment: either
// the copy's own zone keeps another that answers, or a zone that goes before
// this one in the model's own order of zones does. Of two zones only one can be
// the other's predecessor, so they can't each give up the last but one.
func (f *fleet) mayGo(p *placed) bool {
	if p.model < 0 {
		return true
	}
	own := f.engines[p.engine].Zone
	for _, other := range f.models[p.model].copies {
		if other == p || !f.answers(other) || !f.lasting(other) {
			continue
		}
		if p.current && !other.current {
			// The other is about to go itself, on the strength of this one.
			continue
		}
		zone := f.engines[other.engine].Zone
		if zone == own || !f.fresh(p.model) && f.precedes(p.model, zone, own) {
			return true
		}
	}
	return false
}

// fresh guards a copy in a zone whose owner acts on another version for a moment: it
// gives up its copy of the version before last for one here, while this one gives
// that up for the other, and the model is lost.
func (f *fleet) fresh(m int) bool { return f.snapshot.Fresh[f.models[m].Name] }

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
	if f.comingRoom(m, allowed) {
		return true
	}
	best, ok := f.cheapestClearing(m, allowed)
	if ok {
		for _, p := range best.victims {
			f.planUnload(p, ReasonMakeRoom, Move{For: f.models[m].Name})
		}
		return true
	}
	return f.relocate(m, allowed)
}

// clearing is a set of copies whose unloading makes room on one engine.
type clearing struct {
	engine  int
	victims []*placed
	loss    float64
}

func (f *fleet) cheapestClearing(m int, allowed func(at int) bool) (clearing, bool) {
	var best clearing
	found := false
	for at := range f.engines {
		if !allowed(at) {
			continue
		}
		c, ok := f.clearing(at, m, func(p *placed) bool { return p.Going || p.Draining || f.mayGo(p) }, f.worth)
		if !ok {
			continue
		}
		c.victims = slices.DeleteFunc(c.victims, func(p *placed) bool { return p.Going || p.Draining })
		if !found || c.cheaperThan(best) {
			best, found = c, true
		}
	}
	return best, found
}

// candidate is a copy that may go, and what it is worth.
type candidate struct {
	p     *placed
	worth float64
}

func (c clearing) cheaperThan(other clearing) bool {
	return cmp.Or(cmp.Compare(c.loss, other.loss), cmp.Compare(len(c.victims), len(other.victims))) < 0
}

// clearing finds the copies to unload so that the model fits on the engine,
// those whose models have the least demand first. A copy whose memory stays counted
// is left alone: unloaded, it would free nothing yet, and the next round would load
// it there again, in turns for as long as its order counts.
func (f *fleet) clearing(at, m int, may func(p *placed) bool, worth func(p *placed) float64) (clearing, bool) {
	e := &f.engines[at]
	mod := &f.models[m]
	if !e.Usable || len(e.free) < mod.span {
		return clearing{}, false
	}
	free := slices.Clone(e.free)
	var candidates []candidate
	for _, p := range e.copies {
		if !p.planned && !p.Counted && p.model != m && may(p) {
			candidates = append(candidates, candidate{p: p, worth: worth(p)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.worth, b.worth), cmp.Compare(a.p.Model, b.p.Model))
	})
	c := clearing{engine: at}
	for _, x := range candidates {
		if fitsOn(free, mod.part, mod.span) {
			break
		}
		for i, a := range e.Accelerators {
			if slices.Contains(x.p.Accelerators, a.ID) {
				free[i] += x.p.PartMiB
			}
		}
		c.victims = append(c.victims, x.p)
		c.loss += x.worth
	}
	return c, fitsOn(free, mod.part, mod.span)
}

func fitsOn(free []int, part, span int) bool {
	for _, n := range free {
		if n >= part {
			span--
		}
	}
	return span <= 0
}

// worth is the demand a copy stands for; one that is going already costs nothing.
func (f *fleet) worth(p *placed) float64 {
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
			if p.model < 0 || p.planned || !f.answers(p) || !p.current {
				continue
			}
			if _, ok := f.clearing(at, m, func(other *placed) bool { return other == p || f.mayGo(other) }, f.worth); !ok {
				continue
			}
			if f.relocateCopy(p, m) {
				return true
			}
		}
	}
	return false
}

func (f *fleet) relocateCopy(p *placed, m int) bool {
	from := f.engines[p.engine].Zone
	if f.underWay(p.model) {
		return true
	}
	s, ok := f.findSpot(p.model, func(at int) bool {
		to := f.engines[at].Zone
		return at != p.engine && (to == from || f.precedes(p.model, to, from))
	})
	if !ok {
		return false
	}
	f.planLoad(p.model, s, ReasonMakeRoom, Move{For: f.models[m].Name})
	return true
}

// underWay tells whether another copy of the model is loading or has just been
// loaded, so that the move away has begun.
func (f *fleet) underWay(m int) bool {
	return slices.ContainsFunc(f.models[m].copies, func(p *placed) bool {
		return f.lasting(p) && !f.answers(p)
	})
}
