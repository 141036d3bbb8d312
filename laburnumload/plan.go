package laburnumload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

const (
	// seedStream is the PCG stream of the plan, so that other users of the same seed get
	// independent random numbers.
	seedStream = 0x6c6f6164
	// bytesPerToken is the usual length of a prompt token.
	bytesPerToken       = 4
	defaultCallers      = 20
	defaultMaxTokens    = 16
	defaultPromptTokens = 32
	// resendDelay is the time from a call's arrival to its resend.
	resendDelay = 20 * time.Millisecond
)

// Arrival is one planned request.
type Arrival struct {
	// At is relative to the start of the experiment.
	At     time.Duration
	Number int
	Entry  string
	Caller string

	Model     laburnumlever.ModelName
	Prompt    string
	MaxTokens int
	Stream    bool

	Service laburnumlever.ServiceName
	Method  string
	Path    string
	// Key is the idempotency key; a resend has the key of the call it repeats.
	Key    string
	Resend bool
}

// Plan generates the arrivals of an experiment, ordered by time. The same experiment
// gives the same plan, except that run, the id of the run, is the prefix of every
// idempotency key, since a key must not be reused in a later run.
func Plan(e Experiment, run string) []Arrival {
	p := &planner{experiment: e, runID: run, rng: rand.New(rand.NewPCG(e.Seed, seedStream))}
	if len(e.Trace) > 0 {
		p.planTrace()
	} else {
		p.planPhases()
	}
	slices.SortStableFunc(p.arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range p.arrivals {
		p.arrivals[i].Number = i
	}
	return p.arrivals
}

type planner struct {
	experiment Experiment
	runID      string
	rng        *rand.Rand
	arrivals   []Arrival
	count      int
}

func (p *planner) planTrace() {
	for _, recorded := range p.experiment.Trace {
		i := slices.IndexFunc(p.experiment.Mix, func(e Entry) bool { return e.Name == recorded.Entry })
		p.addArrival(time.Duration(recorded.At), p.experiment.Mix[i])
	}
}

func (p *planner) planPhases() {
	var start time.Duration
	for _, phase := range p.experiment.Phases {
		entries := p.entriesOf(phase)
		weights := make([]float64, len(entries))
		for i, entry := range entries {
			weights[i] = entry.Share
		}
		for _, at := range arrivalTimes(phase, p.rng) {
			p.addArrival(start+at, entries[p.pickWeighted(weights)])
		}
		start += time.Duration(phase.Duration)
	}
}

func (p *planner) entriesOf(phase Phase) []Entry {
	entries := slices.Clone(p.experiment.Mix)
	for _, share := range phase.Shares {
		for i := range entries {
			if entries[i].Name == share.Entry {
				entries[i].Share = share.Share
			}
		}
	}
	return entries
}

func (p *planner) addArrival(at time.Duration, entry Entry) {
	p.count++
	caller := p.pickWeighted(zipf(orDefault(entry.Callers, defaultCallers), entry.CallerSkew))
	arrival := Arrival{At: at, Entry: entry.Name, Caller: fmt.Sprintf("%s-%d", entry.Name, caller)}
	if entry.Service == "" {
		p.setModelRequest(&arrival, entry)
		p.arrivals = append(p.arrivals, arrival)
		return
	}
	arrival.Service, arrival.Method, arrival.Path = entry.Service, entry.Method, entry.Path
	if arrival.Method == "" {
		arrival.Method = http.MethodPost
	}
	arrival.Prompt = fmt.Sprintf("call %d of %s", p.count, arrival.Caller)
	if entry.Keyed {
		arrival.Key = fmt.Sprintf("%s-%s-%d", p.runID, entry.Name, p.count)
	}
	p.arrivals = append(p.arrivals, arrival)
	if entry.Keyed && p.rng.Float64() < entry.Resend {
		arrival.At += resendDelay
		arrival.Resend = true
		p.arrivals = append(p.arrivals, arrival)
	}
}

func (p *planner) setModelRequest(arrival *Arrival, entry Entry) {
	arrival.Model = entry.Models[p.pickWeighted(zipf(len(entry.Models), entry.ModelSkew))]
	arrival.MaxTokens = p.drawRange(entry.MaxTokens, defaultMaxTokens)
	arrival.Stream = entry.Stream
	prefix := promptText("context of "+arrival.Caller+" ", entry.PrefixTokens)
	body := promptText(fmt.Sprintf("request %d of %s ", p.count, arrival.Caller), p.drawRange(entry.PromptTokens, defaultPromptTokens))
	arrival.Prompt = prefix + body
}

// promptText repeats the text up to about the number of tokens.
func promptText(text string, tokens int) string {
	if tokens <= 0 {
		return ""
	}
	return strings.Repeat(text, max(1, tokens*bytesPerToken/len(text)))
}

func (p *planner) drawRange(r Range, fallback int) int {
	if r.Max <= 0 {
		return fallback
	}
	return r.Min + p.rng.IntN(max(1, r.Max-r.Min+1))
}

// pickWeighted returns a random index, weighted by weights.
func (p *planner) pickWeighted(weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	at := p.rng.Float64() * total
	for i, weight := range weights {
		at -= weight
		if at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// zipf returns n Zipf weights, the rank to the power of -skew.
func zipf(n int, skew float64) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -skew)
	}
	return weights
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}
