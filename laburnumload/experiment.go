package laburnumload

import (
	"fmt"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=Shape,Action -transform=kebab -trimprefix=Shape,Action -text -json -output=enums_gen.go

// Shape is how arrivals of one phase lie in time.
type Shape int

// The shapes of arrivals.
const (
	// ShapePoisson is many callers who know nothing of each other.
	ShapePoisson Shape = iota
	// ShapeBurst is groups that arrive at one instant, at random times.
	ShapeBurst
	// ShapeSteady is even gaps.
	ShapeSteady
)

// Action is something that is done to the system during an experiment.
type Action int

// The actions.
const (
	// ActionHTTP sends a request, for stand-ins with a control.
	ActionHTTP Action = iota
	// ActionKillVM ends an entry VM without a word.
	ActionKillVM
	// ActionStopVM tells an entry VM to stop in good order.
	ActionStopVM
	// ActionKillBackend ends a backend server without a word.
	ActionKillBackend
	// ActionSlowBackend makes a backend server answer slower, by a factor.
	ActionSlowBackend
	// ActionApply applies the catalogue again with a changed move cost, which is
	// a new revision for every VM.
	ActionApply
	// ActionCutZone freezes the links between the VMs of an availability zone and
	// all others, without a word to either side.
	ActionCutZone
	// ActionHealZone opens the links again.
	ActionHealZone
)

// Experiment is one load with what happens during it.
type Experiment struct {
	Name string `json:"name" required:"true"`
	// Seed makes the plan: the same seed asks the same at the same times.
	Seed   uint64  `json:"seed"`
	Phases []Phase `json:"phases" required:"true"`
	// Trace, if set, gives the arrivals in place of the phases' rates.
	Trace  []TraceEntry `json:"trace"`
	Mix    []Entry      `json:"mix" required:"true"`
	Events []Event      `json:"events"`
	// Timeout is how long a caller waits for an answer.
	Timeout laburnumlever.Duration `json:"timeout"`
}

// Phase is a time with one rate, or with a rate that moves to another.
type Phase struct {
	For               laburnumlever.Duration `json:"for" required:"true"`
	RequestsPerSecond float64                `json:"requests-per-second" required:"true"`
	// To is the rate at the end of the phase; 0 means that the rate stays.
	To    float64 `json:"to-requests-per-second"`
	Shape Shape   `json:"shape"`
	// BurstSize is how many arrive at once in bursts.
	BurstSize int `json:"burst-size"`
	// Shares replaces the shares of entries during the phase.
	Shares []Share `json:"shares"`
}

// Share is how much of the requests an entry gets.
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
	// Callers is how many there are; CallerSkew how unevenly they ask (0 evenly,
	// 1 as Zipf's law).
	Callers    int     `json:"callers"`
	CallerSkew float64 `json:"caller-skew"`

	Models []laburnumlever.ModelName `json:"models"`
	// ModelSkew is how unevenly the models are asked, the first the most.
	ModelSkew float64 `json:"model-skew"`
	// PromptTokens, PrefixTokens and MaxTokens are ranges, least and most; a prompt
	// starts with its caller's prefix, the same each time.
	PromptTokens Range `json:"prompt-tokens"`
	PrefixTokens int   `json:"prefix-tokens"`
	MaxTokens    Range `json:"max-tokens"`
	// Stream asks for the answer token by token.
	Stream bool `json:"stream"`

	Service laburnumlever.ServiceName `json:"service"`
	Method  string                    `json:"method"`
	Path    string                    `json:"path"`
	// Keyed gives each call an idempotency key. Resend is the share of calls that
	// are sent again through another VM, as by a caller who lost the answer.
	Keyed  bool    `json:"keyed"`
	Resend float64 `json:"resend"`
}

// Range is a number drawn evenly from Least to Most.
type Range struct {
	Least int `json:"least"`
	Most  int `json:"most"`
}

// Event is something that happens to the system at a time of the experiment.
type Event struct {
	At     laburnumlever.Duration `json:"at" required:"true"`
	Action Action                 `json:"action" required:"true"`
	// Name is the VM, backend server or availability zone of the action.
	Name string `json:"name"`
	// Factor is that of a slow backend server.
	Factor float64 `json:"factor"`
	Method string  `json:"method"`
	URL    string  `json:"url"`
	Body   string  `json:"body"`
}

const defaultTimeout = 30 * time.Second

// Load reads an experiment. All that is wrong is listed in one
// *ExperimentInvalidError.
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

// Duration is how long requests arrive.
func (e Experiment) Duration() time.Duration {
	var total time.Duration
	for _, phase := range e.Phases {
		total += time.Duration(phase.For)
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

// String names the action as an experiment file does, with its subject and time.
func (e Event) String() string {
	if e.Name == "" {
		return fmt.Sprintf("%s at %s", e.Action, e.At)
	}
	return fmt.Sprintf("%s %s at %s", e.Action, e.Name, e.At)
}
