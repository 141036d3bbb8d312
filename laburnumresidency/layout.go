package laburnumresidency

import (
	"cmp"
	"slices"

	"laburnumlever"
)

const (
	uncongestedWork  = 0.5 // work up to which requests find a free slot at once
	congestionWeight = 4   // weight of the work beyond uncongestedWork
	none             = -1  // stands for no engine or no model
)

// layout is an assignment of models to engines, with the resulting work. The cost of an operation
// depends on the engines and models involved, not on the size of the fleet.
type layout struct {
	size     []float64
	demand   []float64
	adapters []float64 // number of adapters in use, by model
	slots    float64   // adapter slots of an engine
	// models are the models of each engine, holders the engines of each model, both ascending.
	models  [][]int
	holders [][]int
	used    []float64
	work    []float64
	// byWork are the engines, ordered by ascending work.
	byWork []int
	// delta is the change in each engine's work that relief evaluates, touched the changed engines.
	delta   []float64
	touched []int
	dirty   []bool // engines in touched, during update
}

// newLayout returns the layout that results from the orders in progress.
func newLayout(p *planner) *layout {
	engines, models := len(p.engines), len(p.class.Models)
	l := &layout{
		slots: float64(p.class.AdapterSlots),
		size:  make([]float64, models), demand: make([]float64, models), adapters: make([]float64, models),
		models: make([][]int, engines), holders: make([][]int, models),
		used: make([]float64, engines), work: make([]float64, engines), byWork: make([]int, engines),
		delta: make([]float64, engines), dirty: make([]bool, engines),
	}
	for i, m := range p.class.Models {
		l.size[i], l.demand[i], l.adapters[i] = size(m), p.demand[m.Name], float64(p.adapters[m.Name])
	}
	for e, engine := range p.engines {
		for _, m := range p.heldBy[e] {
			if engine.Unloading != p.class.Models[m].Name {
				l.set(e, m, true)
			}
		}
	}
	for e := range l.models {
		l.work[e], l.byWork[e] = l.workOf(e), e
	}
	slices.SortFunc(l.byWork, l.compare)
	return l
}

// size is the memory of a model with a few of its adapters, in MB.
func size(m laburnumlever.ModelClass) float64 {
	const spareAdapters = 4
	return m.WeightsMB + float64(m.AdapterMB*float64(min(m.Adapters, spareAdapters)))
}

func (l *layout) compare(a, b int) int {
	return cmp.Or(cmp.Compare(l.work[a], l.work[b]), cmp.Compare(a, b))
}

func (l *layout) holds(e, m int) bool { return slices.Contains(l.models[e], m) }

func (l *layout) copies(m int) int { return len(l.holders[m]) }

// set adds or removes a copy. The caller must call update for the work.
func (l *layout) set(e, m int, held bool) {
	if l.holds(e, m) == held {
		return
	}
	if held {
		l.models[e], l.holders[m] = insert(l.models[e], m), insert(l.holders[m], e)
		l.used[e] += l.size[m]
		return
	}
	l.models[e], l.holders[m] = remove(l.models[e], m), remove(l.holders[m], e)
	l.used[e] -= l.size[m]
}

func insert(sorted []int, v int) []int {
	at, _ := slices.BinarySearch(sorted, v)
	return slices.Insert(sorted, at, v)
}

func remove(sorted []int, v int) []int {
	at, _ := slices.BinarySearch(sorted, v)
	return slices.Delete(sorted, at, at+1)
}

// update recomputes the work of an engine and of all engines that hold the models.
func (l *layout) update(engine int, models ...int) {
	l.refresh(engine)
	for _, m := range models {
		for _, e := range l.holders[m] {
			l.refresh(e)
		}
	}
	moved := l.touched
	l.byWork = slices.DeleteFunc(l.byWork, func(e int) bool { return l.dirty[e] })
	for _, e := range moved {
		l.dirty[e] = false
		at, _ := slices.BinarySearchFunc(l.byWork, e, l.compare)
		l.byWork = slices.Insert(l.byWork, at, e)
	}
	l.touched = l.touched[:0]
}

