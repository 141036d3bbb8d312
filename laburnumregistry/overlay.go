package laburnumregistry

import (
	"slices"

	"laburnumlever"
)

// Overlay is engine state that the director knows beyond the engine's heartbeats. The overlay with the
// higher fencing number wins, then the later one.
type Overlay struct {
	Backend laburnumlever.BackendID `json:"backend"`
	Fence   uint64                  `json:"fence"`
	// Incarnation identifies the incarnation of the engine that the overlay describes.
	Incarnation uint64 `json:"born,omitempty"`
	// Sequence is that of the engine's last heartbeat before the overlay.
	Sequence uint64 `json:"sequence"`
	// Withdrawn are models for which the engine must get no new requests.
	Withdrawn []laburnumlever.ModelName `json:"withdrawn,omitempty"`
	// Adapters lists the loaded adapters of each model.
	Adapters []laburnumlever.EngineModel `json:"adapters,omitempty"`
	// Outliers is the number of times that the backend server was detected as an outlier under the
	// fencing number.
	Outliers uint64 `json:"outliers,omitempty"`
	// Loading are the models that the engine loads.
	Loading []ModelLoad `json:"loading,omitempty"`
}

// ModelLoad is a load under way.
type ModelLoad struct {
	Model laburnumlever.ModelName `json:"model"`
	// ReadyIn is the time until its expected end, counted from the message that tells it.
	ReadyIn laburnumlever.Duration `json:"ready-in"`
}

// Holds reports whether requests for the model, and for the adapter unless it is empty, may be sent
// to an engine whose last heartbeat is h. An overlay of another incarnation is ignored. For adapters,
// a heartbeat newer than the overlay counts as well.
func (o Overlay) Holds(h laburnumlever.Heartbeat, model laburnumlever.ModelName, adapter laburnumlever.AdapterName) bool {
	if o.Incarnation != h.Incarnation {
		o = Overlay{}
	}
	if slices.Contains(o.Withdrawn, model) || !h.Holds(model, "") {
		return false
	}
	if adapter == "" {
		return true
	}
	newer := o.Fence == 0 || h.Sequence > o.Sequence
	return laburnumlever.Holds(o.Adapters, model, adapter) || (newer && h.Holds(model, adapter))
}
