package laburnummembership

import "laburnumlever"

// The JSON-RPC methods between VMs.
const (
	methodGossip        = "membership-gossip"
	methodIndirectProbe = "membership-ask"
	methodSync          = "membership-sync"
	methodDemand        = "membership-demand"
)

// gossip is both a probe and its answer, and carries updates.
type gossip struct {
	From laburnumlever.VMID `json:"from"`
	// To is the intended receiver; empty if only its address is known.
	To     laburnumlever.VMID `json:"to,omitempty"`
	Digest uint64             `json:"digest"`
	// Receiver is the sender's record of the receiver, set if the state is not alive.
	Receiver *laburnumlever.VM `json:"about-you,omitempty"`
	// UnknownSender is set if the answering VM does not know the sender.
	UnknownSender bool     `json:"stranger,omitempty"`
	Updates       *updates `json:"news,omitempty"`
}

// updates are changed records.
type updates struct {
	VMs      []laburnumlever.VM `json:"vms,omitempty"`
	Backends []backendState     `json:"backends,omitempty"`
	Loads    loadRows           `json:"loads,omitempty"`
	// Packed are announcements and inventories, as packedUpdates.
	Packed []byte `json:"packed,omitempty"`
}

// backendState is a backend server's state without its load. For which of two is newer, see
// supersedes.
type backendState struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"incarnation"`
	// StateVersion grows whenever a VM in contact with the backend server contradicts its
	// published state.
	StateVersion uint64 `json:"beat"`
	// Publisher is the VM that is in contact with the backend server and publishes its state
	// and load.
	Publisher laburnumlever.VMID `json:"speaker"`
	Leaving   bool               `json:"leaving,omitempty"`
	Health    health             `json:"health,omitempty"`
	// Announcement is omitted if only other fields have changed.
	Announcement *laburnumlever.Announcement `json:"announcement,omitempty"`
}

// indirectProbeRequest asks a VM to probe another.
type indirectProbeRequest struct {
	Target  laburnumlever.VMID `json:"target"`
	Address string             `json:"address"`
}

// indirectProbeAnswer tells whether the helper reached the target.
type indirectProbeAnswer struct {
	Reached bool `json:"reached"`
}

// syncRequest is a pull of the facts in differing buckets, or of all facts if Buckets is empty.
type syncRequest struct {
	From    laburnumlever.VM `json:"from"`
	Buckets []byte           `json:"buckets,omitempty"`
}

// syncAnswer carries the facts and the answering VM's own record.
type syncAnswer struct {
	From laburnumlever.VM `json:"from"`
	// Packed are packedUpdates.
	Packed []byte `json:"packed,omitempty"`
}

// demandReport is one VM's demand, sent to the zone owners.
type demandReport struct {
	From laburnumlever.VMID          `json:"from"`
	Rows []laburnumlever.ModelDemand `json:"rows"`
}
