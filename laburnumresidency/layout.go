package laburnumresidency

import (
	"cmp"
	"slices"

	"laburnumlever"
)

const (
	// easyWork is the share of an engine's work up to which a request finds a place
	// at once nearly always, and few prompts meet. What is beyond it counts more.
	easyWork = 0.5
	// crowdWeight is by how much more.
	crowdWeight = 4
	// minGain is by how much the crowding must fall, beyond the price, for a change to
	// be worth its disturbance: a fifth of what one engine at easyWork makes.
	minGain = 0.05
	// loadPrice is what a load costs in itself, in crowding.
	loadPrice = 0.02
	// asidePrice is what it costs in crowding to move a model aside: two engines take
	// no other order for long, so it pays only where engines are overrun.
	asidePrice = 0.4
	// overrunWork is the work of a copy beyond which all who ask for it are late: a model
	// that few ask for moves aside for another copy at once, and is away while it loads
	// elsewhere.
	overrunWork = 1.0
	// demandTime is how many seconds demand stays where it is, as a rule: what is
	// done after that is done in vain.
	demandTime = 12.0
	// unloadTime is how many seconds an unload takes with the word to the gateways
	// before it, busyUnloadTime how many more when a copy with busyWork or more has
	// to finish its answers first.
	unloadTime     = 0.4
	busyUnloadTime = 3.0
	busyWork       = 0.1
	// busyWait is how many seconds an engine with an order under way needs for it
	// where that is not known.
	busyWait = 3.0
	// riskWeight is the crowding that it counts for when a model that all callers ask
	// for has one copy only: an engine lost now and then, and seconds to load another.
	riskWeight = 0.2
	// adapterWeight is the crowding that an adapter in use makes for each second in
	// which its engine loads a model and takes no other adapter.
	adapterWeight = 0.002
	// shortageWeight is the crowding that an adapter in use without a place makes:
	// its callers wait while adapters push each other out.
	shortageWeight = 0.05
	// giveShare of the work that a new copy will have is the most that a copy may
	// have which gives way for it.
	giveShare = 0.3
	// idleShare of an engine's work is as good as none.
	idleShare = 0.02
	// nowhere is no engine.
	nowhere = -1
)

// layout is which engine holds which model, by their places in the lists, with the
// work that follows.
type layout struct {
	held   [][]bool
	size   []float64
	demand []float64
	need   []float64 // adapters in use
	slots  float64   // adapter places of an engine
	copies []int
	used   []float64
	work   []float64
	delta  []float64 // of the change that is looked at
}

// newLayout notes what engines hold or will hold once what is under way is done.
func newLayout(p *planner) *layout {
	l := &layout{
		slots:  float64(p.class.AdapterSlots),
		copies: make([]int, len(p.class.Models)),
		used:   make([]float64, len(p.engines)),
		work:   make([]float64, len(p.engines)),
		delta:  make([]float64, len(p.engines)),
	}
	for _, m := range p.class.Models {
		l.size = append(l.size, size(m))
		l.demand = append(l.demand, p.demand[m.Name])
		l.need = append(l.need, float64(p.adapters[m.Name]))
	}
	for i, e := range p.engines {
		l.held = append(l.held, make([]bool, len(p.class.Models)))
		for _, h := range e.Held {
			if m := p.index(h.Name); m >= 0 && e.Serves(h.Name) {
				l.set(i, m, true)
			}
		}
	}
	l.count()
	return l
}

func (l *layout) holds(e, m int) bool { return l.held[e][m] }

func (l *layout) set(e, m int, held bool) {
	if l.held[e][m] == held {
		return
	}
	l.held[e][m] = held
	if held {
		l.copies[m]++
		l.used[e] += l.size[m]
	} else {
		l.copies[m]--
		l.used[e] -= l.size[m]
	}
}

// count works out the work of each engine, a model's shared evenly by its copies.
func (l *layout) count() {
	for e := range l.held {
		l.work[e] = 0
		for m, held := range l.held[e] {
			if held {
				l.work[e] += l.share(m)
			}
		}
	}
}

// share is the work that one copy of a model brings.
func (l *layout) share(m int) float64 { return l.demand[m] / float64(max(1, l.copies[m])) }

