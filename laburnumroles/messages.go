package laburnumroles

import "laburnumlever"

// Methods between VMs.
const (
	methodNeed  = "adapter-need"
	methodRelay = "heartbeat-relay"
)

// needAnswer names the engines that hold the adapter.
type needAnswer struct {
	Backends []laburnumlever.BackendID `json:"backends"`
}

// relayed are heartbeats that another control VM received.
type relayed struct {
	// Heartbeats are those that changed something.
	Heartbeats []laburnumlever.Heartbeat `json:"heartbeats,omitempty"`
	// Alive are the backend servers whose heartbeats changed nothing.
	Alive []alive                   `json:"alive,omitempty"`
	Gone  []laburnumlever.BackendID `json:"gone,omitempty"`
}

// alive is a heartbeat that changed nothing.
type alive struct {
	Backend  laburnumlever.BackendID `json:"backend"`
	Born     uint64                  `json:"born,omitempty"`
	Sequence uint64                  `json:"sequence"`
}
