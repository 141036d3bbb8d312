package laburnumroles

import "laburnumlever"

// Methods between VMs.
const (
	methodNeed  = "adapter-need"
	methodRelay = "heartbeat-relay"
)

// needAnswer names the engines that hold it by now.
type needAnswer struct {
	Backends []laburnumlever.BackendID `json:"backends"`
}

// relayed is what another control VM heard of backend servers lately.
type relayed struct {
	// Heartbeats are those that brought something new.
	Heartbeats []laburnumlever.Heartbeat `json:"heartbeats,omitempty"`
	// Alive are the backend servers whose heartbeats did not.
	Alive []alive                   `json:"alive,omitempty"`
	Gone  []laburnumlever.BackendID `json:"gone,omitempty"`
}

// alive tells of a heartbeat that brought nothing new.
type alive struct {
	Backend  laburnumlever.BackendID `json:"backend"`
	Born     uint64                  `json:"born,omitempty"`
	Sequence uint64                  `json:"sequence"`
}
