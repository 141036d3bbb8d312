package laburnumlever

import "slices"

// RouteName names a route, unique in its table.
type RouteName string

// RouteTable maps hosts and path prefixes of callers' requests to services. It is the
// catalogue of fleets whose callers name a host and a path instead of a model. It is
// immutable. The table with the highest version is in effect.
type RouteTable struct {
	Version  uint64          `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []RoutedService `json:"services"`
	Callers  CallerLimits    `json:"callers"`
	// Accounts are the client accounts; without any, callers need no key. KeySalt is the salt of the hashes
	// of their keys.
	Accounts []Account `json:"accounts,omitempty"`
	KeySalt  []byte    `json:"key-salt,omitempty"`
	// Format is the TableFormat of the VM that decoded the operators' text.
	Format int `json:"format,omitempty"`
	// Document is the text that the operators sent, returned to them unchanged.
	Document []byte `json:"document,omitempty"`
}

// TableFormat is the format of route tables that VMs hand to each other decoded. What tables of format 0 lack is in
// Document: all but the version in those of EncodeDocument, the client accounts in those of builds that know none.
const TableFormat = 1

// RoutesDecoder decodes the operators' text of a route table. The same text always gives the same table.
type RoutesDecoder func(document []byte) (RouteTable, error)

// Route maps the requests for one host and path prefix to services.
type Route struct {
	Name       RouteName   `json:"name"`
	Host       string      `json:"host"`
	PathPrefix string      `json:"path-prefix"`
	Kind       RequestKind `json:"kind"`
	// Timeout is the longest time that a caller may wait.
	Timeout Duration `json:"timeout"`
	// Target is the latency target of an answer or of a stream's first event.
	// PauseTarget is the target for the pause between two events.
	Target      Duration `json:"target"`
	PauseTarget Duration `json:"pause-target,omitempty"`
	// Priority ranks routes; 0 is the highest priority.
	Priority int `json:"priority"`
	// Split lists the services that share the requests by weight.
	Split []RouteShare `json:"split"`
	// MaxAttempts is the maximum number of backend servers that one request is sent to.
	MaxAttempts int `json:"max-attempts"`
	// Resumable reports whether another backend server can resume a broken stream
	// after a given event; such a request counts as idempotent.
	Resumable bool `json:"resumable,omitempty"`
	// PrefersPrefix reports whether prompts of this route share parts that backend
	// servers cache.
	PrefersPrefix bool `json:"prefers-prefix,omitempty"`
	// Public reports whether callers need no key, even if there are client accounts.
	Public bool `json:"public,omitempty"`
}

// RouteShare is the weight of one service in a route.
type RouteShare struct {
	Service ServiceName `json:"service"`
	Weight  int         `json:"weight"`
}

// RoutedService is a group of interchangeable backend servers that routes refer to.
type RoutedService struct {
	Name       ServiceName `json:"name"`
	HealthPath string      `json:"health-path,omitempty"`
	// MaxConnections is the maximum number of connections that one backend server
	// accepts from all VMs combined; 0 means no bound.
	MaxConnections int `json:"max-connections,omitempty"`
	// Engine describes model engines; nil for a plain service.
	Engine *EngineClass `json:"engine,omitempty"`
}

// EngineClass describes the capacity of the model engines of one service.
type EngineClass struct {
	Slots int `json:"slots"`
	// CacheTokens is the memory for running requests and cached prompts, in tokens.
	CacheTokens int `json:"cache-tokens"`
	// WeightsMB is the memory for weights and adapters together, in MB.
	WeightsMB    float64 `json:"weights-mb"`
	AdapterSlots int     `json:"adapter-slots"`
	// LoadsPerSecond is the rate limit of the weight store over all engines.
	LoadsPerSecond float64 `json:"loads-per-second"`
	// ReserveLimit is the longest time for which a slot can be reserved; 0 if the engines
	// support no reservations.
	ReserveLimit Duration     `json:"reserve-limit,omitempty"`
	Models       []ModelClass `json:"models"`
}

// ModelClass describes the memory and load times of one model on an engine.
type ModelClass struct {
	Name      ModelName `json:"name"`
	WeightsMB float64   `json:"weights-mb"`
	// StoreLoad is the time to load the model from the weight store, DiskLoad from the
	// engine's own disk, MemoryLoad from its host memory.
	StoreLoad  Duration `json:"store-load"`
	DiskLoad   Duration `json:"disk-load"`
	MemoryLoad Duration `json:"memory-load"`
	Adapters   int      `json:"adapters"`
	AdapterMB  float64  `json:"adapter-mb"`
}

// CallerLimits bound what a caller may send; a zero field sets no bound.
type CallerLimits struct {
	HeaderBytes   int      `json:"header-bytes"`
	BodyBytes     int      `json:"body-bytes"`
	HeaderTimeout Duration `json:"header-timeout"`
	IdleTimeout   Duration `json:"idle-timeout"`
}

// Service finds a service by name.
func (t RouteTable) Service(name ServiceName) (RoutedService, bool) {
	i := slices.IndexFunc(t.Services, func(s RoutedService) bool { return s.Name == name })
	if i < 0 {
		return RoutedService{}, false
	}
	return t.Services[i], true
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == KindIdempotent || r.Resumable }

// Model finds a model of the class by name.
func (c EngineClass) Model(name ModelName) (ModelClass, bool) {
	i := slices.IndexFunc(c.Models, func(m ModelClass) bool { return m.Name == name })
	if i < 0 {
		return ModelClass{}, false
	}
	return c.Models[i], true
}
