package laburnumlever

import "slices"

// RouteName names a route, unique in its table.
type RouteName string

// RouteTable is the part of the catalogue that says where callers' requests go,
// on fleets whose callers name a host and a path instead of a model. It is a
// value: never changed once built. Of two tables the one with the higher version
// is in force.
type RouteTable struct {
	Version  uint64          `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []RoutedService `json:"services"`
	Callers  CallerLimits    `json:"callers"`
	// Document is the operators' own text, given back to them unchanged.
	Document []byte `json:"document,omitempty"`
}

// Route is where the requests for one host and path prefix go.
type Route struct {
	Name       RouteName   `json:"name"`
	Host       string      `json:"host"`
	PathPrefix string      `json:"path-prefix"`
	Kind       RequestKind `json:"kind"`
	// Timeout is the longest that a caller may be kept waiting.
	Timeout Duration `json:"timeout"`
	// Target is the latency within which an answer, or a stream's first event,
	// is on time; PauseTarget the same for the pause between two events.
	Target      Duration `json:"target"`
	PauseTarget Duration `json:"pause-target,omitempty"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `json:"priority"`
	// Split are the services that share the requests, by weight.
	Split []RouteShare `json:"split"`
	// MaxAttempts is how many backend servers one request may be sent to.
	MaxAttempts int `json:"max-attempts"`
	// Resumable tells that a broken stream may go on from a named event at
	// another backend server; such a request counts as idempotent.
	Resumable bool `json:"resumable,omitempty"`
	// PrefersPrefix tells that prompts of this route share parts that backend
	// servers cache.
	PrefersPrefix bool `json:"prefers-prefix,omitempty"`
}

// RouteShare is one service's part of a route.
type RouteShare struct {
	Service ServiceName `json:"service"`
	Weight  int         `json:"weight"`
}

// RoutedService is a group of equal backend servers that routes name.
type RoutedService struct {
	Name       ServiceName `json:"name"`
	HealthPath string      `json:"health-path,omitempty"`
	// MaxConnections is how many connections one backend server accepts from
	// all VMs together; 0 means no bound.
	MaxConnections int `json:"max-connections,omitempty"`
	// Engine describes model engines; nil for a plain service.
	Engine *EngineClass `json:"engine,omitempty"`
}

// EngineClass is what the model engines of one service can hold.
type EngineClass struct {
	Slots int `json:"slots"`
	// CacheTokens is the memory for running requests and cached prompts.
	CacheTokens int `json:"cache-tokens"`
	// WeightsMB is the memory for weights and adapters together, in MB.
	WeightsMB    float64 `json:"weights-mb"`
	AdapterSlots int     `json:"adapter-slots"`
	// LoadsPerSecond is what the weight store allows over all engines.
	LoadsPerSecond float64 `json:"loads-per-second"`
	// ReserveLimit is the longest time for which a place can be reserved; 0 where none can.
	ReserveLimit Duration        `json:"reserve-limit,omitempty"`
	Models       []ResidentClass `json:"models"`
}

// ResidentClass is what one model takes on an engine.
type ResidentClass struct {
	Name      ModelName `json:"name"`
	WeightsMB float64   `json:"weights-mb"`
	// StoreLoad is the time of a load from the weight store, DiskLoad from the
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

// Repeatable tells whether a request of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == KindIdempotent || r.Resumable }

// Model finds a model of the class by name.
func (c EngineClass) Model(name ModelName) (ResidentClass, bool) {
	i := slices.IndexFunc(c.Models, func(m ResidentClass) bool { return m.Name == name })
	if i < 0 {
		return ResidentClass{}, false
	}
	return c.Models[i], true
}
