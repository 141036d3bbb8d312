package laburnumroles

import (
	"encoding/json"
	"slices"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumregistry"
)

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
	methodLeaseConnections = "connections-lease"
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
	// GoneStarts tell which starts of them; VMs of earlier builds send none.
	GoneStarts []laburnumlever.BackendStart `json:"gone-starts,omitempty"`
	// unreadable tells why entries were left out.
	unreadable []error
}

// unchangedHeartbeat identifies a heartbeat whose content is the same as that of the one before.
type unchangedHeartbeat struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"born,omitempty"`
	Sequence    uint64                  `json:"sequence"`
}

// UnmarshalJSON decodes a batch. A heartbeat that can't be read leaves the others as they are.
func (b *relayBatch) UnmarshalJSON(data []byte) error {
	var plain struct {
		Heartbeats json.RawMessage `json:"heartbeats"`
		Alive      json.RawMessage `json:"alive"`
		Gone       json.RawMessage `json:"gone"`
		GoneStarts json.RawMessage `json:"gone-starts"`
	}
	if err := json.Unmarshal(data, &plain); err != nil {
		return err
	}
	*b = relayBatch{}
	b.unreadable = slices.Concat(
		laburnumfeed.DecodeEntries(plain.Heartbeats, b.addHeartbeat),
		laburnumfeed.DecodeEntries(plain.Alive, func(entry json.RawMessage) error {
			var h unchangedHeartbeat
			err := json.Unmarshal(entry, &h)
			if err == nil {
				b.Alive = append(b.Alive, h)
			}
			return err
		}),
		laburnumfeed.DecodeEntries(plain.Gone, func(entry json.RawMessage) error {
			var id laburnumlever.BackendID
			err := json.Unmarshal(entry, &id)
			if err == nil {
				b.Gone = append(b.Gone, id)
			}
			return err
		}),
		laburnumfeed.DecodeEntries(plain.GoneStarts, func(entry json.RawMessage) error {
			var start laburnumlever.BackendStart
			err := json.Unmarshal(entry, &start)
			if err == nil {
				b.GoneStarts = append(b.GoneStarts, start)
			}
			return err
		}),
	)
	return nil
}

func (b *relayBatch) addHeartbeat(entry json.RawMessage) error {
	var h laburnumlever.Heartbeat
	if err := json.Unmarshal(entry, &h); err != nil {
		return err
	}
	if err := (laburnumregistry.Record{Heartbeat: h}).Check(); err != nil {
		return err
	}
	b.Heartbeats = append(b.Heartbeats, h)
	return nil
}
