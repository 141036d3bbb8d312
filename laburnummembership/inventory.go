package laburnummembership

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// baselineAge is how long deltas are computed against the same baseline. A VM whose inventory
// is older than the baseline can't apply a delta and pulls the complete inventory; with a
// longer time, the changes of minutes would add up in each delta.
const baselineAge = 10 * time.Second

// inventoryBaseline is the inventory against which deltas are computed. It keeps the keys of
// all copies that have changed since, including those that have changed back: a VM that saw the
// state in between must be told.
type inventoryBaseline struct {
	sequence    uint64
	at          time.Time
	changedKeys map[string]bool
	// last is the inventory last published.
	last []laburnumlever.ModelCopy
}

// inventoryUpdate is an engine's inventory, sent only on change: complete if Base is 0,
// otherwise as a delta of all that changed since Base. A delta can be applied to any state from
// Base on, since it carries whole copies rather than steps.
type inventoryUpdate struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"incarnation"`
	// Sequence is the sequence number of the load report that showed the change.
	Sequence uint64                    `json:"sequence"`
	Base     uint64                    `json:"base,omitempty"`
	Fence    uint64                    `json:"fence,omitempty"`
	Loaded   []laburnumlever.ModelCopy `json:"loaded,omitempty"`
	// Removed holds the copyKeys of the copies that are gone.
	Removed []string `json:"removed,omitempty"`
}

// copyKey identifies a copy within one engine.
func copyKey(l laburnumlever.ModelCopy) string {
	parts := []string{string(l.Model), string(l.Version)}
	for _, a := range l.Accelerators {
		parts = append(parts, string(a))
	}
	return strings.Join(parts, "/")
}

// addChangedKeys adds the keys of all copies that differ between two inventories.
func addChangedKeys(keys map[string]bool, before, after []laburnumlever.ModelCopy) {
	old := map[string]laburnumlever.ModelCopy{}
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

// changedCopies returns the current state of the copies with the given keys, and the keys of
// those that are gone.
func changedCopies(keys map[string]bool, loaded []laburnumlever.ModelCopy) (changed []laburnumlever.ModelCopy, removed []string) {
	gone := maps.Clone(keys)
	for _, l := range loaded {
		if key := copyKey(l); keys[key] {
			changed = append(changed, l)
			delete(gone, key)
		}
	}
	return changed, slices.Sorted(maps.Keys(gone))
}

// apply returns the inventory after the update.
func (n inventoryUpdate) apply(loaded []laburnumlever.ModelCopy) []laburnumlever.ModelCopy {
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
	var out []laburnumlever.ModelCopy
	for _, l := range loaded {
		if !replaced[copyKey(l)] {
			out = append(out, l)
		}
	}
	return sortedCopies(append(out, n.Loaded...))
}

// sortedCopies sorts copies by their key, so that every VM shows the same inventory, whether it
// came from the engine, complete or as deltas.
func sortedCopies(loaded []laburnumlever.ModelCopy) []laburnumlever.ModelCopy {
	out := slices.Clone(loaded)
	slices.SortStableFunc(out, func(a, b laburnumlever.ModelCopy) int { return strings.Compare(copyKey(a), copyKey(b)) })
	return out
}

// fullInventory returns the complete inventory.
func (r *backendRecord) fullInventory() inventoryUpdate {
	return inventoryUpdate{
		Backend:     r.state.Backend,
		Incarnation: r.state.Incarnation,
		Sequence:    r.inventorySequence,
		Fence:       r.report.Fence,
		Loaded:      r.report.Loaded,
	}
}

// inventoryToSend returns the inventory as a delta if there is one, otherwise complete.
func (r *backendRecord) inventoryToSend() inventoryUpdate {
	if r.delta.Base != 0 {
		return r.delta
	}
	return r.fullInventory()
}

// mergeInventory merges an engine's inventory and tells whether it was newer than the known
// one.
func (t *backendTable) mergeInventory(n inventoryUpdate, now time.Time) bool {
	r, ok := t.records[n.Backend]
	if !ok || n.Incarnation != r.state.Incarnation || n.Sequence <= r.inventorySequence {
		return false
	}
	if n.Base > r.inventorySequence {
		return false // an earlier update was missed and will be pulled
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

// publishInventory publishes the inventory of the last report.
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

// pushInventory keeps a queued announcement ahead of the inventory, because a VM drops the
// inventory of an unknown backend server.
func (c *core) pushInventory(id laburnumlever.BackendID) {
	c.bulkQueue.push(inventoryKey(id))
	if c.bulkQueue.contains(announcementKey(id)) {
		c.bulkQueue.push(announcementKey(id))
	}
}
