package laburnumstandin

import (
	"slices"
	"time"

	"laburnumlever"
)

// Violation is an order that asked for more memory than an accelerator has.
type Violation struct {
	At           time.Time                   `json:"at"`
	Backend      laburnumlever.BackendID     `json:"backend"`
	Accelerator  laburnumlever.AcceleratorID `json:"accelerator"`
	CommittedMiB int                         `json:"committed-mib"`
	MemoryMiB    int                         `json:"memory-mib"`
	Order        laburnumlever.OrderID       `json:"order"`
	// Accepted is true if the engine accepted the order all the same.
	Accepted bool `json:"taken"`
}

// modelCopy is a copy of a model in the engine's memory.
type modelCopy struct {
	current laburnumlever.ModelCopy
	// next is the copy's state once the load in progress is done; nil without one.
	next *laburnumlever.ModelCopy
	// draining is true if the copy is to be removed once its requests have finished.
	draining bool
	inFlight int
}

// partMiB is the copy's memory on each of its accelerators in MiB; while the copy is
// reloaded in place, the larger of the old and the new size.
func (h *modelCopy) partMiB() int {
	if h.next == nil {
		return h.current.PartMiB
	}
	return max(h.current.PartMiB, h.next.PartMiB)
}

func (h *modelCopy) matches(l laburnumlever.ModelCopy) bool {
	return h.current.Model == l.Model && h.current.Version == l.Version &&
		slices.Equal(h.current.Accelerators, l.Accelerators)
}

// memory tracks the memory committed on each accelerator.
type memory struct {
	accelerators []laburnumlever.Accelerator
	copies       []*modelCopy
}

func (m *memory) find(l laburnumlever.ModelCopy) *modelCopy {
	for _, h := range m.copies {
		if h.matches(l) {
			return h
		}
	}
	return nil
}

func (m *memory) committed(id laburnumlever.AcceleratorID) int {
	total := 0
	for _, h := range m.copies {
		if slices.Contains(h.current.Accelerators, id) {
			total += h.partMiB()
		}
	}
	return total
}

func (m *memory) hasAccelerators(ids []laburnumlever.AcceleratorID) bool {
	for _, id := range ids {
		if !slices.ContainsFunc(m.accelerators, func(a laburnumlever.Accelerator) bool { return a.ID == id }) {
			return false
		}
	}
	return len(ids) > 0
}

// overcommit finds the first accelerator that loading the copy would overcommit, and
// the memory in MiB that would then be committed on it.
func (m *memory) overcommit(l laburnumlever.ModelCopy) (laburnumlever.Accelerator, int, bool) {
	old := 0
	if h := m.find(l); h != nil {
		old = h.partMiB()
	}
	grown := max(0, l.PartMiB-old)
	for _, a := range m.accelerators {
		if !slices.Contains(l.Accelerators, a.ID) {
			continue
		}
		if after := m.committed(a.ID) + grown; after > a.MemoryMiB {
			return a, after, true
		}
	}
	return laburnumlever.Accelerator{}, 0, false
}

func (m *memory) add(l laburnumlever.ModelCopy) *modelCopy {
	h := &modelCopy{current: l}
	h.current.Ready = false
	m.copies = append(m.copies, h)
	return h
}

func (m *memory) remove(h *modelCopy) {
	m.copies = slices.DeleteFunc(m.copies, func(other *modelCopy) bool { return other == h })
}

// failAccelerator removes an accelerator and every copy that had a part on it.
func (m *memory) failAccelerator(id laburnumlever.AcceleratorID) {
	m.accelerators = slices.DeleteFunc(slices.Clone(m.accelerators), func(a laburnumlever.Accelerator) bool { return a.ID == id })
	m.copies = slices.DeleteFunc(m.copies, func(h *modelCopy) bool { return slices.Contains(h.current.Accelerators, id) })
}

// inventory lists all copies; a draining copy is reported as not ready.
func (m *memory) inventory() []laburnumlever.ModelCopy {
	list := make([]laburnumlever.ModelCopy, 0, len(m.copies))
	for _, h := range m.copies {
		l := h.current
		l.PartMiB = h.partMiB()
		l.Ready = l.Ready && !h.draining
		l.Draining = h.draining
		list = append(list, l)
	}
	return list
}

// serving returns the ready copy of a model that was added last, so that new requests
// go to a new version as soon as it is loaded; nil without one.
func (m *memory) serving(model laburnumlever.ModelName) *modelCopy {
	for i := len(m.copies) - 1; i >= 0; i-- {
		h := m.copies[i]
		if h.current.Model == model && h.current.Ready && !h.draining {
			return h
		}
	}
	return nil
}
