package laburnumfeed

import (
	"encoding/json"
	"slices"

	"laburnumlever"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumroom"
)

// JSON-RPC methods between VMs.
const (
	methodPoll           = "feed-next"
	methodRoutes         = "feed-routes" // of earlier builds
	methodRoutesPart     = "feed-routes-part"
	methodRoutesInEffect = "feed-routes-in-effect"
)

// pollRequest is the body of a poll for changes after a cursor.
type pollRequest struct {
	From laburnumlever.VM `json:"from"`
	// Boot and Since are those of the last answer; 0 before the first.
	Boot  uint64 `json:"boot,omitempty"`
	Since uint64 `json:"since,omitempty"`
	// Records asks for endpoint state as well.
	Records bool `json:"records,omitempty"`
	// Helper is where the VM opens connections to backend servers for others; empty while it can't.
	Helper string `json:"helper,omitempty"`
	// LeasesConnections is set by gateways that use less than an even part of backend servers' connection limits without a lease.
	LeasesConnections bool `json:"leases-connections,omitempty"`
	// GatewayReport is set in polls to the director.
	GatewayReport laburnumlever.GatewayReport `json:"news,omitzero"`
}

// Answer contains the changes after a request's cursor, at most a page.
type Answer struct {
	meta
	Backends []laburnumregistry.Record  `json:"backends,omitempty"`
	Overlays []laburnumregistry.Overlay `json:"overlays,omitempty"`
	// Remembered are backend servers from before the control VM's start. VMs of earlier builds ignore them.
	Remembered []laburnumregistry.Record `json:"remembered,omitempty"`
	// Quarantine is sent with endpoint state.
	Quarantine []laburnumquarantine.Entry `json:"quarantine,omitempty"`
	Limits     []laburnumlimit.Limit      `json:"limits,omitempty"`
	// Brittle are the brittle backend servers.
	Brittle []laburnumconcurrency.Limit `json:"brittle,omitempty"`
	// Room holds the levels of services; only the director has any.
	Room []laburnumroom.Level `json:"room,omitempty"`
	// Unreadable tells why entries were left out.
	Unreadable []error `json:"-"`
}

// encodedAnswer is an Answer whose items are already encoded.
type encodedAnswer struct {
	meta
	Backends []json.RawMessage `json:"backends,omitempty"`
	Overlays []json.RawMessage `json:"overlays,omitempty"`

	Remembered []json.RawMessage `json:"remembered,omitempty"`
	Quarantine []json.RawMessage `json:"quarantine,omitempty"`
	Limits     []json.RawMessage `json:"limits,omitempty"`
	Brittle    []json.RawMessage `json:"brittle,omitempty"`
	Room       []json.RawMessage `json:"room,omitempty"`
}

// compressThreshold is the size in bytes above which an answer is compressed. Batches of changes are
// below it; the pages sent to a starting VM are above it and amount to megabytes.
const compressThreshold = 8 << 10

// plainAnswer is an Answer whose lists are not decoded yet.
type plainAnswer struct {
	meta
	Backends   json.RawMessage `json:"backends"`
	Overlays   json.RawMessage `json:"overlays"`
	Quarantine json.RawMessage `json:"quarantine"`
	Limits     json.RawMessage `json:"limits"`
	Brittle    json.RawMessage `json:"brittle"`
	Remembered json.RawMessage `json:"remembered"`
	Room       json.RawMessage `json:"room"`
}

// answer decodes the lists. An entry that can't be read leaves the others as they are.
func (p plainAnswer) answer() Answer {
	a := Answer{meta: p.meta}
	a.Unreadable = slices.Concat(
		decodeRecords(p.Backends, &a.Backends),
		decodeRecords(p.Remembered, &a.Remembered),
		DecodeEntries(p.Room, func(entry json.RawMessage) error {
			var l laburnumroom.Level
			err := json.Unmarshal(entry, &l)
			if err == nil {
				a.Room = append(a.Room, l)
			}
			return err
		}),
		DecodeEntries(p.Overlays, func(entry json.RawMessage) error {
			var o laburnumregistry.Overlay
			err := json.Unmarshal(entry, &o)
			if err == nil {
				a.Overlays = append(a.Overlays, o)
			}
			return err
		}),
		DecodeEntries(p.Quarantine, func(entry json.RawMessage) error {
			var e laburnumquarantine.Entry
			err := json.Unmarshal(entry, &e)
			if err == nil {
				a.Quarantine = append(a.Quarantine, e)
			}
			return err
		}),
		DecodeEntries(p.Limits, func(entry json.RawMessage) error {
			var l laburnumlimit.Limit
			err := json.Unmarshal(entry, &l)
			if err == nil {
				a.Limits = append(a.Limits, l)
			}
			return err
		}),
		DecodeEntries(p.Brittle, func(entry json.RawMessage) error {
			var l laburnumconcurrency.Limit
			err := json.Unmarshal(entry, &l)
			if err == nil {
				a.Brittle = append(a.Brittle, l)
			}
			return err
		}),
	)
	return a
}

// decodeRecords appends the records of a list that name a backend server to use.
func decodeRecords(list json.RawMessage, records *[]laburnumregistry.Record) []error {
	return DecodeEntries(list, func(entry json.RawMessage) error {
		var r laburnumregistry.Record
		if err := json.Unmarshal(entry, &r); err != nil {
			return err
		}
		if err := r.Check(); err != nil {
			return err
		}
		*records = append(*records, r)
		return nil
	})
}

// packedAnswer contains a compressed encoded answer.
type packedAnswer struct {
	Packed []byte `json:"packed,omitempty"`
}

func (a encodedAnswer) encode() (json.RawMessage, error) {
	data, err := json.Marshal(a)
	if err != nil || len(data) <= compressThreshold {
		return data, err
	}
	packed, err := laburnumlever.Pack(data)
	if err != nil {
		return nil, err
	}
	return json.Marshal(packedAnswer{Packed: packed})
}

// UnmarshalJSON decodes a plain or compressed answer.
func (a *Answer) UnmarshalJSON(data []byte) error {
	var either struct {
		plainAnswer
		packedAnswer
	}
	if err := json.Unmarshal(data, &either); err != nil {
		return err
	}
	if len(either.Packed) == 0 {
		*a = either.answer()
		return nil
	}
	unpacked, err := laburnumlever.Unpack(either.Packed)
	if err != nil {
		return err
	}
	var plain plainAnswer
	if err := json.Unmarshal(unpacked, &plain); err != nil {
		return err
	}
	*a = plain.answer()
	return nil
}

// meta is the part of an answer other than endpoint state.
type meta struct {
	// Boot changes at each start of the control VM; Cursor is where the next poll resumes.
	Boot   uint64 `json:"boot"`
	Cursor uint64 `json:"cursor"`
	// RoutesVersion is the version of the current route table; 0 for none.
	RoutesVersion uint64 `json:"routes-version,omitempty"`
	// Controls are the known control VMs, including the answering one; empty if unchanged.
	Controls []laburnumlever.VM `json:"controls,omitempty"`
	// Gateways is the number of gateways that poll the control VM.
	Gateways int `json:"gateways,omitempty"`
	// Director is the control VM that holds the placement lease, if known.
	Director laburnumlever.VMID `json:"director,omitempty"`
	// Isolated is set if the control VM can't reach a majority of the control VMs: its endpoint state
	// may be stale.
	Isolated bool `json:"isolated,omitempty"`
	// Complete is set if the VM has all endpoint state of the last minutes, and has sent all of it.
	Complete bool `json:"complete,omitempty"`
}
