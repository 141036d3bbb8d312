package laburnumsimulation

import (
	"laburnumlever"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=EventKind -transform=kebab -trimprefix=Event -text -json -output=enums_gen.go

// EventKind is the kind of a scheduled event.
type EventKind int

// The kinds of events.
const (
	// EventShift moves demand by Places ranks in the list of models, gradually over For.
	EventShift EventKind = iota
	// EventBurst multiplies the request rate of a class, or of all classes, by Factor for For.
	EventBurst
	// EventCrash stops a Share of the engines for For. They restart with empty memory and keep what
	// is on disk.
	EventCrash
	// EventDark is EventCrash without connection resets: connections hang.
	EventDark
	// EventGone removes a Share of the engines for good.
	EventGone
	// EventDrain drains a Share of the engines; they leave once their answers are complete.
	EventDrain
	// EventSlow makes a Share of the engines Factor times slower for For.
	EventSlow
	// EventNoOrders leaves the fleet without a placement lease, so that no orders are sent, for
	// For.
	EventNoOrders
	// EventCrashingRequests has Count callers repeat a request of Class for For, each its own, that
	// crashes the engines that run it. They pause Every on average between two attempts.
	EventCrashingRequests
	// EventLostLinks has a Share of the gateways lose their links to all engines for For. Connections hang, or are refused if
	// Factor is set.
	EventLostLinks
	// EventBrittle has a Share of the engines fall over for three seconds, for For, whenever they reject more than
	// PerSecond requests in a second.
	EventBrittle
	// EventRest has a Share of the engines turn requests away for For and ask for rests of Factor seconds.
	EventRest
	// EventRelease restarts a Share of the engines as another software version, after For.
	EventRelease
	// EventLimit has a Share of the engines name a limit of PerSecond requests per second for For.
	EventLimit
)

// Scenario describes a fleet, its callers and the events of one day.
type Scenario struct {
	Name string `json:"name" required:"true"`
	// Length is how long callers send requests.
	Length  laburnumlever.Duration `json:"length" required:"true"`
	Zones   []Zone                 `json:"zones" required:"true"`
	Links   Links                  `json:"links"`
	Engines Engines                `json:"engines" required:"true"`
	Store   Store                  `json:"store" required:"true"`
	Models  Models                 `json:"models" required:"true"`
	Classes []Class                `json:"classes" required:"true"`
	Events  []Event                `json:"events"`
	Value   Value                  `json:"value"`
}

// Zone is an availability zone with its gateways. Engines are spread evenly over the zones.
type Zone struct {
	Name     laburnumlever.ZoneName `json:"name" required:"true"`
	Gateways int                    `json:"gateways" required:"true"`
	// Share is its share of all requests, relative to the sum over all zones.
	Share float64 `json:"share" required:"true"`
}

// Links holds one-way network delays.
type Links struct {
	// Near is the delay within a zone, Far between zones, Callers between a caller and a gateway.
	Near    laburnumlever.Duration `json:"near"`
	Far     laburnumlever.Duration `json:"far"`
	Callers laburnumlever.Duration `json:"callers"`
}

// Engines describes the model engines of the fleet.
type Engines struct {
	Count int `json:"count" required:"true"`
	// Slots is the number of requests that an engine runs at once, Queue the number that may wait
	// there.
	Slots int `json:"slots" required:"true"`
	Queue int `json:"queue"`
	// Step is the time of a decode step, which writes one token for every request in the batch;
	// StepPerSlot is added for each of these requests.
	Step        laburnumlever.Duration `json:"step" required:"true"`
	StepPerSlot laburnumlever.Duration `json:"step-per-slot"`
	// ReadTokensPerMS is the prefill rate in prompt tokens per millisecond.
	ReadTokensPerMS float64 `json:"read-tokens-per-ms" required:"true"`
	// ChunkTokens is the largest number of prompt tokens prefilled in one step.
	ChunkTokens int `json:"chunk-tokens"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `json:"event-tokens"`
	// CacheTokens is the KV cache memory for running requests, in tokens.
	CacheTokens  int     `json:"cache-tokens" required:"true"`
	WeightsMB    float64 `json:"weights-mb" required:"true"`
	HostMB       float64 `json:"host-mb"`
	DiskMB       float64 `json:"disk-mb"`
	AdapterSlots int     `json:"adapter-slots"`
	// Speeds are factors of the time that engines take: 2 is half as fast. Engines are assigned the
	// factors in turn.
	Speeds []float64 `json:"speeds"`
	// Heartbeat is the period of heartbeats.
	Heartbeat laburnumlever.Duration `json:"heartbeat"`
}

// Store is the weight store.
type Store struct {
	LoadsPerSecond float64 `json:"loads-per-second" required:"true"`
	// FullSpeed is the number of parallel loads that run at full speed; 0 is no limit.
	FullSpeed int `json:"full-speed"`
}

// Models describes the catalogue. Models are ordered by demand at the start of the day.
type Models struct {
	Count int `json:"count" required:"true"`
	// Kinds are assigned to models in turn.
	Kinds []ModelKind `json:"kinds" required:"true"`
}

// ModelKind holds the properties that models of a kind share.
type ModelKind struct {
	WeightsMB  float64                `json:"weights-mb" required:"true"`
	StoreLoad  laburnumlever.Duration `json:"store-load" required:"true"`
	DiskLoad   laburnumlever.Duration `json:"disk-load" required:"true"`
	MemoryLoad laburnumlever.Duration `json:"memory-load" required:"true"`
	// Pace is a factor of the prefill time; 0 means 1.
	Pace        float64                `json:"pace"`
	Adapters    int                    `json:"adapters"`
	AdapterMB   float64                `json:"adapter-mb"`
	AdapterLoad laburnumlever.Duration `json:"adapter-load"`
}

// Class is a class of requests.
type Class struct {
	Name      string  `json:"name" required:"true"`
	PerSecond float64 `json:"per-second" required:"true"`
	// Worth is the value of an answer on time, LateWorth that of a late answer.
	Worth     float64 `json:"worth" required:"true"`
	LateWorth float64 `json:"late-worth"`
	// Target is the time to the first event, PauseTarget that between two.
	Target      laburnumlever.Duration `json:"target" required:"true"`
	PauseTarget laburnumlever.Duration `json:"pause-target" required:"true"`
	Timeout     laburnumlever.Duration `json:"timeout" required:"true"`
	// Priority ranks classes; 0 is the most urgent.
	Priority int `json:"priority"`
	// Attempts is how many engines one request may be sent to, Retries how often a caller
	// comes back.
	Attempts  int  `json:"attempts"`
	Retries   int  `json:"retries"`
	Resumable bool `json:"resumable"`
	// From and To are the first and the last model that it asks for, by their order; Active is
	// how many of them are asked for at a time, all where it is 0.
	From   int `json:"from"`
	To     int `json:"to" required:"true"`
	Active int `json:"active"`
	// Skew is the exponent of the Zipf distribution of demand over models: 0 is uniform.
	Skew float64 `json:"skew"`
	// SharedTokens holds the lengths of prompt parts that requests share, SharedKinds the number of
	// variants of each.
	SharedTokens []int `json:"shared-tokens"`
	SharedKinds  []int `json:"shared-kinds"`
	Prompt       Size  `json:"prompt"`
	Answer       Size  `json:"answer"`
	// AdapterShare is the share of requests that use an adapter, if the model has any.
	AdapterShare float64 `json:"adapter-share"`
}

// Size is a log-normal distribution of a number of tokens, cut off at Most unless that is 0.
type Size struct {
	Mean float64 `json:"mean" required:"true"`
	// Spread is the standard deviation of the logarithm.
	Spread float64 `json:"spread"`
	Most   float64 `json:"most"`
}

// Event is an event of the day. Which other fields apply depends on Kind.
type Event struct {
	At     laburnumlever.Duration `json:"at" required:"true"`
	Kind   EventKind              `json:"kind" required:"true"`
	For    laburnumlever.Duration `json:"for"`
	Class  string                 `json:"class"`
	Share  float64                `json:"share"`
	Factor float64                `json:"factor"`
	Places int                    `json:"places"`
	Count  int                    `json:"count"`
	Every  laburnumlever.Duration `json:"every"`
	// PerSecond is a number of requests per second.
	PerSecond float64 `json:"per-second"`
}

// Value holds the weights of the score of a day.
type Value struct {
	Day          float64 `json:"day"`
	WorstWindows float64 `json:"worst-windows"`
	WorstClass   float64 `json:"worst-class"`
	WorstZone    float64 `json:"worst-zone"`
	// LateRefusal is subtracted for late refusals, in proportion to the worth of the refused
	// requests; Load for each load of weights per 1000 requests.
	LateRefusal float64 `json:"late-refusal"`
	Load        float64 `json:"load"`
}

// WithEngines returns the scenario with another number of engines.
func (s Scenario) WithEngines(n int) Scenario {
	s.Engines.Count = n
	return s
}
