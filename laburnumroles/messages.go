package laburnumroles

import "laburnumlever"

// Methods between VMs.
const (
	methodNeed  = "adapter-need"
	methodRelay = "heartbeat-relay"
)

// needRequest asks for an adapter to be loaded beside its model.
type needRequest struct {
	Service laburnumlever.ServiceName `json:"service"`
	Model   laburnumlever.ModelName   `json:"model"`
	Adapter laburnumlever.AdapterName `json:"adapter"`
}

// needAnswer names the engines that hold it by now.
type needAnswer struct {
	Backends []laburnumlever.BackendID `json:"backends"`
}

// relayed is news of a backend server that another control VM heard.
type relayed struct {
	Heartbeat *laburnumlever.Heartbeat `json:"heartbeat,omitempty"`
	Gone      laburnumlever.BackendID  `json:"gone,omitempty"`
}
