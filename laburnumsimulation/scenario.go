package laburnumsimulation

import (
	"laburnumlever"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=EventKind -transform=kebab -trimprefix=Event -text -json -output=enums_gen.go

// EventKind is something that happens during a day.
type EventKind int

// The kinds of events.
const (
	// EventShift moves demand on by Places in the list of models over For.
	EventShift EventKind = iota
	// EventBurst multiplies the requests of a class, or of all, by Factor for For.
	EventBurst
	// EventCrash stops a Share of the engines for For; they start again empty, with what is on
	// their disk.
	EventCrash
	// EventDark is EventCrash without a reset: connections hang.
	EventDark
	// EventGone takes a Share of the engines away for good.
	EventGone
	// EventDrain has a Share of the engines leave in good order.
	EventDrain
	// EventSlow makes a Share of the engines Factor times slower for For.
	EventSlow
	// EventNoOrders leaves the fleet without a director for For.
	EventNoOrders
)

// Scenario is a fleet, its callers and what happens on one day.
type Scenario struct {
	Name string `json:"name" required:"true"`
	// Length is how long callers ask.
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
	// Share is its part of all callers.
	Share float64 `json:"share" required:"true"`
}

// Links are the delays one way.
type Links struct {
	// Near is within a zone, Far between two, Callers to a gateway.
	Near    laburnumlever.Duration `json:"near"`
	Far     laburnumlever.Duration `json:"far"`
	Callers laburnumlever.Duration `json:"callers"`
}

// Engines are the model engines of the fleet.
type Engines struct {
	Count int `json:"count" required:"true"`
	// Slots is how many requests an engine runs at once, Queue how many more wait there.
	Slots int `json:"slots" required:"true"`
	Queue int `json:"queue"`
	// Step is the time of one token for all requests in the batch, StepPerSlot what each of
	// them adds.
	Step        laburnumlever.Duration `json:"step" required:"true"`
	StepPerSlot laburnumlever.Duration `json:"step-per-slot"`
	// ReadTokensPerMS is how many tokens of prompts are read in a millisecond.
	ReadTokensPerMS float64 `json:"read-tokens-per-ms" required:"true"`
	// ChunkTokens is how much of the prompts is read in one step.
	ChunkTokens int `json:"chunk-tokens"`
	// EventTokens is how many tokens an event of a stream holds.
	EventTokens int `json:"event-tokens"`
	// CacheTokens is the memory for running requests.
	CacheTokens  int     `json:"cache-tokens" required:"true"`
	WeightsMB    float64 `json:"weights-mb" required:"true"`
	HostMB       float64 `json:"host-mb"`
	DiskMB       float64 `json:"disk-mb"`
	AdapterSlots int     `json:"adapter-slots"`
	// Speeds are factors of the time that engines take; they take turns.
	Speeds []float64 `json:"speeds"`
	// Heartbeat is the period of their announcements.
	Heartbeat laburnumlever.Duration `json:"heartbeat"`
}

// Store is the weight store.
type Store struct {
	LoadsPerSecond float64 `json:"loads-per-second" required:"true"`
	// FullSpeed is how many loads at once are not slowed.
	FullSpeed int `json:"full-speed"`
}

// Models are those of the catalogue, in the order of their demand at the start.
type Models struct {
	Count int `json:"count" required:"true"`
	// Kinds take turns.
	Kinds []ModelKind `json:"kinds" required:"true"`
}

// ModelKind is what models of one kind have in common.
type ModelKind struct {
	WeightsMB  float64                `json:"weights-mb" required:"true"`
	StoreLoad  laburnumlever.Duration `json:"store-load" required:"true"`
	DiskLoad   laburnumlever.Duration `json:"disk-load" required:"true"`
	MemoryLoad laburnumlever.Duration `json:"memory-load" required:"true"`
	// Pace is a factor of the time to read prompts.
	Pace        float64                `json:"pace"`
	Adapters    int                    `json:"adapters"`
	AdapterMB   float64                `json:"adapter-mb"`
	AdapterLoad laburnumlever.Duration `json:"adapter-load"`
}

// Class is one kind of request.
type Class struct {
	Name      string  `json:"name" required:"true"`
	PerSecond float64 `json:"per-second" required:"true"`
	// Worth is that of an answer on time, LateWorth that of a later one.
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
	// Skew is how unevenly models are asked for: 0 evenly, 1 as Zipf's law.
	Skew float64 `json:"skew"`
	// SharedTokens are the lengths of the parts of a prompt that many requests share, each with
	// SharedKinds variants.
	SharedTokens []int `json:"shared-tokens"`
	SharedKinds  []int `json:"shared-kinds"`
	Prompt       Size  `json:"prompt"`
	Answer       Size  `json:"answer"`
	// AdapterShare is the part of the requests that use an adapter, where the model has any.
	AdapterShare float64 `json:"adapter-share"`
}

// Size is a number of tokens, distributed log-normally.
type Size struct {
	Mean float64 `json:"mean" required:"true"`
	// Spread is the standard deviation of the logarithm.
	Spread float64 `json:"spread"`
	Most   float64 `json:"most"`
}

// Event is something that happens.
type Event struct {
	At     laburnumlever.Duration `json:"at" required:"true"`
	Kind   EventKind              `json:"kind" required:"true"`
	For    laburnumlever.Duration `json:"for"`
	Class  string                 `json:"class"`
	Share  float64                `json:"share"`
	Factor float64                `json:"factor"`
	Places int                    `json:"places"`
}

// Value is what counts, as weights of shares of the worth that is owed.
type Value struct {
	Day          float64 `json:"day"`
	WorstWindows float64 `json:"worst-windows"`
	WorstClass   float64 `json:"worst-class"`
	WorstZone    float64 `json:"worst-zone"`
	// LateRefusal is taken off for the worth of requests that were refused late, Load for each
	// load of weights a thousand requests.
	LateRefusal float64 `json:"late-refusal"`
	Load        float64 `json:"load"`
}

// WithEngines returns the scenario with another number of engines.
func (s Scenario) WithEngines(n int) Scenario {
	s.Engines.Count = n
	return s
}
