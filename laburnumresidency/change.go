package laburnumresidency

import "slices"

// eviction is a model to unload; to is where its last copy moves, or nowhere.
type eviction struct{ model, to int }

// change is a new copy with its evictions.
type change struct {
	engine, model int
	evictions     []eviction
	gain          float64
}

// relocates tells whether a last copy moves to another engine.
func (c change) relocates() bool {
	return slices.ContainsFunc(c.evictions, func(v eviction) bool { return v.to != none })
}

// relocatedSize is the memory that relocated models take at an engine, in MB.
func (c change) relocatedSize(l *layout, e int) float64 {
	total := 0.0
	for _, v := range c.evictions {
		if v.to == e {
			total += l.size[v.model]
		}
	}
	return total
}
