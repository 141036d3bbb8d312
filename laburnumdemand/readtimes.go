package laburnumdemand

import (
	"slices"
	"time"

	"laburnumlever"
)

const (
	// maxSamples is the number of latest prompts of a model that its estimate uses: those of some
	// seconds for a model in high demand.
	maxSamples = 32
	// minSamples is the least number of samples for an estimate.
	minSamples = 4
	// readTimeQuantile is the quantile of the samples that is the estimate. It is low because most
	// prompts wait for others at their engine, which must not count as read time.
	readTimeQuantile = 0.1
	// minPromptTokens is the least number of tokens that an engine must have read for a sample. The
	// time to the start of a shorter prompt's answer depends more on the network and on the
	// engine's step than on reading.
	minPromptTokens = 500
	// startOverhead is the time to the start of an answer without any reading: a step of the engine
	// and a network round trip.
	startOverhead = 7 * time.Millisecond
)

// ReadTimes measures how long engines take to read (prefill) a prompt token with each model. Engines
// do not report it. Models of the same size on disk differ tenfold in it, so that without it the
// placement leader would give a fast model engines that a slow one needs.
type ReadTimes map[laburnumlever.ModelName]*sampleRing

// sampleRing is a ring buffer of the latest samples of a model, per token.
type sampleRing struct {
	samples []time.Duration
	next    int
	// estimate is updated with each sample, since it is read more often than samples are added.
	estimate time.Duration
}

// Add adds a sample: the time from sending a prompt to the start of its answer, and the number of
// tokens that the engine had to read for it.
func (t ReadTimes) Add(model laburnumlever.ModelName, latency time.Duration, tokens int) {
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

// quantile returns the readTimeQuantile of the samples, or 0 if there are fewer than minSamples.
func (r *sampleRing) quantile() time.Duration {
	if len(r.samples) < minSamples {
		return 0
	}
	sorted := slices.Clone(r.samples)
	slices.Sort(sorted)
	return max(1, sorted[int(readTimeQuantile*float64(len(sorted)))])
}

// Of returns the model's read time of a token on an engine with little other load, or 0 if it is
// unknown.
func (t ReadTimes) Of(model laburnumlever.ModelName) time.Duration {
	if r := t[model]; r != nil {
		return r.estimate
	}
	return 0
}