// loss is the work that the other copies must take over when one goes.
func (l *layout) loss(m int) float64 {
	n := l.copies[m]
	if n <= 1 {
		const lastCopy = 1000
		return lastCopy + l.demand[m]
	}
	return l.demand[m]/float64(n-1) - l.demand[m]/float64(n)
}

func (l *layout) models(e int) []int {
	var list []int
	for m, held := range l.held[e] {
		if held {
			list = append(list, m)
		}
	}
	return list
}

// easiest lists the engines that do not hold a model, those with least work first.
func (l *layout) easiest(n, model int) []int {
	var list []int
	for e := range l.held {
		if !l.held[e][model] {
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(l.work[a], l.work[b]) })
	return list[:min(len(list), n)]
}

// crowding is how much callers suffer from an engine's work.
func crowding(work float64) float64 {
	over := max(0, work-easyWork)
	return work*work + crowdWeight*over*over
}

// relief is by how much a change lowers the crowding of all engines, and the number of
// adapters of its model without a place. Only the engines that it touches are looked at:
// with a hundred engines the whole would be worked out a thousand times a round.
func (l *layout) relief(c change) float64 {
	clear(l.delta)
	l.shift(c.model, c.engine, nowhere)
	for _, g := range c.gives {
		l.shift(g.model, g.to, c.engine)
	}
	relief := 0.0
	for e, d := range l.delta {
		if d != 0 {
			relief += crowding(l.work[e]) - crowding(l.work[e]+d)
		}
	}
	return relief + shortageWeight*min(l.shortage(c.model), l.placesFor(c.engine, c.model))
}

// shift notes how work moves when a model gets a copy at one engine and loses that at
// another; either may be nowhere.
func (l *layout) shift(m, gets, loses int) {
	if l.demand[m] == 0 {
		return
	}
	n := l.copies[m]
	after := n
	if gets != nowhere {
		after++
	}
	if loses != nowhere {
		after--
	}
	before, now := l.demand[m]/float64(max(1, n)), l.demand[m]/float64(max(1, after))
	for e := range l.held {
		switch {
		case e == loses:
			l.delta[e] -= before
		case e == gets:
			l.delta[e] += now
		case l.held[e][m]:
			l.delta[e] += now - before
		}
	}
}

// placesFor is how many adapters of a model find a place at an engine, where its places
// are shared by its models as their adapters are.
func (l *layout) placesFor(e, m int) float64 {
	if l.need[m] == 0 {
		return 0
	}
	total := l.need[m]
	for other, held := range l.held[e] {
		if held && other != m {
			total += l.need[other]
		}
	}
	return l.slots * l.need[m] / total
}

// shortage is how many adapters of a model find no place at once.
func (l *layout) shortage(m int) float64 {
	if l.need[m] == 0 || l.slots == 0 {
		return 0
	}
	places := 0.0
	for e := range l.held {
		if l.held[e][m] {
			places += l.placesFor(e, m)
		}
	}
	return max(0, l.need[m]-places)
}

// giveWay is a model that leaves an engine, and where its last copy goes.
type giveWay struct{ model, to int }

// change is a copy of a model that comes to an engine, and what gives way for it.
type change struct {
	engine, model int
	gives         []giveWay
	gain          float64
}

func (c change) movesAside() bool {
	return slices.ContainsFunc(c.gives, func(g giveWay) bool { return g.to != nowhere })
}

func (c change) apply(l *layout) {
	for _, g := range c.gives {
		l.set(c.engine, g.model, false)
		if g.to != nowhere {
			l.set(g.to, g.model, true)
		}
	}
	l.set(c.engine, c.model, true)
	l.count()
}

// sizeAt is the memory that what gives way takes at another engine.
func (c change) sizeAt(l *layout, e int) float64 {
	total := 0.0
	for _, g := range c.gives {
		if g.to == e {
			total += l.size[g.model]
		}
	}
	return total
}

// size is what a model's load takes, with room for a few adapters beside it.
func size(m laburnumlever.ResidentClass) float64 {
	const spareAdapters = 4
	return m.WeightsMB + m.AdapterMB*float64(min(m.Adapters, spareAdapters))
}
