package laburnumlever

import (
	"slices"
	"time"
)

// The names that a catalogue gives.
type (
	// ModelName names a model, unique in the catalogue.
	ModelName string
	// AdapterName names an adapter, unique within its model.
	AdapterName string
	// ServiceName names a plain service, unique in the catalogue.
	ServiceName string
	// OwnerName names whoever answers for an entry and whose limits apply.
	OwnerName string
	// ClassName names a class of requests with shared targets.
	ClassName string
	// Version names one version of a model's weights.
	Version string
)

// Catalogue is the whole configuration that operators write. It is a value:
// never changed once built. Revision grows by one with every accepted change
// and is 0 before the first.
type Catalogue struct {
	Revision   uint64     `json:"revision"`
	Deployment Deployment `json:"deployment"`
	Owners     []Owner    `json:"owners"`
	Classes    []Class    `json:"classes"`
	Models     []Model    `json:"models"`
	Services   []Service  `json:"services"`
}

// Deployment holds what a user weighs and what its platform gives.
type Deployment struct {
	Name string `json:"name"`
	// Zones are all the deployment's availability zones.
	Zones []ZoneName `json:"zones"`
	// EntryVMs is how many entry VMs the deployment has at most. Each gets that
	// part of every limit, so that the sum holds also while zones are cut apart.
	// 0 means as many as a VM has ever known of, which a VM that starts while it
	// is cut off counts too low.
	EntryVMs int `json:"entry-vms,omitempty"`
	// MoveCost is the attainment, in requests inside their targets a second,
	// that one move must bring to be worth it. Higher means fewer moves.
	MoveCost float64 `json:"move-cost"`
	// WeightStore bounds the loads of all zones together.
	WeightStore WeightStore `json:"weight-store"`
}

// WeightStore is the rate-limited store that engines load weights from.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loads-per-second"`
	ParallelLoads  int     `json:"parallel-loads"`
}

// Owner answers for entries; its limits hold over all entry VMs together.
type Owner struct {
	Name   OwnerName `json:"name"`
	Limits Limits    `json:"limits"`
}

// Limits bound what an owner or an entry may use over all entry VMs. Zero in a
// field means that this field sets no bound.
type Limits struct {
	RequestsPerSecond float64 `json:"requests-per-second"`
	TokensPerSecond   float64 `json:"tokens-per-second"`
	InFlight          int     `json:"in-flight"`
	Queue             int     `json:"queue"`
}

// Class holds the targets that its requests are measured against.
type Class struct {
	Name         ClassName `json:"name"`
	Priority     Priority  `json:"priority"`
	FirstToken   Duration  `json:"first-token"`
	BetweenToken Duration  `json:"between-tokens"`
}

// Model is a catalogued model. Sizes are in MiB over all accelerators of a copy.
type Model struct {
	Name         ModelName `json:"name"`
	Owner        OwnerName `json:"owner"`
	Class        ClassName `json:"class"`
	Limits       Limits    `json:"limits"`
	Version      Version   `json:"version"`
	Versions     []Version `json:"versions"`
	WeightsMiB   int       `json:"weights-mib"`
	KVReserveMiB int       `json:"kv-reserve-mib"`
	// Accelerators is how many accelerators of one engine a copy is split
	// over, in equal parts; 0 means 1.
	Accelerators int       `json:"accelerators,omitempty"`
	Adapters     []Adapter `json:"adapters,omitempty"`
}

// Adapter is a small addition to a model's weights, loaded beside them.
type Adapter struct {
	Name    AdapterName `json:"name"`
	SizeMiB int         `json:"size-mib"`
}

// Service is a plain service with the calls that may not be repeated.
type Service struct {
	Name   ServiceName `json:"name"`
	Owner  OwnerName   `json:"owner"`
	Class  ClassName   `json:"class"`
	Limits Limits      `json:"limits"`
	// NonIdempotent lists the calls that run at most once; all others may be
	// repeated.
	NonIdempotent []Call `json:"non-idempotent"`
}

// Call matches requests to a plain service: the method, and every path that
// starts with the prefix.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path-prefix"`
}

// Duration is a time.Duration written as a string with a unit ("1.9s").
type Duration time.Duration

// WithRevision returns the catalogue under another revision.
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

// SizeMiB is the memory that one copy takes, adapters and KV reserve included.
func (m Model) SizeMiB() int {
	total := m.WeightsMiB + m.KVReserveMiB
	for _, a := range m.Adapters {
		total += a.SizeMiB
	}
	return total
}

// Span is the number of accelerators that a copy is split over.
func (m Model) Span() int { return max(1, m.Accelerators) }

// PartMiB is the memory that a copy takes on each of its accelerators.
func (m Model) PartMiB() int {
	span := m.Span()
	return (m.SizeMiB() + span - 1) / span
}

// IsNonIdempotent tells whether a call to the service may run at most once.
func (s Service) IsNonIdempotent(method, path string) bool {
	return slices.ContainsFunc(s.NonIdempotent, func(c Call) bool { return c.Matches(method, path) })
}

// Matches tells whether a request is this call.
func (c Call) Matches(method, path string) bool {
	return c.Method == method && len(path) >= len(c.PathPrefix) && path[:len(c.PathPrefix)] == c.PathPrefix
}

// String writes the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a duration with a unit; a bare number is an error of
// type *UnitError.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &UnitError{Value: string(text), Want: "a duration with a unit, such as \"1.9s\""}
	}
	*d = Duration(parsed)
	return nil
}
