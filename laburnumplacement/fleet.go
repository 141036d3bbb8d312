package laburnumplacement

import (
	"cmp"
	"hash/fnv"
	"slices"

	"laburnumlever"
)

// fleet is the working state of one round: the snapshot with indices, changed as
// moves are planned. Loads planned in the round take their memory at once; unloads
// free none, because the engine frees it only later.
type fleet struct {
	snapshot      Snapshot
	engines       []engine
	models        []model
	byName        map[laburnumlever.ModelName]int
	moves         []Move
	unplaced      []laburnumlever.ModelName
	movesInFlight int // replicas loading or planned
	plannedLoads  int // planned in this round
}

type engine struct {
	Engine
	free        []int // per accelerator; may be negative when one was lost
	maxFree     int   // the most free memory of any accelerator
	copies      []*placement
	utilization float64 // busy share that the allocation gives it
	// unloading tells that a copy there is being unloaded.
	unloading bool
	tieBreak  uint64
}

type model struct {
	laburnumlever.Model
	partMiB, span int
	copies        []*placement
	demand        Demand
	unmet         float64 // share of the demand
}

// placement is one copy: there already, or planned in this round.
type placement struct {
	Copy
	engine      int
	model       int // -1 when the catalogue has no such model
	current     bool
	planned     bool
	demandShare float64 // part of the model's demand that it carries
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
				// While the catalogue changes a model's size, its copies count at
				// the larger of both: the update that follows needs that much.
				size = max(size, f.models[m].partMiB)
			}
		}
		f.engines[at].copies = append(f.engines[at].copies, p)
		f.engines[at].unloading = f.engines[at].unloading || unloading(p)
		f.reserve(at, c.Accelerators, size)
	}
}

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

// active tells that the copy answers or will: on a serving engine, not going.
func (f *fleet) active(p *placement) bool {
	return f.engines[p.engine].Serving && !p.Going && !p.Draining
}

// resident tells that the copy is present on an engine that stays.
func (f *fleet) resident(p *placement) bool { return f.active(p) && !f.engines[p.engine].Leaving }

// stable tells that the copy takes requests and has for some time.
func (f *fleet) stable(p *placement) bool { return f.active(p) && p.Ready && p.Stable }

// fit is a place for a copy. The accelerators follow from the free memory, so
// they are worked out only for the place that is taken.
type fit struct {
	engine   int
	leftover int
}

// maxSpan bounds how many accelerators of one engine a copy may be split over.
const maxSpan = 64

// fitOn finds how tightly a copy fits on an engine: the memory that is left over on
// the accelerators with the least fitOn for it.
func (f *fleet) fitOn(at, partMiB, span int) (fit, bool) {
	e := &f.engines[at]
	if !e.Usable || len(e.free) < span || span > maxSpan || e.maxFree < partMiB {
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

// insertSorted keeps the smallest values in order; n of the list are set.
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

// bestFitAccelerators names the accelerators that room found.
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

// desiredCopy is the copy of a model that the catalogue asks for.
func (m *model) desiredCopy(accelerators []laburnumlever.AcceleratorID) laburnumlever.Loaded {
	l := laburnumlever.Loaded{Model: m.Name, Version: m.Version, Accelerators: accelerators, PartMiB: m.partMiB}
	for _, a := range m.Adapters {
		l.Adapters = append(l.Adapters, a.Name)
	}
	return l
}

func (f *fleet) planLoad(m int, s fit, reason MoveReason, move Move) {
	mod := &f.models[m]
	e := &f.engines[s.engine]
	move.Kind = laburnumlever.Load
	move.Engine = e.ID
	move.Zone = e.Zone
	move.Copy = mod.desiredCopy(f.bestFitAccelerators(s.engine, mod.partMiB, mod.span))
	move.Reason = reason
	f.moves = append(f.moves, move)
	p := &placement{Copy: Copy{Loaded: move.Copy}, engine: s.engine, model: m, current: true, planned: true}
	mod.copies = append(mod.copies, p)
	e.copies = append(e.copies, p)
	f.reserve(s.engine, move.Copy.Accelerators, mod.partMiB)
	f.plannedLoads++
}

func (f *fleet) planUnload(p *placement, reason MoveReason, move Move) {
	e := &f.engines[p.engine]
	if !e.Usable {
		return
	}
	move.Kind = laburnumlever.Unload
	move.Engine = e.ID
	move.Zone = e.Zone
	move.Copy = p.Loaded
	move.Reason = reason
	f.moves = append(f.moves, move)
	p.Going = true
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
