package laburnummembership

import "laburnumlever"

// The methods between VMs.
const (
	methodGossip = "membership-gossip"
	methodAsk    = "membership-ask"
	methodSync   = "membership-sync"
	methodDemand = "membership-demand"
)

// gossip is a probe and its answer, with news.
type gossip struct {
	From laburnumlever.VMID `json:"from"`
	// To is the VM meant; empty when only its address is known.
	To     laburnumlever.VMID `json:"to,omitempty"`
	Digest uint64             `json:"digest"`
	// AboutYou is what the sender holds of the receiver, if not alive.
	AboutYou *laburnumlever.VM `json:"about-you,omitempty"`
	// Stranger says that the answering VM does not know the sender.
	Stranger bool  `json:"stranger,omitempty"`
	News     *news `json:"news,omitempty"`
}

// news is what changed.
type news struct {
	VMs      []laburnumlever.VM `json:"vms,omitempty"`
	Backends []backendNews      `json:"backends,omitempty"`
	Loads    loadRows           `json:"loads,omitempty"`
	// Packed are announcements and inventories, see packedNews.
	Packed []byte `json:"packed,omitempty"`
}

// backendNews is a backend server's state without its load. Of two for one
// backend server, see supersedes.
type backendNews struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"incarnation"`
	// Beat grows whenever a VM that hears the backend server contradicts what
	// is said of it.
	Beat uint64 `json:"beat"`
	// Speaker is the VM that hears it and passes on its load.
	Speaker laburnumlever.VMID `json:"speaker"`
	Leaving bool               `json:"leaving,omitempty"`
	Health  health             `json:"health,omitempty"`
	// Announcement is left out where only the rest has changed.
	Announcement *laburnumlever.Announcement `json:"announcement,omitempty"`
}

// askRequest asks a VM to probe another.
type askRequest struct {
	Target  laburnumlever.VMID `json:"target"`
	Address string             `json:"address"`
}

// askAnswer tells whether the helper reached it.
type askAnswer struct {
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

// demandNews is one VM's demand, for the VMs that place.
type demandNews struct {
	From laburnumlever.VMID          `json:"from"`
	Rows []laburnumlever.ModelDemand `json:"rows"`
}
