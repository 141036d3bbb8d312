package laburnumdirector

import (
	"slices"
	"strings"

	"laburnumlever"
)

// engineTable indexes the engines by identity and by held model, and lists the changed ones.
type engineTable struct {
	byID map[laburnumlever.BackendID]*engine
	// sortedIDs caches the result of ids; nil after a change.
	sortedIDs []laburnumlever.BackendID
	// holders are the engines that hold or have held a model; holdersOf removes the latter.
	holders map[laburnumlever.ModelName]map[laburnumlever.BackendID]*engine
	changed []*engine
	// removals counts removed engines and models.
	removals uint64
}

func newEngineTable() *engineTable {
	return &engineTable{
		byID:    map[laburnumlever.BackendID]*engine{},
		holders: map[laburnumlever.ModelName]map[laburnumlever.BackendID]*engine{},
	}
}

func (t *engineTable) get(id laburnumlever.BackendID) *engine { return t.byID[id] }

// put adds an engine or replaces the one of the same identity.
func (t *engineTable) put(e *engine) {
	t.byID[e.heartbeat.Backend] = e
	t.sortedIDs = nil
}

func (t *engineTable) remove(id laburnumlever.BackendID) {
	delete(t.byID, id)
	t.sortedIDs = nil
	t.removals++
}

// ids returns the identities in ascending order.
func (t *engineTable) ids() []laburnumlever.BackendID {
	if t.sortedIDs == nil {
		t.sortedIDs = make([]laburnumlever.BackendID, 0, len(t.byID))
		for id := range t.byID {
			t.sortedIDs = append(t.sortedIDs, id)
		}
		slices.Sort(t.sortedIDs)
	}
	return t.sortedIDs
}

// addHolder indexes an engine under a model.
func (t *engineTable) addHolder(e *engine, model laburnumlever.ModelName) {
	if t.holders[model] == nil {
		t.holders[model] = map[laburnumlever.BackendID]*engine{}
	}
	t.holders[model][e.heartbeat.Backend] = e
}

// holdersOf returns the engines that hold a model, sorted by identity.
func (t *engineTable) holdersOf(model laburnumlever.ModelName) []*engine {
	var list []*engine
	for id, e := range t.holders[model] {
		if t.byID[id] != e || e.held[model] == nil {
			delete(t.holders[model], id)
			continue
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *engine) int {
		return strings.Compare(string(a.heartbeat.Backend), string(b.heartbeat.Backend))
	})
	return list
}

// addChanged lists an engine whose overlay is due.
func (t *engineTable) addChanged(e *engine) { t.changed = append(t.changed, e) }

// takeChanged returns and clears the list of changed engines.
func (t *engineTable) takeChanged() []*engine {
	changed := t.changed
	t.changed = nil
	return changed
}
