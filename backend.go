package laburnumlever

import "time"

// Identities in the fleet.
type (
	// VMID names an entry VM; its settings give it.
	VMID string
	// ZoneName names an availability zone.
	ZoneName string
	// RegionName names a region, a group of availability zones.
	RegionName string
	// BackendID names a backend server; it gives its own.
	BackendID string
	// AcceleratorID names an accelerator within its engine.
	AcceleratorID string
	// OrderID names one order to an engine, unique for all time.
	OrderID string
)

// VM is an entry VM as the others know it. Of two values for one id, the one
// with the higher incarnation is newer.
type VM struct {
	ID          VMID       `json:"id"`
	Zone        ZoneName   `json:"zone"`
	Region      RegionName `json:"region,omitempty"`
	PeerAddress string     `json:"peer-address"`
	// CallerAddress is where callers reach the VM.
	CallerAddress string `json:"caller-address,omitempty"`
	// HasDisk tells that the VM has a data folder and so can be a voter.
	HasDisk bool `json:"has-disk,omitempty"`
	// OwnsZone tells that the VM holds a zone's placement lease, so that the
	// others send it their demand.
	OwnsZone    bool    `json:"owns-zone,omitempty"`
	Incarnation uint64  `json:"incarnation"`
	State       VMState `json:"state"`
}

// Accelerator is one accelerator of an engine.
type Accelerator struct {
	ID        AcceleratorID `json:"id"`
	MemoryMiB int           `json:"memory-mib"`
}

// Announcement is what a backend server says of itself, to any entry VM, when it
// starts and at intervals.
type Announcement struct {
	Backend BackendID   `json:"backend"`
	Kind    BackendKind `json:"kind"`
	Zone    ZoneName    `json:"zone"`
	// Address is the IP and port where it takes requests and orders over HTTP.
	Address string `json:"address"`
	// Incarnation grows at each start of the backend server.
	Incarnation uint64 `json:"incarnation"`
	// Service is the plain service that it runs; empty for an engine.
	Service ServiceName `json:"service,omitempty"`
	// Accelerators of an engine; empty for a plain service.
	Accelerators []Accelerator `json:"accelerators,omitempty"`
	// ChecksFencing tells that the engine refuses orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks-fencing,omitempty"`
	// Slots is how many requests it works on at once.
	Slots int `json:"slots"`
	// PrefillTokensPerSecond is the rate for prompts, of the whole server.
	PrefillTokensPerSecond float64 `json:"prefill-tokens-per-second,omitempty"`
	// TokensPerSecond is the rate for generation, of the whole server.
	TokensPerSecond float64 `json:"tokens-per-second,omitempty"`
	// CanResume tells that the engine can resume a broken stream.
	CanResume bool `json:"can-resume,omitempty"`
}

// Loaded is a copy of a model, with all of its adapters, that an engine holds.
type Loaded struct {
	Model        ModelName       `json:"model"`
	Version      Version         `json:"version"`
	Adapters     []AdapterName   `json:"adapters,omitempty"`
	Accelerators []AcceleratorID `json:"accelerators"`
	// PartMiB is committed on each of the accelerators.
	PartMiB int `json:"part-mib"`
	// Ready tells that the copy takes requests; a copy still loading does not.
	Ready bool `json:"ready"`
	// Draining tells that the copy goes once its requests have finished; it is
	// not ready then, but its memory is still committed.
	Draining bool `json:"draining,omitempty"`
}

// LoadReport is what a backend server says of its load. Reports lag, get lost and
// arrive out of order; the higher sequence of an incarnation is the newer.
type LoadReport struct {
	Backend     BackendID `json:"backend"`
	Incarnation uint64    `json:"incarnation"`
	Sequence    uint64    `json:"sequence"`
	InFlight    int       `json:"in-flight"`
	Queued      int       `json:"queued"`
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence,omitempty"`
	// Loaded is the engine's inventory at the time of the report.
	Loaded []Loaded `json:"loaded,omitempty"`
	// Prefixes are the hashes of prompt prefixes now cached, most recent first
	// and not complete.
	Prefixes []uint64 `json:"prefixes,omitempty"`
}

// Backend is all that a VM holds of one backend server.
type Backend struct {
	Announcement Announcement `json:"announcement"`
	Report       LoadReport   `json:"report"`
	// ReportedAt is when this VM learned the report, on its own clock.
	ReportedAt time.Time `json:"reported-at"`
	Leaving    bool      `json:"leaving"`
	// Down tells that its announcements have stopped.
	Down bool `json:"down"`
}

// AcceptsRequests tells whether new work may be sent to the backend server.
func (b Backend) AcceptsRequests() bool { return !b.Leaving && !b.Down }

