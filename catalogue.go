package laburnumlever

import (
	"slices"
	"time"
)

// Names defined in a catalogue.
type (
	// ModelName names a model, unique in the catalogue.
	ModelName string
	// AdapterName names an adapter, unique within its model.
	AdapterName string
	// ServiceName names a plain service, unique in the catalogue.
	ServiceName string
	// OwnerName names the owner of an entry, whose limits apply to it.
	OwnerName string
	// ClassName names a class of requests with common latency targets.
	ClassName string
	// Version names one version of a model's weights.
	Version string
)

// Catalogue is the complete configuration that operators write. It is immutable.
// Revision increases by one with each accepted change and is 0 before the first.
type Catalogue struct {
	Revision   uint64     `json:"revision"`
	Deployment Deployment `json:"deployment"`
	Owners     []Owner    `json:"owners"`
	Classes    []Class    `json:"classes"`
	Models     []Model    `json:"models"`
	Services   []Service  `json:"services"`
}

// Deployment holds the settings and platform limits of one deployment.
type Deployment struct {
	Name string `json:"name"`
	// Zones are all the deployment's availability zones.
	Zones []ZoneName `json:"zones"`
	// EntryVMs is the maximum number of entry VMs. Each VM enforces its equal share of
	// every limit, so that the sum is kept even during a partition between zones.
	// 0 means the most VMs that a VM has ever seen; a VM that starts during a
	// partition undercounts.
	EntryVMs int `json:"entry-vms,omitempty"`
	// MoveCost is the minimum gain of one move, in additional requests per second
	// that meet their targets. Higher means fewer moves.
	MoveCost float64 `json:"move-cost"`
	// WeightStore limits the loads of all zones combined.
	WeightStore WeightStore `json:"weight-store"`
}

// WeightStore describes the limits of the store that engines load weights from.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loads-per-second"`
	ParallelLoads  int     `json:"parallel-loads"`
}

// Owner owns catalogue entries. Its limits apply to all entry VMs combined.
type Owner struct {
	Name   OwnerName `json:"name"`
	Limits Limits    `json:"limits"`
}

// Limits bound the usage of an owner or an entry over all entry VMs combined. A zero
// field sets no bound.
type Limits struct {
	RequestsPerSecond float64 `json:"requests-per-second"`
	TokensPerSecond   float64 `json:"tokens-per-second"`
	InFlight          int     `json:"in-flight"`
	Queue             int     `json:"queue"`
}

// Class holds the priority and latency targets of a class of requests.
type Class struct {
	Name         ClassName `json:"name"`
	Priority     Priority  `json:"priority"`
	FirstToken   Duration  `json:"first-token"`
	BetweenToken Duration  `json:"between-tokens"`
}

// Model is a model in the catalogue. Sizes are totals in MiB over all accelerators of a copy.
type Model struct {
	Name         ModelName `json:"name"`
	Owner        OwnerName `json:"owner"`
	Class        ClassName `json:"class"`
	Limits       Limits    `json:"limits"`
	Version      Version   `json:"version"`
	Versions     []Version `json:"versions"`
	WeightsMiB   int       `json:"weights-mib"`
	KVReserveMiB int       `json:"kv-reserve-mib"`
	// Accelerators is the number of accelerators of one engine that a copy is split
	// over in equal parts; 0 means 1.
	Accelerators int       `json:"accelerators,omitempty"`
	Adapters     []Adapter `json:"adapters,omitempty"`
}

// Adapter is a small addition to a model's weights, loaded beside them.
type Adapter struct {
	Name    AdapterName `json:"name"`
	SizeMiB int         `json:"size-mib"`
}

// Service is a plain service and the calls to it that must not be retried.
type Service struct {
	Name   ServiceName `json:"name"`
	Owner  OwnerName   `json:"owner"`
	Class  ClassName   `json:"class"`
	Limits Limits      `json:"limits"`
	// NonIdempotent lists the calls that run at most once; all others may be
	// retried.
	NonIdempotent []Call `json:"non-idempotent"`
}

// Call matches requests to a plain service by method and path prefix.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path-prefix"`
}

// Duration is a time.Duration written as a string with a unit ("1.9s").
type Duration time.Duration

// WithRevision returns a copy of the catalogue with the given revision.
func (c Catalogue) WithRevision(revision uint64) Catalogue {
	c.Revision = revision
	return c
}

// Model finds a model by name.
func (c Catalogue) Model(name ModelName) (Model, bool) {
	i := slices.IndexFunc(c.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return c.Models[i], true
}

// Service finds a plain service by name.
func (c Catalogue) Service(name ServiceName) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// Owner finds an owner by name.
func (c Catalogue) Owner(name OwnerName) (Owner, bool) {
	i := slices.IndexFunc(c.Owners, func(o Owner) bool { return o.Name == name })
	if i < 0 {
		return Owner{}, false
	}
	return c.Owners[i], true
}

// Class finds a class by name.
func (c Catalogue) Class(name ClassName) (Class, bool) {
	i := slices.IndexFunc(c.Classes, func(cl Class) bool { return cl.Name == name })
	if i < 0 {
		return Class{}, false
	}
	return c.Classes[i], true
}

// SizeMiB returns the memory of one copy in MiB, including adapters and KV reserve.
func (m Model) SizeMiB() int {
	total := m.WeightsMiB + m.KVReserveMiB
	for _, a := range m.Adapters {
		total += a.SizeMiB
	}
	return total
}

// Span returns the number of accelerators that a copy is split over.
func (m Model) Span() int { return max(1, m.Accelerators) }

// PartMiB returns the memory of a copy on each of its accelerators in MiB, rounded up.
func (m Model) PartMiB() int {
	span := m.Span()
	return (m.SizeMiB() + span - 1) / span
}

// IsNonIdempotent reports whether a call to the service may run at most once.
func (s Service) IsNonIdempotent(method, path string) bool {
	return slices.ContainsFunc(s.NonIdempotent, func(c Call) bool { return c.Matches(method, path) })
}

// Matches reports whether a request with this method and path matches the call.
func (c Call) Matches(method, path string) bool {
	return c.Method == method && len(path) >= len(c.PathPrefix) && path[:len(c.PathPrefix)] == c.PathPrefix
}

// String formats the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a duration with a unit. Anything else, such as a bare number, is
// a *UnitError.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &UnitError{Value: string(text), Want: "a duration with a unit, such as \"1.9s\""}
	}
	*d = Duration(parsed)
	return nil
}
