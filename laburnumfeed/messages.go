package laburnumfeed

import (
	"encoding/json"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

// Methods between VMs.
const (
	methodNext   = "feed-next"
	methodRoutes = "feed-routes"
)

// request asks for what is newer than a cursor.
type request struct {
	// From is the VM that asks.
	From laburnumlever.VM `json:"from"`
	// Boot and Since are those of the last answer; 0 before the first.
	Boot  uint64 `json:"boot,omitempty"`
	Since uint64 `json:"since,omitempty"`
	// Records tells whether backend servers are asked for as well.
	Records bool `json:"records,omitempty"`
	// News is for the control VM that gives the orders.
	News laburnumlever.GatewayNews `json:"news,omitzero"`
}

// Answer is what a control VM knows that the asking VM does not.
type Answer struct {
	meta
	Backends []laburnumregistry.Record  `json:"backends,omitempty"`
	Overlays []laburnumregistry.Overlay `json:"overlays,omitempty"`
}

// answerEncoded is an Answer as it is sent: its lists are of items encoded before.
type answerEncoded struct {
	meta
	Backends []json.RawMessage `json:"backends,omitempty"`
	Overlays []json.RawMessage `json:"overlays,omitempty"`
}

// packAbove is the size in bytes of an encoded answer from which it is compressed. Changes
// are below it; the pages that a starting VM gets, three thousand backend servers from three
// control VMs, are 3 MB otherwise, some seconds of a gateway's link.
const packAbove = 8 << 10

// plainAnswer is an answer without its own encoding.
type plainAnswer Answer

// packedAnswer is a compressed answer.
type packedAnswer struct {
	Packed []byte `json:"packed,omitempty"`
}

// encode returns the answer as it is sent.
func (a answerEncoded) encode() (json.RawMessage, error) {
	data, err := json.Marshal(a)
	if err != nil || len(data) <= packAbove {
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

// meta is what an answer tells beside backend servers.
type meta struct {
	// Boot changes at each start of the control VM; Cursor is asked from next.
	Boot   uint64 `json:"boot"`
	Cursor uint64 `json:"cursor"`
	// RoutesVersion is the version held; 0 for none.
	RoutesVersion uint64 `json:"routes-version,omitempty"`
	// Controls are the control VMs heard of lately, the answering one included.
	Controls []laburnumlever.VM `json:"controls,omitempty"`
	// Gateways is how many gateways the control VM has heard of.
	Gateways int `json:"gateways,omitempty"`
	// Director is the control VM that gives the orders, as far as known.
	Director laburnumlever.VMID `json:"director,omitempty"`
	// Isolated tells that the control VM hears no majority of the control VMs, itself
	// included: what it knows of backend servers may be old.
	Isolated bool `json:"isolated,omitempty"`
}
