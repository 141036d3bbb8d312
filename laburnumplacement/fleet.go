package laburnumplacement

import (
	"cmp"
	"hash/fnv"
	"slices"

	"laburnumlever"
)

// fleet is the working state of one round: an indexed snapshot that is updated as moves are
// planned. A planned load reserves its memory at once; a planned unload frees none in this round,
// because the engine frees it later.
type fleet struct {
	snapshot      Snapshot
	engines       []engine
	models        []model
	byName        map[laburnumlever.ModelName]int
	moves         []Move
	unplaced      []laburnumlever.ModelName
	movesInFlight int // copies being loaded or unloaded, and planned replicas
	plannedLoads  int // in this round
}

type engine struct {
	Engine
	free        []int // MiB per accelerator; may be negative, as after the loss of one
	maxFree     int   // the highest value in free
	copies      []*placement
	utilization float64 // fraction of the capacity that the allocated demand uses
	// unloading is set while a copy on the engine is being unloaded.
	unloading bool
	tieBreak  uint64
}

type model struct {
	laburnumlever.Model
	partMiB, span int
	copies        []*placement
	demand        Demand
	unmet         float64 // share of the demand that no copy can serve
}

// placement is one copy of a model on an engine, existing or planned in this round.
type placement struct {
	Copy
	engine      int
	model       int  // -1 if the catalogue has no such model
	current     bool // has the catalogue's version
	planned     bool
	demandShare float64 // share of the model's demand that it serves
}

func newFleet(s Snapshot) *fleet {
	f := &fleet{
		snapshot: s,
		engines:  make([]engine, len(s.Engines)),
		models:   make([]model, len(s.Catalogue.Models)),
		byName:   make(map[laburnumlever.ModelName]int, len(s.Catalogue.Models)),
	}
	for i, m := range s.Catalogue.Models {
		f.models[i] = model{Model: m, partMiB: m.PartMiB(), span: m.Span(), demand: s.Demand[m.Name]}
		f.byName[m.Name] = i
	}
	for i, e := range s.Engines {
		f.engines[i] = engine{Engine: e, free: freeMemory(e), tieBreak: hash(string(e.ID))}
		f.reserve(i, nil, 0)
		f.addCopies(i, e.Copies)
	}
	return f
}

func freeMemory(e Engine) []int {
	free := make([]int, len(e.Accelerators))
	for i, a := range e.Accelerators {
		free[i] = a.MemoryMiB
		if i < len(e.Reserved) {
			free[i] -= e.Reserved[i]
		}
	}
	return free
}

func (f *fleet) addCopies(at int, copies []Copy) {
	placements := make([]placement, len(copies))
	for i, c := range copies {
		p := &placements[i]
		*p = placement{Copy: c, engine: at, model: -1}
		size := c.PartMiB
		if m, ok := f.byName[c.Model]; ok {
			p.model = m
			p.current = c.Version == f.models[m].Version
			f.models[m].copies = append(f.models[m].copies, p)
			if p.current {
				// While the catalogue changes a model's size, a copy counts with the larger of the
				// old and new sizes, because updating it in place needs that much.
				size = max(size, f.models[m].partMiB)
			}
		}
		f.engines[at].copies = append(f.engines[at].copies, p)
		f.engines[at].unloading = f.engines[at].unloading || unloading(p)
		f.reserve(at, c.Accelerators, size)
	}
}

// reserve subtracts size from the free memory of the accelerators and updates maxFree.
func (f *fleet) reserve(at int, ids []laburnumlever.AcceleratorID, size int) {
	e := &f.engines[at]
	e.maxFree = 0
	for i, a := range e.Accelerators {
		if slices.Contains(ids, a.ID) {
			e.free[i] -= size
		}
		e.maxFree = max(e.maxFree, e.free[i])
	}
}

// active reports whether the copy is loaded or loading on a serving engine and is not being
// unloaded.
func (f *fleet) active(p *placement) bool {
	return f.engines[p.engine].Serving && !p.Unloading && !p.Draining
}

// resident reports whether the copy is active on an engine that is not leaving.
func (f *fleet) resident(p *placement) bool { return f.active(p) && !f.engines[p.engine].Leaving }

