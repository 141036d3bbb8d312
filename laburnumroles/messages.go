package laburnumroles

import "laburnumlever"

// Methods between VMs.
const (
	methodAdapterNeed    = "adapter-need"
	methodHeartbeatRelay = "heartbeat-relay"
)

// adapterNeedAnswer names the engines that hold the adapter.
type adapterNeedAnswer struct {
	Backends []laburnumlever.BackendID `json:"backends"`
}

// relayBatch are heartbeats that another control VM received.
type relayBatch struct {
	// Heartbeats are those that changed something.
	Heartbeats []laburnumlever.Heartbeat `json:"heartbeats,omitempty"`
	// Alive are the backend servers whose heartbeats changed nothing.
	Alive []unchangedHeartbeat      `json:"alive,omitempty"`
	Gone  []laburnumlever.BackendID `json:"gone,omitempty"`
}

// unchangedHeartbeat is a heartbeat that changed nothing.
type unchangedHeartbeat struct {
	Backend  laburnumlever.BackendID `json:"backend"`
	Born     uint64                  `json:"born,omitempty"`
	Sequence uint64                  `json:"sequence"`
}
