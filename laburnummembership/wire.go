package laburnummembership

import "laburnumlever"

// The methods between VMs.
const (
	methodGossip        = "membership-gossip"
	methodIndirectProbe = "membership-ask"
	methodSync          = "membership-sync"
	methodDemand        = "membership-demand"
)

// gossip is a probe and its answer, with news.
type gossip struct {
	From laburnumlever.VMID `json:"from"`
	// To is the VM meant; empty when only its address is known.
	To     laburnumlever.VMID `json:"to,omitempty"`
	Digest uint64             `json:"digest"`
	// Receiver is what the sender holds of the receiver, if not alive.
	Receiver *laburnumlever.VM `json:"about-you,omitempty"`
	// UnknownSender says that the answering VM does not know the sender.
	UnknownSender bool     `json:"stranger,omitempty"`
	Updates       *updates `json:"news,omitempty"`
}

// updates is what changed.
type updates struct {
	VMs      []laburnumlever.VM `json:"vms,omitempty"`
	Backends []backendState     `json:"backends,omitempty"`
	Loads    loadRows           `json:"loads,omitempty"`
	// Packed are announcements and inventories, see packedNews.
	Packed []byte `json:"packed,omitempty"`
}

// backendState is a backend server's state without its load. Of two for one
// backend server, see supersedes.
type backendState struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"incarnation"`
	// StateVersion grows whenever a VM that hears the backend server contradicts what
	// is said of it.
	StateVersion uint64 `json:"beat"`
	// Publisher is the VM that hears it and passes on its load.
	Publisher laburnumlever.VMID `json:"speaker"`
	Leaving   bool               `json:"leaving,omitempty"`
	Health    health             `json:"health,omitempty"`
	// Announcement is left out where only the rest has changed.
	Announcement *laburnumlever.Announcement `json:"announcement,omitempty"`
}

// indirectProbeRequest asks a VM to probe another.
type indirectProbeRequest struct {
	Target  laburnumlever.VMID `json:"target"`
	Address string             `json:"address"`
}

// indirectProbeAnswer tells whether the helper reached it.
type indirectProbeAnswer struct {
	Reached bool `json:"reached"`
}

// syncRequest asks for what differs; without buckets for all.
type syncRequest struct {
	From    laburnumlever.VM `json:"from"`
	Buckets []byte           `json:"buckets,omitempty"`
}

// syncAnswer brings it, and the answering VM itself.
type syncAnswer struct {
	From laburnumlever.VM `json:"from"`
	// Packed is as in news.
	Packed []byte `json:"packed,omitempty"`
}

// demandReport is one VM's demand, for the VMs that place.
type demandReport struct {
	From laburnumlever.VMID          `json:"from"`
	Rows []laburnumlever.ModelDemand `json:"rows"`
}