// stable reports whether the copy is active and has been ready for some time.
func (f *fleet) stable(p *placement) bool { return f.active(p) && p.Ready && p.Stable }

// fit is a possible location for a copy. The accelerators follow from the free memory, so
// bestFitAccelerators computes them only for the chosen location.
type fit struct {
	engine   int
	leftover int
}

// maxSpan is the maximum number of accelerators of one engine that a copy may be split over.
const maxSpan = 64

// fitOn reports whether a copy fits on an engine, and how much memory is left over on the chosen
// accelerators, those with the least free memory that is enough.
func (f *fleet) fitOn(at, partMiB, span int) (fit, bool) {
	e := &f.engines[at]
	if !e.AcceptsOrders || len(e.free) < span || span > maxSpan || e.maxFree < partMiB {
		return fit{}, false
	}
	var tightest [maxSpan]int
	n := 0
	for _, free := range e.free {
		if free >= partMiB {
			n = insertSorted(tightest[:span], n, free)
		}
	}
	if n < span {
		return fit{}, false
	}
	s := fit{engine: at}
	for _, free := range tightest[:span] {
		s.leftover += free - partMiB
	}
	return s, true
}

// insertSorted inserts value into a sorted list of the smallest values, whose first n elements are
// set, and returns the new n.
func insertSorted(list []int, n, value int) int {
	i := n
	if n == len(list) {
		if value >= list[n-1] {
			return n
		}
		i = n - 1
	}
	for ; i > 0 && list[i-1] > value; i-- {
		list[i] = list[i-1]
	}
	list[i] = value
	return min(n+1, len(list))
}

// bestFitAccelerators returns the accelerators that fitOn chose.
func (f *fleet) bestFitAccelerators(at, partMiB, span int) []laburnumlever.AcceleratorID {
	e := &f.engines[at]
	fitting := make([]int, 0, len(e.free))
	for i, free := range e.free {
		if free >= partMiB {
			fitting = append(fitting, i)
		}
	}
	slices.SortStableFunc(fitting, func(a, b int) int { return cmp.Compare(e.free[a], e.free[b]) })
	ids := make([]laburnumlever.AcceleratorID, span)
	for i := range ids {
		ids[i] = e.Accelerators[fitting[i]].ID
	}
	slices.Sort(ids)
	return ids
}

// desiredCopy returns the copy of the model that the catalogue asks for.
func (m *model) desiredCopy(accelerators []laburnumlever.AcceleratorID) laburnumlever.ModelCopy {
	l := laburnumlever.ModelCopy{Model: m.Name, Version: m.Version, Accelerators: accelerators, PartMiB: m.partMiB}
	for _, a := range m.Adapters {
		l.Adapters = append(l.Adapters, a.Name)
	}
	return l
}

// planLoad adds a load to the plan and reserves its memory.
func (f *fleet) planLoad(m int, s fit, reason MoveReason, move Move) {
	mod := &f.models[m]
	e := &f.engines[s.engine]
	move.Kind = laburnumlever.Load
	move.Engine = e.ID
	move.Zone = e.Zone
	move.Copy = mod.desiredCopy(f.bestFitAccelerators(s.engine, mod.partMiB, mod.span))
	move.Reason = reason
	f.moves = append(f.moves, move)
	p := &placement{Copy: Copy{ModelCopy: move.Copy}, engine: s.engine, model: m, current: true, planned: true}
	mod.copies = append(mod.copies, p)
	e.copies = append(e.copies, p)
	f.reserve(s.engine, move.Copy.Accelerators, mod.partMiB)
	f.plannedLoads++
}

// planUnload adds an unload to the plan. It does nothing on an engine that takes no orders.
func (f *fleet) planUnload(p *placement, reason MoveReason, move Move) {
	e := &f.engines[p.engine]
	if !e.AcceptsOrders {
		return
	}
	move.Kind = laburnumlever.Unload
	move.Engine = e.ID
	move.Zone = e.Zone
	move.Copy = p.ModelCopy
	move.Reason = reason
	f.moves = append(f.moves, move)
	p.Unloading = true
	e.unloading = true
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
