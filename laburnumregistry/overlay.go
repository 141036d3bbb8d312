package laburnumregistry

import (
	"slices"

	"laburnumlever"
)

// Overlay is what the director knows of an engine beyond its heartbeats. The higher fencing number
// wins, then the later one.
type Overlay struct {
	Backend laburnumlever.BackendID `json:"backend"`
	Fence   uint64                  `json:"fence"`
	// Born identifies the start of the engine that it describes.
	Born uint64 `json:"born,omitempty"`
	// Sequence is that of the engine's last heartbeat before it.
	Sequence uint64 `json:"sequence"`
	// Withdrawn are models that no request may be sent for any more.
	Withdrawn []laburnumlever.ModelName `json:"withdrawn,omitempty"`
	// Adapters are the loaded adapters by model.
	Adapters []laburnumlever.HeldModel `json:"adapters,omitempty"`
	// Outliers counts how often the backend server was detected as an outlier under the fencing
	// number.
	Outliers uint64 `json:"outliers,omitempty"`
}

// Holds reports whether requests for the model, and the adapter unless it is empty, may be sent to
// an engine with the heartbeat.
func (o Overlay) Holds(h laburnumlever.Heartbeat, model laburnumlever.ModelName, adapter laburnumlever.AdapterName) bool {
	if o.Born != h.Born {
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