func (l *layout) refresh(e int) {
	if l.dirty[e] {
		return
	}
	l.dirty[e] = true
	l.touched = append(l.touched, e)
	l.work[e] = l.workOf(e)
}

// workOf computes the work of an engine, as a share of its capacity.
func (l *layout) workOf(e int) float64 {
	work := 0.0
	for _, m := range l.models[e] {
		work += l.workPerCopy(m)
	}
	return work
}

// workPerCopy is the work per copy of a model.
func (l *layout) workPerCopy(m int) float64 { return l.demand[m] / float64(max(1, l.copies(m))) }

// evictionLoss is the work that each remaining copy takes over if one is evicted. The last copy
// ranks above all others.
func (l *layout) evictionLoss(m int) float64 {
	n := l.copies(m)
	if n <= 1 {
		const lastCopy = 1000
		return lastCopy + l.demand[m]
	}
	return l.demand[m]/float64(n-1) - l.demand[m]/float64(n)
}

// congestion is the cost that an engine's work has for its callers, through waiting.
func congestion(work float64) float64 {
	over := max(0, work-uncongestedWork)
	return float64(work*work) + float64(congestionWeight*over*over)
}

// relief is the gain of a change: the reduction in congestion, plus that in adapters without a
// slot, weighted.
func (l *layout) relief(c change) float64 {
	l.shiftWork(c.model, c.engine, none)
	for _, v := range c.evictions {
		l.shiftWork(v.model, v.to, c.engine)
	}
	slices.Sort(l.touched) // float sums depend on the order
	relief := 0.0
	for _, e := range l.touched {
		if d := l.delta[e]; d != 0 {
			relief += congestion(l.work[e]) - congestion(l.work[e]+d)
			l.delta[e] = 0
		}
	}
	l.touched = l.touched[:0]
	return relief + float64(shortageWeight*min(l.slotShortage(c.model), l.slotShare(c.engine, c.model)))
}

// shiftWork adds to delta the change in work when a model gains a copy on one engine and loses one
// on another. Either engine may be none.
func (l *layout) shiftWork(m, gets, loses int) {
	if l.demand[m] == 0 {
		return
	}
	n := l.copies(m)
	after := n
	if gets != none {
		after++
	}
	if loses != none {
		after--
	}
	before, now := l.demand[m]/float64(max(1, n)), l.demand[m]/float64(max(1, after))
	for _, e := range l.holders[m] {
		if e != loses && e != gets {
			l.addDelta(e, now-before)
		}
	}
	if loses != none {
		l.addDelta(loses, -before)
	}
	if gets != none {
		l.addDelta(gets, now)
	}
}

func (l *layout) addDelta(e int, work float64) {
	if l.delta[e] == 0 {
		l.touched = append(l.touched, e)
	}
	l.delta[e] += work
}

// slotShare is the number of an engine's adapter slots that a model gets, in proportion to its
// adapters in use.
func (l *layout) slotShare(e, m int) float64 {
	if l.adapters[m] == 0 {
		return 0
	}
	total := l.adapters[m]
	for _, other := range l.models[e] {
		if other != m {
			total += l.adapters[other]
		}
	}
	return l.slots * l.adapters[m] / total
}

// slotShortage is the number of a model's adapters in use that have no slot.
func (l *layout) slotShortage(m int) float64 {
	if l.adapters[m] == 0 || l.slots == 0 {
		return 0
	}
	slots := 0.0
	for _, e := range l.holders[m] {
		slots += l.slotShare(e, m)
	}
	return max(0, l.adapters[m]-slots)
}

// apply applies a change and updates the work.
func (l *layout) apply(c change) {
	models := []int{c.model}
	for _, v := range c.evictions {
		l.set(c.engine, v.model, false)
		if v.to != none {
			l.set(v.to, v.model, true)
		}
		models = append(models, v.model)
	}
	l.set(c.engine, c.model, true)
	l.update(c.engine, models...)
}
