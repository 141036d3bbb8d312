package laburnumroles

import "laburnumlever"

// JSON-RPC methods between VMs.
const (
	methodAdapterRequest   = "adapter-need"
	methodHeartbeatRelay   = "heartbeat-relay"
	methodQuarantineReport = "quarantine-report"
	methodTrialBegin       = "quarantine-trial"
	methodTrialEnd         = "quarantine-trial-end"
	methodLimitReport      = "limit-report"
	methodLimitSlot        = "limit-slot"
	methodConfirmRoutes    = "routes-confirm"
	methodQuotaGrant       = "quota-grant"
	methodHelpers          = "tunnel-helpers"
	methodLease            = "brittle-lease"
	methodReturnLeases     = "brittle-return"
	methodStreamRecord     = "stream-record"
	methodStreamLookup     = "stream-lookup"
)

// adapterRequestAnswer lists the engines that hold the adapter.
type adapterRequestAnswer struct {
	Backends []laburnumlever.BackendID `json:"backends"`
}

// relayBatch is a batch of heartbeats and removals that one control VM relays to the others.
type relayBatch struct {
	// Heartbeats are the heartbeats with changed content.
	Heartbeats []laburnumlever.Heartbeat `json:"heartbeats,omitempty"`
	// Alive are the heartbeats without changed content.
	Alive []unchangedHeartbeat `json:"alive,omitempty"`
	// Gone are the removed backend servers.
	Gone []laburnumlever.BackendID `json:"gone,omitempty"`
}

// unchangedHeartbeat identifies a heartbeat whose content is the same as that of the one before.
type unchangedHeartbeat struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"born,omitempty"`
	Sequence    uint64                  `json:"sequence"`
}
