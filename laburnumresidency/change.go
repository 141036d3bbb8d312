package laburnumresidency

import "slices"

// eviction is a model to unload; to is the engine that its last copy moves to, or none.
type eviction struct{ model, to int }

// change is a new copy of a model on an engine, with the evictions that make room for it.
type change struct {
	engine, model int
	evictions     []eviction
	gain          float64
}

// relocates tells whether the last copy of an evicted model moves to another engine.
func (c change) relocates() bool {
	return slices.ContainsFunc(c.evictions, func(v eviction) bool { return v.to != none })
}

// relocatedSize is the memory that the models relocated to an engine need there, in MB.
func (c change) relocatedSize(l *layout, e int) float64 {
	total := 0.0
	for _, v := range c.evictions {
		if v.to == e {
			total += l.size[v.model]
		}
	}
	return total
}