// Serves tells whether the backend server holds a ready copy of the model.
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
	// Fence is the fencing number of the zone lease that the order was made under.
	Fence  uint64 `json:"fence"`
	Copy   Loaded `json:"copy"`
	Source string `json:"source,omitempty"`
}

// OrderAnswer is an engine's answer to an order, with its inventory after it.
type OrderAnswer struct {
	ID      OrderID      `json:"id"`
	Outcome OrderOutcome `json:"outcome"`
	Detail  string       `json:"detail,omitempty"`
	Fence   uint64       `json:"fence"`
	Loaded  []Loaded     `json:"loaded"`
}

// Inventory is what an engine holds, read in the same step as a claim.
type Inventory struct {
	Backend      BackendID     `json:"backend"`
	Incarnation  uint64        `json:"incarnation"`
	Fence        uint64        `json:"fence"`
	Loaded       []Loaded      `json:"loaded"`
	Accelerators []Accelerator `json:"accelerators"`
}

// View is the immutable snapshot that traffic reads. The control thread
// publishes a new one after each change.
type View struct {
	Self      VM        `json:"self"`
	Catalogue Catalogue `json:"catalogue"`
	// VMs are the entry VMs known, whatever their state, Self included.
	VMs []VM `json:"vms"`
	// Backends are the backend servers known, those down or leaving included.
	Backends []Backend `json:"backends"`
	// Demand is the newest from each VM, this one included, for each model.
	Demand []ModelDemand `json:"demand,omitempty"`
	// NotReady is empty when the VM may serve, else the reason why not.
	NotReady string `json:"not-ready,omitempty"`
}

// ModelDemand is what one VM saw callers ask of one model since the last view,
// for placement. Rates are a second.
type ModelDemand struct {
	Model ModelName `json:"model"`
	VM    VMID      `json:"vm"`
	// Sequence orders the demands of one VM; the higher is the newer.
	Sequence          uint64  `json:"sequence"`
	RequestsPerSecond float64 `json:"requests-per-second"`
	PromptTokens      float64 `json:"prompt-tokens-per-second"`
	AnswerTokens      float64 `json:"answer-tokens-per-second"`
	// Refused counts those turned away for want of capacity, a second.
	Refused float64 `json:"refused-per-second"`
	// ReadTime is the time that an engine takes to read a token of a prompt for the model
	// where it has little else to do, as measured; 0 while it is not known.
	ReadTime Duration `json:"read-time,omitempty"`
	// InsideTarget is the share answered inside their class's targets.
	InsideTarget float64 `json:"inside-target"`
}

// WithOwnsZone returns the VM as the holder, or not, of its zone's lease.
func (v VM) WithOwnsZone(owns bool) VM {
	v.OwnsZone = owns
	return v
}

// AdapterUse is what one VM knows of an adapter's use.
type AdapterUse struct {
	Model   ModelName   `json:"model"`
	Adapter AdapterName `json:"adapter"`
	// Idle is how long no request of the VM has used it; 0 while one does.
	Idle Duration `json:"idle"`
}

// AdapterNeed asks for an adapter to be loaded beside its model.
type AdapterNeed struct {
	Service ServiceName `json:"service"`
	Model   ModelName   `json:"model"`
	Adapter AdapterName `json:"adapter"`
	// Except are engines of no use to the VM that asks: full, or out of its reach.
	Except []BackendID `json:"except,omitempty"`
}

// GatewayNews is a gateway's report to the director.
type GatewayNews struct {
	// Demand is there once a second.
	Demand []ModelDemand `json:"demand,omitempty"`
	// Adapters are those used lately.
	Adapters []AdapterUse `json:"adapters,omitempty"`
	// Unreachable are backend servers that lately took no connection of this VM.
	Unreachable []BackendID `json:"unreachable,omitempty"`
	// Replaced are backend servers at whose address another answered.
	Replaced []BackendID `json:"replaced,omitempty"`
	// Outcomes are those of backend servers with failures since the last report.
	Outcomes []BackendOutcome `json:"outcomes,omitempty"`
}

// BackendOutcome counts the answers of a backend server to one VM.
type BackendOutcome struct {
	Backend BackendID `json:"backend"`
	// Failed are errors that the server answered itself, Answered are all others.
	Failed   int `json:"failed"`
	Answered int `json:"answered,omitempty"`
}

// IsZero tells whether there is nothing to tell.
func (n GatewayNews) IsZero() bool {
	return len(n.Demand)+len(n.Adapters)+len(n.Unreachable)+len(n.Replaced)+len(n.Outcomes) == 0
}
