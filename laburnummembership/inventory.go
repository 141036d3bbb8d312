package laburnummembership

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// basisAge is how long changes are made against the same basis. A VM whose last news
// is older than the basis can't apply a change and pulls the whole inventory; longer,
// and changes of minutes would pile up in each.
const basisAge = 10 * time.Second

// inventoryBasis is what changes are made against. It keeps the keys of all copies
// that have changed since, also of those that are as before again: a VM that saw the
// state between must be told.
type inventoryBasis struct {
	sequence uint64
	at       time.Time
	touched  map[string]bool
	// last is the inventory last made news.
	last []laburnumlever.Loaded
}

// inventoryNews is what an engine holds, sent only on change: in whole, or, if Base
// is not 0, as all that changed since Base. Such a change can be applied to any state
// from Base on, as it carries whole copies and not steps.
type inventoryNews struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"incarnation"`
	// Sequence is that of the report that showed the change.
	Sequence uint64                 `json:"sequence"`
	Base     uint64                 `json:"base,omitempty"`
	Fence    uint64                 `json:"fence,omitempty"`
	Loaded   []laburnumlever.Loaded `json:"loaded,omitempty"`
	// Removed are the copies no longer there, by copyKey.
	Removed []string `json:"removed,omitempty"`
}

// copyKey tells copies of one engine apart.
func copyKey(l laburnumlever.Loaded) string {
	parts := []string{string(l.Model), string(l.Version)}
	for _, a := range l.Accelerators {
		parts = append(parts, string(a))
	}
	return strings.Join(parts, "/")
}

// touched adds the keys of all copies that differ between two inventories.
func touched(keys map[string]bool, before, after []laburnumlever.Loaded) {
	old := map[string]laburnumlever.Loaded{}
	for _, l := range before {
		old[copyKey(l)] = l
	}
	for _, l := range after {
		key := copyKey(l)
		if known, ok := old[key]; !ok || !reflect.DeepEqual(known, l) {
			keys[key] = true
		}
		delete(old, key)
	}
	for key := range old {
		keys[key] = true
	}
}

// changes returns the present state of the copies with the given keys.
func changes(keys map[string]bool, loaded []laburnumlever.Loaded) (changed []laburnumlever.Loaded, removed []string) {
	gone := maps.Clone(keys)
	for _, l := range loaded {
		if key := copyKey(l); keys[key] {
			changed = append(changed, l)
			delete(gone, key)
		}
	}
	return changed, slices.Sorted(maps.Keys(gone))
}

// apply returns the inventory after a change.
func (n inventoryNews) apply(loaded []laburnumlever.Loaded) []laburnumlever.Loaded {
	if n.Base == 0 {
		return n.Loaded
	}
	replaced := map[string]bool{}
	for _, key := range n.Removed {
		replaced[key] = true
	}
	for _, l := range n.Loaded {
		replaced[copyKey(l)] = true
	}
	var out []laburnumlever.Loaded
	for _, l := range loaded {
		if !replaced[copyKey(l)] {
			out = append(out, l)
		}
	}
	return inOrder(append(out, n.Loaded...))
}

// inOrder sorts copies, so that every VM shows an inventory alike, whether it got it
// from the engine, in whole or as changes.
func inOrder(loaded []laburnumlever.Loaded) []laburnumlever.Loaded {
	out := slices.Clone(loaded)
	slices.SortStableFunc(out, func(a, b laburnumlever.Loaded) int { return strings.Compare(copyKey(a), copyKey(b)) })
	return out
}

// inventory is the whole of it, newsOfInventory what is passed on.
func (r *backendRecord) inventory() inventoryNews {
	return inventoryNews{
		Backend:     r.news.Backend,
		Incarnation: r.news.Incarnation,
		Sequence:    r.inventorySequence,
		Fence:       r.report.Fence,
		Loaded:      r.report.Loaded,
	}
}

func (r *backendRecord) newsOfInventory() inventoryNews {
	if r.delta.Base != 0 {
		return r.delta
	}
	return r.inventory()
}

// mergeInventory takes in an engine's inventory.
func (t *backendTable) mergeInventory(n inventoryNews, now time.Time) bool {
	r, ok := t.records[n.Backend]
	if !ok || n.Incarnation != r.news.Incarnation || n.Sequence <= r.inventorySequence {
		return false
	}
	if n.Base > r.inventorySequence {
		return false // what came before the change was missed, and will be pulled
	}
	t.setInventorySequence(r, n.Sequence)
	r.delta = n
	r.basis = inventoryBasis{}
	r.newsAt = now
	r.report.Loaded = n.apply(r.report.Loaded)
	r.report.Fence = n.Fence
	return true
}

func (t *backendTable) setInventorySequence(r *backendRecord, sequence uint64) {
	t.toggle(r)
	r.inventorySequence = sequence
	t.toggle(r)
}

// publishInventory makes the inventory last reported news.
func (c *core) publishInventory(r *backendRecord, now time.Time) {
	if r.report.Sequence <= r.inventorySequence {
		return
	}
	c.backends.setInventorySequence(r, r.report.Sequence)
	r.delta = inventoryNews{}
	if r.basis.sequence != 0 {
		touched(r.basis.touched, r.basis.last, r.report.Loaded)
		r.delta = r.inventory()
		r.delta.Base = r.basis.sequence
		r.delta.Loaded, r.delta.Removed = changes(r.basis.touched, r.report.Loaded)
	}
	if now.Sub(r.basis.at) >= basisAge {
		r.basis = inventoryBasis{sequence: r.inventorySequence, at: now, touched: map[string]bool{}}
	}
	r.basis.last = r.report.Loaded
	c.pushInventory(r.news.Backend)
}

// pushInventory keeps an announcement that still waits ahead of the inventory: an
// inventory of an unknown backend server is dropped by whoever gets it.
func (c *core) pushInventory(id laburnumlever.BackendID) {
	c.bulk.push(inventoryKey(id))
	if c.bulk.holds(announcementKey(id)) {
		c.bulk.push(announcementKey(id))
	}
}
