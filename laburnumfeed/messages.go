package laburnumfeed

import (
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
	// News is for the control VM that gives the orders.
	News laburnumlever.GatewayNews `json:"news,omitzero"`
}

// Answer is what a control VM knows that the asking VM does not.
type Answer struct {
	// Boot changes at each start of the control VM; Cursor is asked from next.
	Boot   uint64 `json:"boot"`
	Cursor uint64 `json:"cursor"`
	// RoutesVersion is the version held; 0 for none.
	RoutesVersion uint64                     `json:"routes-version,omitempty"`
	Backends      []laburnumregistry.Record  `json:"backends,omitempty"`
	Overlays      []laburnumregistry.Overlay `json:"overlays,omitempty"`
	// Controls are the control VMs heard of lately, the answering one included.
	Controls []laburnumlever.VM `json:"controls,omitempty"`
	// Gateways is how many gateways the control VM has heard of.
	Gateways int `json:"gateways,omitempty"`
	// Director is the control VM that gives the orders, as far as known.
	Director laburnumlever.VMID `json:"director,omitempty"`
}
