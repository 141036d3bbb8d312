package laburnumlever

import "slices"

// Heartbeat is what a backend server says of itself at intervals. Of two heartbeats under
// one identity the one of the later start is the newer, and of one start that with the
// higher sequence.
type Heartbeat struct {
	Backend BackendID   `json:"backend"`
	Service ServiceName `json:"service"`
	Address string      `json:"address"`
	Zone    ZoneName    `json:"zone"`
	// Born tells the starts of a backend server under one identity apart: the later, the
	// higher, 0 where it does not tell. One that starts again holds nothing of before, and
	// its sequence begins anew.
	Born     uint64 `json:"born,omitempty"`
	Sequence uint64 `json:"sequence"`
	Slots    int    `json:"slots"`
	// Leaving tells that the backend server takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Remaining, of one that leaves at short notice, is how long it still runs.
	Remaining Duration `json:"remaining,omitempty"`
	// Models are those that a model engine holds.
	Models []HeldModel `json:"models,omitempty"`
	// InMemory and OnDisk are the models whose weights the engine has at hand.
	InMemory []ModelName `json:"in-memory,omitempty"`
	OnDisk   []ModelName `json:"on-disk,omitempty"`
}

// NewerThan tells whether the heartbeat is newer than another under the same identity.
func (h Heartbeat) NewerThan(other Heartbeat) bool {
	if h.Born != other.Born {
		return h.Born > other.Born
	}
	return h.Sequence > other.Sequence
}

// HeldModel is a model that an engine holds, with the adapters beside it.
type HeldModel struct {
	Name     ModelName     `json:"name"`
	Version  int           `json:"version"`
	Adapters []AdapterName `json:"adapters,omitempty"`
}

// Holds tells whether the backend server holds the model, and the adapter unless
// it is empty.
func (h Heartbeat) Holds(model ModelName, adapter AdapterName) bool {
	return Holds(h.Models, model, adapter)
}

// Holds tells whether the list has the model, with the adapter unless that is
// empty.
func Holds(held []HeldModel, model ModelName, adapter AdapterName) bool {
	i := slices.IndexFunc(held, func(m HeldModel) bool { return m.Name == model })
	if i < 0 {
		return false
	}
	return adapter == "" || slices.Contains(held[i].Adapters, adapter)
}

// EngineOrder asks a model engine to change what it holds, by one model or one
// adapter.
type EngineOrder struct {
	Kind    OrderKind
	Model   ModelName
	Adapter AdapterName
	// Expect is the number of orders that the engine must have accepted before:
	// of two orders with one expectation at most one takes effect.
	Expect uint64
	Holder VMID
	Fence  uint64
}

// EngineState is what a model engine reports of itself when asked.
type EngineState struct {
	// Born is the start that the engine speaks of, as in its heartbeats.
	Born uint64
	// Accepted is the number of orders accepted since the engine's start.
	Accepted uint64
	// Busy tells that an order is under way.
	Busy   bool
	Models []HeldModel
	// Coming are the adapters on their way to the engine.
	Coming           []HeldModel
	InMemory, OnDisk []ModelName
	Running, Queued  int
}
