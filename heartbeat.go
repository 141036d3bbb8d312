package laburnumlever

import "slices"

// Heartbeat is the state that a backend server announces periodically. Heartbeats of one
// backend server are ordered by Incarnation, then by Sequence.
type Heartbeat struct {
	Backend BackendID   `json:"backend"`
	Service ServiceName `json:"service"`
	Address string      `json:"address"`
	Zone    ZoneName    `json:"zone"`
	// Incarnation is the incarnation of the backend server and grows at each start; 0 if the
	// server sends none. A restarted engine has lost its models, and its sequence starts
	// over.
	Incarnation uint64 `json:"born,omitempty"`
	Sequence    uint64 `json:"sequence"`
	// Software is omitted by VMs of earlier builds, which drop it.
	Software SoftwareVersion `json:"software,omitempty"`
	Slots    int             `json:"slots"`
	// Leaving reports whether the backend server accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Remaining is how long a leaving backend server will still run, if it leaves at short
	// notice.
	Remaining Duration `json:"remaining,omitempty"`
	// Models are the models loaded on a model engine.
	Models []EngineModel `json:"models,omitempty"`
	// InMemory and OnDisk are the models whose weights the engine has in host memory and on
	// its disk.
	InMemory []ModelName `json:"in-memory,omitempty"`
	OnDisk   []ModelName `json:"on-disk,omitempty"`
}

// NewerThan reports whether the heartbeat is newer than another one of the same backend
// server.
func (h Heartbeat) NewerThan(other Heartbeat) bool {
	if h.Incarnation != other.Incarnation {
		return h.Incarnation > other.Incarnation
	}
	return h.Sequence > other.Sequence
}

// EngineModel is a model on an engine, with its loaded adapters.
type EngineModel struct {
	Name     ModelName     `json:"name"`
	Version  int           `json:"version"`
	Adapters []AdapterName `json:"adapters,omitempty"`
}

// Holds reports whether the backend server has loaded the model and, if not empty, the
// adapter.
func (h Heartbeat) Holds(model ModelName, adapter AdapterName) bool {
	return Holds(h.Models, model, adapter)
}

// Holds reports whether the list has the model and, if not empty, the adapter.
func Holds(held []EngineModel, model ModelName, adapter AdapterName) bool {
	i := slices.IndexFunc(held, func(m EngineModel) bool { return m.Name == model })
	if i < 0 {
		return false
	}
	return adapter == "" || slices.Contains(held[i].Adapters, adapter)
}

// EngineOrder asks a model engine to load or unload one model or adapter.
type EngineOrder struct {
	Kind    OrderKind
	Model   ModelName
	Adapter AdapterName
	// Expect is the number of orders that the engine must have accepted before. Of
	// several orders with the same value at most one takes effect.
	Expect uint64
	Holder VMID
	Fence  uint64
}

// EngineState is the state that a model engine reports on request.
type EngineState struct {
	// Incarnation is the incarnation of the engine, as in its heartbeats.
	Incarnation uint64
	// Accepted is the number of orders accepted since the engine's start.
	Accepted uint64
	// Busy reports whether an order is in progress.
	Busy   bool
	Models []EngineModel
	// LoadingAdapters lists the adapters that the engine is loading.
	LoadingAdapters  []EngineModel
	InMemory, OnDisk []ModelName
	Running, Queued  int
}
