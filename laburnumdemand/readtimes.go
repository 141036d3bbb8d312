package laburnumdemand

import (
	"slices"
	"time"

	"laburnumlever"
)

const (
	// maxSamples is how many prompts of a model the estimate looks back on: some
	// seconds of a model that many ask for.
	maxSamples = 32
	// minSamples is the least number of samples that tell something.
	minSamples = 4
	// readTimeQuantile of the samples are quicker than the estimate: most prompts wait for
	// others at their engine, and what is wanted is the model's own time.
	readTimeQuantile = 0.1
	// minPromptTokens is the least number of tokens of a prompt that is measured: a shorter
	// one says more of the network and of the engine's step than of the reading.
	minPromptTokens = 500
	// startOverhead is the time in which an answer begins without any reading: a step of
	// the engine and the way there and back.
	startOverhead = 7 * time.Millisecond
)

// Paces measures how long engines take to read a token of a prompt for each model.
// Models of one size on disk differ tenfold in that, engines do not tell it, and without
// it a quick model is given engines that a slow one needs.
type Paces map[laburnumlever.ModelName]*sampleRing

type sampleRing struct {
	samples []time.Duration
	next    int
	// estimate is worked out with each sample: requests that read it come more often.
	estimate time.Duration
}

// Add takes the time in which an answer latency after its prompt was sent, and the number
// of tokens that the engine had to read for it.
func (t Paces) Add(model laburnumlever.ModelName, latency time.Duration, tokens int) {
	if tokens < minPromptTokens {
		return
	}
	sample := max(0, latency-startOverhead) / time.Duration(tokens)
	r := t[model]
	if r == nil {
		r = &sampleRing{}
		t[model] = r
	}
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, sample)
	} else {
		r.samples[r.next] = sample
		r.next = (r.next + 1) % maxSamples
	}
	r.estimate = r.quantile()
}

// quantile is the estimate of the samples; 0 while they are too few.
func (r *sampleRing) quantile() time.Duration {
	if len(r.samples) < minSamples {
		return 0
	}
	sorted := slices.Clone(r.samples)
	slices.Sort(sorted)
	return max(1, sorted[int(readTimeQuantile*float64(len(sorted)))])
}

// Of is the model's time for a token where an engine has little else to do; 0 while it is
// not known.
func (t Paces) Of(model laburnumlever.ModelName) time.Duration {
	if r := t[model]; r != nil {
		return r.estimate
	}
	return 0
}
