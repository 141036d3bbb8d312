package laburnumlever

import "time"

// Identities in the fleet.
type (
	// VMID identifies a VM, as set in its settings file.
	VMID string
	// ZoneName names an availability zone.
	ZoneName string
	// RegionName names a region, a group of availability zones.
	RegionName string
	// BackendID identifies a backend server, which chooses it itself.
	BackendID string
	// SoftwareVersion names the software that a backend server runs, not the weights that it serves; empty if
	// unknown. It belongs to one incarnation of the server.
	SoftwareVersion string
	// AcceleratorID names an accelerator within its engine.
	AcceleratorID string
	// OrderID identifies one order to an engine; ids are never reused.
	OrderID string
)

// VM is an entry VM as the other VMs see it. Of two values with the same ID, the one
// with the higher incarnation is newer.
type VM struct {
	ID          VMID       `json:"id"`
	Zone        ZoneName   `json:"zone"`
	Region      RegionName `json:"region,omitempty"`
	PeerAddress string     `json:"peer-address"`
	// CallerAddress is the address for callers' requests.
	CallerAddress string `json:"caller-address,omitempty"`
	// HasDisk reports whether the VM has a data folder, which a voter needs.
	HasDisk bool `json:"has-disk,omitempty"`
	// OwnsZone reports whether the VM holds a zone's placement lease; the other
	// VMs send their demand to it.
	OwnsZone    bool    `json:"owns-zone,omitempty"`
	Incarnation uint64  `json:"incarnation"`
	State       VMState `json:"state"`
}

// Accelerator is one accelerator of an engine.
type Accelerator struct {
	ID        AcceleratorID `json:"id"`
	MemoryMiB int           `json:"memory-mib"`
}

// Announcement describes a backend server. The server sends it to any entry VM when it
// starts and periodically afterwards.
type Announcement struct {
	Backend BackendID   `json:"backend"`
	Kind    BackendKind `json:"kind"`
	Zone    ZoneName    `json:"zone"`
	// Address is the IP and port for requests and orders over HTTP.
	Address string `json:"address"`
	// Incarnation grows at each start of the backend server.
	Incarnation uint64 `json:"incarnation"`
	// Service is the plain service that the server runs; empty for an engine.
	Service ServiceName `json:"service,omitempty"`
	// Accelerators of an engine; empty for a plain service.
	Accelerators []Accelerator `json:"accelerators,omitempty"`
	// ChecksFencing reports whether the engine refuses orders with an outdated
	// fencing number.
	ChecksFencing bool `json:"checks-fencing,omitempty"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots"`
	// PrefillTokensPerSecond is the prompt processing rate of the whole server.
	PrefillTokensPerSecond float64 `json:"prefill-tokens-per-second,omitempty"`
	// TokensPerSecond is the generation rate of the whole server.
	TokensPerSecond float64 `json:"tokens-per-second,omitempty"`
	// CanResume reports whether the engine can resume a broken stream.
	CanResume bool `json:"can-resume,omitempty"`
}

// ModelCopy is a copy of a model, including all of its adapters, on an engine. The copy may
// still be loading.
type ModelCopy struct {
	Model        ModelName       `json:"model"`
	Version      Version         `json:"version"`
	Adapters     []AdapterName   `json:"adapters,omitempty"`
	Accelerators []AcceleratorID `json:"accelerators"`
	// PartMiB is the memory committed on each of the accelerators.
	PartMiB int `json:"part-mib"`
	// Ready reports whether the copy accepts requests; false while it is loading.
	Ready bool `json:"ready"`
	// Draining reports whether the copy will be unloaded once its requests have
	// finished. A draining copy is not ready, but its memory is still committed.
	Draining bool `json:"draining,omitempty"`
}

// LoadReport is a backend server's report of its current load. Reports lag, get lost and
// arrive out of order; within an incarnation, the higher sequence is newer.
type LoadReport struct {
	Backend     BackendID `json:"backend"`
	Incarnation uint64    `json:"incarnation"`
	Sequence    uint64    `json:"sequence"`
	InFlight    int       `json:"in-flight"`
	Queued      int       `json:"queued"`
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence,omitempty"`
	// Loaded is the engine's inventory at the time of the report.
	Loaded []ModelCopy `json:"loaded,omitempty"`
	// Prefixes are hashes of cached prompt prefixes, most recent first; the list
	// may be incomplete.
	Prefixes []uint64 `json:"prefixes,omitempty"`
}

// Backend is the state that a VM keeps for one backend server.
type Backend struct {
	Announcement Announcement `json:"announcement"`
	Report       LoadReport   `json:"report"`
	// ReportedAt is when this VM received the report, by its own clock.
	ReportedAt time.Time `json:"reported-at"`
	Leaving    bool      `json:"leaving"`
	// Down reports whether the server's announcements have stopped.
	Down bool `json:"down"`
}

// AcceptsRequests reports whether new requests may be sent to the backend server.
func (b Backend) AcceptsRequests() bool { return !b.Leaving && !b.Down }

// Serves reports whether the backend server has a ready copy of the model.
func (b Backend) Serves(model ModelName) bool {
	for _, l := range b.Report.Loaded {
		if l.Model == model && l.Ready {
			return true
		}
	}
	return false
}

