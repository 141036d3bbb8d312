package laburnumload

import (
	"fmt"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=Shape,Action -transform=kebab -trimprefix=Shape,Action -text -json -output=enums_gen.go

// Shape is the distribution of a phase's arrivals over time.
type Shape int

// The shapes of arrivals.
const (
	// ShapePoisson is a Poisson process, as many independent callers make.
	ShapePoisson Shape = iota
	// ShapeBurst is groups of simultaneous arrivals at Poisson times.
	ShapeBurst
	// ShapeSteady is arrivals with even gaps.
	ShapeSteady
)

// Action is a fault or change that an experiment applies to the system.
type Action int

// The actions.
const (
	// ActionHTTP sends a request, such as one to a stand-in's control endpoint.
	ActionHTTP Action = iota
	// ActionKillVM ends an entry VM abruptly.
	ActionKillVM
	// ActionStopVM shuts an entry VM down gracefully.
	ActionStopVM
	// ActionKillBackend ends a backend server abruptly.
	ActionKillBackend
	// ActionSlowBackend slows a backend server's answers down by a factor.
	ActionSlowBackend
	// ActionApply applies the catalogue again with a changed move cost, which makes
	// a new revision for every VM.
	ActionApply
	// ActionCutZone freezes the links between the VMs of an availability zone and
	// all others; neither side sees its connections close.
	ActionCutZone
	// ActionHealZone opens the links again.
	ActionHealZone
)

// Experiment is a load profile with the events that happen during it.
type Experiment struct {
	Name string `json:"name" required:"true"`
	// Seed seeds the plan: the same seed gives the same requests at the same times.
	Seed   uint64  `json:"seed"`
	Phases []Phase `json:"phases" required:"true"`
	// Trace, if set, replaces the arrivals generated from the phases.
	Trace  []TraceEntry `json:"trace"`
	Mix    []Entry      `json:"mix" required:"true"`
	Events []Event      `json:"events"`
	// Timeout is how long a caller waits for an answer. The default is 30 s.
	Timeout laburnumlever.Duration `json:"timeout"`
}

// Phase is a part of an experiment with a constant rate or a linear ramp.
type Phase struct {
	Duration          laburnumlever.Duration `json:"for" required:"true"`
	RequestsPerSecond float64                `json:"requests-per-second" required:"true"`
	// EndRequestsPerSecond is the rate at the end of a ramp; 0 means a constant rate.
	EndRequestsPerSecond float64 `json:"to-requests-per-second"`
	Shape                Shape   `json:"shape"`
	// BurstSize is the number of requests in each burst of ShapeBurst.
	BurstSize int `json:"burst-size"`
	// Shares overrides the shares of mix entries during the phase.
	Shares []Share `json:"shares"`
}

// Share is the relative weight of a mix entry; shares need not add up to 1.
type Share struct {
	Entry string  `json:"entry" required:"true"`
	Share float64 `json:"share" required:"true"`
}

// TraceEntry is one recorded arrival.
type TraceEntry struct {
	At    laburnumlever.Duration `json:"at" required:"true"`
	Entry string                 `json:"entry" required:"true"`
}

// Entry is one kind of request in the mix: to models, or to a plain service.
type Entry struct {
	Name  string  `json:"name" required:"true"`
	Share float64 `json:"share" required:"true"`
	// Callers is the number of callers, 20 by default. CallerSkew is the exponent of the
	// Zipf distribution of requests over them: 0 is uniform.
	Callers    int     `json:"callers"`
	CallerSkew float64 `json:"caller-skew"`

	Models []laburnumlever.ModelName `json:"models"`
	// ModelSkew is the exponent of the Zipf distribution of requests over the models; the
	// first model gets the most.
	ModelSkew float64 `json:"model-skew"`
	// PromptTokens and MaxTokens are ranges. PrefixTokens is the length of the prefix with
	// which every prompt of a caller starts.
	PromptTokens Range `json:"prompt-tokens"`
	PrefixTokens int   `json:"prefix-tokens"`
	MaxTokens    Range `json:"max-tokens"`
	// Stream requests a streamed answer.
	Stream bool `json:"stream"`

	Service laburnumlever.ServiceName `json:"service"`
	Method  string                    `json:"method"`
	Path    string                    `json:"path"`
	// Keyed gives each call an idempotency key. Resend is the fraction of calls, 0 to 1,
	// that are sent a second time through the balancer, as by a caller that lost the
	// answer.
	Keyed  bool    `json:"keyed"`
	Resend float64 `json:"resend"`
}

// Range is a uniformly distributed number from Min to Max, inclusive.
type Range struct {
	Min int `json:"least"`
	Max int `json:"most"`
}

// Event is an action that is applied to the system at a time of the experiment.
type Event struct {
	At     laburnumlever.Duration `json:"at" required:"true"`
	Action Action                 `json:"action" required:"true"`
	// Name is the VM, backend server or availability zone that the action applies to.
	Name string `json:"name"`
	// Factor is the slowdown of ActionSlowBackend. Method, URL and Body are the request
	// of ActionHTTP.
	Factor float64 `json:"factor"`
	Method string  `json:"method"`
	URL    string  `json:"url"`
	Body   string  `json:"body"`
}

const defaultTimeout = 30 * time.Second

// Load reads an experiment file. Errors: *ExperimentInvalidError, which lists all faults.
func Load(path string) (Experiment, error) {
	experiment := Experiment{Timeout: laburnumlever.Duration(defaultTimeout)}
	faults := laburnumsettings.ReadFile(path, &experiment)
	if len(faults) == 0 {
		faults = experiment.check(path)
	}
	if len(faults) > 0 {
		return Experiment{}, &ExperimentInvalidError{Faults: faults}
	}
	return experiment, nil
}

// Duration is the total duration of the phases.
func (e Experiment) Duration() time.Duration {
	var total time.Duration
	for _, phase := range e.Phases {
		total += time.Duration(phase.Duration)
	}
	return total
}

func (e Experiment) check(path string) []laburnumlever.Fault {
	var faults []laburnumlever.Fault
	add := func(key, problem, want string) {
		faults = append(faults, laburnumlever.Fault{File: path, Line: 1, Key: key, Problem: problem, Want: want})
	}
	known := make(map[string]bool)
	for i, entry := range e.Mix {
		known[entry.Name] = true
		if (len(entry.Models) > 0) == (entry.Service != "") {
			add(fmt.Sprintf("mix[%d]", i), "has both or neither of models and service", "one of them")
		}
	}
	for i, phase := range e.Phases {
		for j, share := range phase.Shares {
			if !known[share.Entry] {
				add(fmt.Sprintf("phases[%d].shares[%d].entry", i, j), fmt.Sprintf("no entry is named %q", share.Entry), "a name in mix")
			}
		}
	}
	for i, arrival := range e.Trace {
		if !known[arrival.Entry] {
			add(fmt.Sprintf("trace[%d].entry", i), fmt.Sprintf("no entry is named %q", arrival.Entry), "a name in mix")
		}
	}
	return faults
}

// String formats the action by its name in experiment files, with its target and time.
func (e Event) String() string {
	if e.Name == "" {
		return fmt.Sprintf("%s at %s", e.Action, e.At)
	}
	return fmt.Sprintf("%s %s at %s", e.Action, e.Name, e.At)
}
