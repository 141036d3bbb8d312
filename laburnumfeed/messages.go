package laburnumfeed

import (
	"encoding/json"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

// Methods between VMs.
const (
	methodPoll   = "feed-next"
	methodRoutes = "feed-routes"
)

// pollRequest polls for changes after a cursor.
type pollRequest struct {
	From laburnumlever.VM `json:"from"`
	// Boot and Since are those of the last answer; 0 before the first.
	Boot  uint64 `json:"boot,omitempty"`
	Since uint64 `json:"since,omitempty"`
	// Records asks for endpoint state as well.
	Records bool `json:"records,omitempty"`
	// News is for the director.
	News laburnumlever.GatewayNews `json:"news,omitzero"`
}

// Answer holds the changes after a request's cursor.
type Answer struct {
	meta
	Backends []laburnumregistry.Record  `json:"backends,omitempty"`
	Overlays []laburnumregistry.Overlay `json:"overlays,omitempty"`
}

// encodedAnswer is an Answer with items that were encoded before.
type encodedAnswer struct {
	meta
	Backends []json.RawMessage `json:"backends,omitempty"`
	Overlays []json.RawMessage `json:"overlays,omitempty"`
}

// compressThreshold is the size in bytes from which an answer is compressed. Changes are below it; the
// pages that a starting VM gets are above it, and come to megabytes.
const compressThreshold = 8 << 10

// plainAnswer is an answer without its own encoding.
type plainAnswer Answer

// packedAnswer is a compressed answer.
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

// UnmarshalJSON decodes an answer in either form.
func (a *Answer) UnmarshalJSON(data []byte) error {
	var either struct {
		plainAnswer
		packedAnswer
	}
	if err := json.Unmarshal(data, &either); err != nil {
		return err
	}
	if len(either.Packed) == 0 {
		*a = Answer(either.plainAnswer)
		return nil
	}
	whole, err := laburnumlever.Unpack(either.Packed)
	if err != nil {
		return err
	}
	return json.Unmarshal(whole, (*plainAnswer)(a))
}

// meta is an answer without endpoint state.
type meta struct {
	// Boot changes at each start of the control VM; Cursor is asked from next.
	Boot   uint64 `json:"boot"`
	Cursor uint64 `json:"cursor"`
	// RoutesVersion is the current version; 0 for none.
	RoutesVersion uint64 `json:"routes-version,omitempty"`
	// Controls are the known control VMs, the answering one included.
	Controls []laburnumlever.VM `json:"controls,omitempty"`
	// Gateways is how many gateways poll the control VM.
	Gateways int `json:"gateways,omitempty"`
	// Director is the control VM that holds the placement lease, if known.
	Director laburnumlever.VMID `json:"director,omitempty"`
	// Isolated is set if the control VM is cut off from a majority of the control VMs: its endpoint
	// state may be outdated.
	Isolated bool `json:"isolated,omitempty"`
}
