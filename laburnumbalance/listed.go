package laburnumbalance

import "slices"

// Lists reports whether a server that could take the query may hold its model, even if it can't be reached now.
func (t *Table) Lists(q Query) bool {
	return slices.ContainsFunc(t.candidates(q), q.fits)
}
