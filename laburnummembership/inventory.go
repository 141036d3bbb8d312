package laburnummembership

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// baselineAge is how long changes are made against the same basis. A VM whose last news
// is older than the basis can't apply a change and pulls the whole inventory; longer,
// and changes of minutes would pile up in each.
const baselineAge = 10 * time.Second

// inventoryBaseline is what changes are made against. It keeps the keys of all copies
// that have changed since, also of those that are as before again: a VM that saw the
// state between must be told.
type inventoryBaseline struct {
	sequence    uint64
	at          time.Time
	changedKeys map[string]bool
	// last is the inventory last made news.
	last []laburnumlever.Loaded
}

// inventoryUpdate is what an engine holds, sent only on change: in whole, or, if Base
// is not 0, as all that changed since Base. Such a change can be applied to any state
// from Base on, as it carries whole copies and not steps.
type inventoryUpdate struct {
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

// addChangedKeys adds the keys of all copies that differ between two inventories.
func addChangedKeys(keys map[string]bool, before, after []laburnumlever.Loaded) {
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

// changedCopies returns the present state of the copies with the given keys.
func changedCopies(keys map[string]bool, loaded []laburnumlever.Loaded) (changed []laburnumlever.Loaded, removed []string) {
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
func (n inventoryUpdate) apply(loaded []laburnumlever.Loaded) []laburnumlever.Loaded {
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
	return sortedCopies(append(out, n.Loaded...))
}

// sortedCopies sorts copies, so that every VM shows an inventory alike, whether it got it
// from the engine, in whole or as changes.
func sortedCopies(loaded []laburnumlever.Loaded) []laburnumlever.Loaded {
	out := slices.Clone(loaded)
	slices.SortStableFunc(out, func(a, b laburnumlever.Loaded) int { return strings.Compare(copyKey(a), copyKey(b)) })
	return out
}

// fullInventory is the whole of it, newsOfInventory what is passed on.
func (r *backendRecord) fullInventory() inventoryUpdate {
	return inventoryUpdate{
		Backend:     r.state.Backend,
		Incarnation: r.state.Incarnation,
		Sequence:    r.inventorySequence,
		Fence:       r.report.Fence,
		Loaded:      r.report.Loaded,
	}
}

func (r *backendRecord) inventoryToSend() inventoryUpdate {
	if r.delta.Base != 0 {
		return r.delta
	}
	return r.fullInventory()
}

// mergeInventory takes in an engine's inventory.
func (t *backendTable) mergeInventory(n inventoryUpdate, now time.Time) bool {
	r, ok := t.records[n.Backend]
	if !ok || n.Incarnation != r.state.Incarnation || n.Sequence <= r.inventorySequence {
		return false
	}
	if n.Base > r.inventorySequence {
		return false // what came before the change was missed, and will be pulled
	}
	t.setInventorySequence(r, n.Sequence)
	r.delta = n
	r.baseline = inventoryBaseline{}
	r.updatedAt = now
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
	r.delta = inventoryUpdate{}
	if r.baseline.sequence != 0 {
		addChangedKeys(r.baseline.changedKeys, r.baseline.last, r.report.Loaded)
		r.delta = r.fullInventory()
		r.delta.Base = r.baseline.sequence
		r.delta.Loaded, r.delta.Removed = changedCopies(r.baseline.changedKeys, r.report.Loaded)
	}
	if now.Sub(r.baseline.at) >= baselineAge {
		r.baseline = inventoryBaseline{sequence: r.inventorySequence, at: now, changedKeys: map[string]bool{}}
	}
	r.baseline.last = r.report.Loaded
	c.pushInventory(r.state.Backend)
}

// pushInventory keeps an announcement that still waits ahead of the inventory: an
// inventory of an unknown backend server is dropped by whoever gets it.
func (c *core) pushInventory(id laburnumlever.BackendID) {
	c.bulkQueue.push(inventoryKey(id))
	if c.bulkQueue.contains(announcementKey(id)) {
		c.bulkQueue.push(announcementKey(id))
	}
}
