package laburnumdirector

import (
	"slices"
	"strings"

	"laburnumlever"
)

// engineTable holds the engines, with an index of who may hold a model and a list of those
// that changed. With thousands of engines a look at each of them for every gateway's word on an
// adapter takes more than a control VM has.
type engineTable struct {
	byID map[laburnumlever.BackendID]*engine
	// order is the identities by name; nil when engines have come or gone since.
	order []laburnumlever.BackendID
	// holders are the engines that have held a model, and may not any more.
	holders map[laburnumlever.ModelName]map[laburnumlever.BackendID]*engine
	changed []*engine
	// losses counts the engines that went and the models that engines stopped to hold.
	losses uint64
}

func newEngineTable() *engineTable {
	return &engineTable{
		byID:    map[laburnumlever.BackendID]*engine{},
		holders: map[laburnumlever.ModelName]map[laburnumlever.BackendID]*engine{},
	}
}

func (t *engineTable) get(id laburnumlever.BackendID) *engine { return t.byID[id] }

// put adds an engine, in the place of one with the same identity.
func (t *engineTable) put(e *engine) {
	t.byID[e.heartbeat.Backend] = e
	t.order = nil
}

func (t *engineTable) remove(id laburnumlever.BackendID) {
	delete(t.byID, id)
	t.order = nil
	t.losses++
}

// ids are the identities by name, so that each look sees the engines alike.
func (t *engineTable) ids() []laburnumlever.BackendID {
	if t.order == nil {
		t.order = make([]laburnumlever.BackendID, 0, len(t.byID))
		for id := range t.byID {
			t.order = append(t.order, id)
		}
		slices.Sort(t.order)
	}
	return t.order
}

// noteHolder is called when an engine begins to hold a model.
func (t *engineTable) noteHolder(e *engine, model laburnumlever.ModelName) {
	if t.holders[model] == nil {
		t.holders[model] = map[laburnumlever.BackendID]*engine{}
	}
	t.holders[model][e.heartbeat.Backend] = e
}

// holding returns the engines that hold a model, by name.
func (t *engineTable) holding(model laburnumlever.ModelName) []*engine {
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

// noteChanged is called for an engine of which gateways do not know yet what is known here.
func (t *engineTable) noteChanged(e *engine) { t.changed = append(t.changed, e) }

// takeChanged returns those engines, and forgets them.
func (t *engineTable) takeChanged() []*engine {
	changed := t.changed
	t.changed = nil
	return changed
}