// Order asks an engine to load or unload one copy.
type Order struct {
	ID   OrderID   `json:"id"`
	Kind OrderKind `json:"kind"`
	// Fence is the fencing number of the zone lease that the order was issued under.
	Fence  uint64    `json:"fence"`
	Copy   ModelCopy `json:"copy"`
	Source string    `json:"source,omitempty"`
}

// OrderAnswer is an engine's answer to an order, with the inventory after the order.
type OrderAnswer struct {
	ID      OrderID      `json:"id"`
	Outcome OrderOutcome `json:"outcome"`
	Detail  string       `json:"detail,omitempty"`
	Fence   uint64       `json:"fence"`
	Loaded  []ModelCopy  `json:"loaded"`
}

// Inventory lists the copies and accelerators of an engine. Engines.Claim reads it
// atomically with raising the fencing number.
type Inventory struct {
	Backend      BackendID     `json:"backend"`
	Incarnation  uint64        `json:"incarnation"`
	Fence        uint64        `json:"fence"`
	Loaded       []ModelCopy   `json:"loaded"`
	Accelerators []Accelerator `json:"accelerators"`
}

// View is the immutable snapshot of control state that request handling reads. The
// control thread publishes a new one after each change.
type View struct {
	Self      VM        `json:"self"`
	Catalogue Catalogue `json:"catalogue"`
	// VMs are all known entry VMs, in any state and including Self.
	VMs []VM `json:"vms"`
	// Backends are all known backend servers, including those down or leaving.
	Backends []Backend `json:"backends"`
	// Demand is the newest demand per VM (including this one) and model.
	Demand []ModelDemand `json:"demand,omitempty"`
	// NotReady is the reason why the VM can't serve; empty if it can.
	NotReady string `json:"not-ready,omitempty"`
}

// ModelDemand is the demand for one model that one VM measured since the last view. It
// is an input of placement. Rates are per second.
type ModelDemand struct {
	Model ModelName `json:"model"`
	VM    VMID      `json:"vm"`
	// Sequence orders the demands of one VM; the higher is newer.
	Sequence          uint64  `json:"sequence"`
	RequestsPerSecond float64 `json:"requests-per-second"`
	PromptTokens      float64 `json:"prompt-tokens-per-second"`
	AnswerTokens      float64 `json:"answer-tokens-per-second"`
	// Refused is the rate of requests refused for lack of capacity.
	Refused float64 `json:"refused-per-second"`
	// ReadTime is the measured prefill time per prompt token of the model on an engine
	// with little other load; 0 if unknown.
	ReadTime Duration `json:"read-time,omitempty"`
	// InsideTarget is the fraction of requests answered within the targets of their class.
	InsideTarget float64 `json:"inside-target"`
}

// WithOwnsZone returns a copy of the VM with OwnsZone set.
func (v VM) WithOwnsZone(owns bool) VM {
	v.OwnsZone = owns
	return v
}

// AdapterUse reports how recently one VM used an adapter.
type AdapterUse struct {
	Model   ModelName   `json:"model"`
	Adapter AdapterName `json:"adapter"`
	// Idle is the time since the VM's last request for the adapter; 0 if one is running.
	Idle Duration `json:"idle"`
}

// AdapterRequest asks for an adapter to be loaded beside its model.
type AdapterRequest struct {
	Service ServiceName `json:"service"`
	Model   ModelName   `json:"model"`
	Adapter AdapterName `json:"adapter"`
	// Except are engines that the requesting VM can't use, since they are full or
	// unreachable from it.
	Except []BackendID `json:"except,omitempty"`
}

// GatewayReport is a gateway's periodic report to the director.
type GatewayReport struct {
	// Demand is included once per second.
	Demand []ModelDemand `json:"demand,omitempty"`
	// Adapters are the recently used adapters.
	Adapters []AdapterUse `json:"adapters,omitempty"`
	// Unreachable are backend servers that recently accepted no connection from this VM.
	Unreachable []BackendID `json:"unreachable,omitempty"`
	// Replaced are backend servers whose address another backend server now answers at.
	Replaced []BackendID `json:"replaced,omitempty"`
	// ReplacedStarts tell which starts of them; VMs of earlier builds send none.
	ReplacedStarts []BackendStart `json:"replaced-starts,omitempty"`
	// Leaving are backend servers that said in an answer that they leave, since the last report.
	Leaving []BackendStart `json:"leaving,omitempty"`
	// Outcomes count answers of the backend servers that failed requests since the last report.
	Outcomes []BackendOutcome `json:"outcomes,omitempty"`
	// Room is included twice per second, where slots are given by urgency.
	Room RoomReport `json:"room,omitzero"`
}

// BackendStart identifies one start of a backend server.
type BackendStart struct {
	Backend     BackendID `json:"backend"`
	Incarnation uint64    `json:"born,omitempty"`
}

// BackendOutcome counts the answers of a backend server to one VM.
type BackendOutcome struct {
	Backend     BackendID `json:"backend"`
	Incarnation uint64    `json:"born,omitempty"`
	// Failed counts errors that the server itself answered with, Answered all other
	// answers.
	Failed   int `json:"failed"`
	Answered int `json:"answered,omitempty"`
}

// IsZero reports whether the report is empty.
func (r GatewayReport) IsZero() bool {
	return len(r.Demand)+len(r.Adapters)+len(r.Unreachable)+len(r.Replaced)+len(r.Leaving)+len(r.Outcomes) == 0 && r.Room.IsZero()
}
