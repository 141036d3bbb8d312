package laburnumplacement

import (
	"math"
	"time"

	"laburnumlever"
)

const (
	// riseTimeConstant smooths single bursts of a few seconds away: a load takes longer
	// than those last.
	riseTimeConstant = 15 * time.Second
	// fallTimeConstant makes a gap in the signals no reason to give anything up.
	fallTimeConstant = 2 * time.Minute
	// peakTimeConstant is how long a peak counts: demand that swings within an hour comes
	// back within about that time.
	peakTimeConstant = 30 * time.Minute
	// signalTTL is when a VM that sends nothing stops counting: its callers
	// have gone to other VMs by then, or it is cut off and serves them itself.
	signalTTL = 30 * time.Second
)

// Estimator makes one estimate for each model of what the VMs saw. The signals lag,
// some are missing, and they come in any order.
type Estimator struct {
	signals   map[signalKey]signal
	sequences map[laburnumlever.VMID]vmSequence
	models    map[laburnumlever.ModelName]Demand
	updatedAt time.Time
}

type signalKey struct {
	vm    laburnumlever.VMID
	model laburnumlever.ModelName
}

type signal struct {
	sequence   uint64
	rates      Rates
	receivedAt time.Time
}

// NewEstimator makes an estimator that has seen nothing.
func NewEstimator() *Estimator {
	return &Estimator{
		signals:   make(map[signalKey]signal),
		sequences: make(map[laburnumlever.VMID]vmSequence),
		models:    make(map[laburnumlever.ModelName]Demand),
	}
}

// Observe takes the newest signals and moves the estimates on to now.
func (e *Estimator) Observe(now time.Time, demand []laburnumlever.ModelDemand) {
	newest := make(map[laburnumlever.VMID]uint64)
	for _, d := range demand {
		newest[d.VM] = max(newest[d.VM], d.Sequence)
	}
	accepted := make(map[laburnumlever.VMID]bool, len(newest))
	for vm, sequence := range newest {
		accepted[vm] = e.accept(now, vm, sequence)
	}
	for _, d := range demand {
		if accepted[d.VM] && d.Sequence == newest[d.VM] {
			e.signals[signalKey{vm: d.VM, model: d.Model}] = signal{sequence: d.Sequence, rates: ratesOf(d), receivedAt: now}
		}
	}
	for key, s := range e.signals {
		if now.Sub(s.receivedAt) > signalTTL || s.sequence != e.sequences[key.vm].accepted {
			// The VM has gone silent, or its newest signal leaves the model out:
			// nobody asks for it there any more.
			delete(e.signals, key)
		}
	}
	sums := make(map[laburnumlever.ModelName]fixedPointRates, len(e.models))
	for key, s := range e.signals {
		sums[key.model] = sums[key.model].plus(s.rates)
	}
	totals := make(map[laburnumlever.ModelName]Rates, len(sums))
	for name, s := range sums {
		totals[name] = s.rates()
	}
	e.advance(now, totals)
}

// accept tells whether a VM's sequence is news. The view goes on showing the last signal
// of a VM that died, and a VM that restarted counts from 1 again: so after a silence a
// lower sequence is taken too, but only once it has been seen to grow.
func (e *Estimator) accept(now time.Time, vm laburnumlever.VMID, sequence uint64) bool {
	h := e.sequences[vm]
	increased := sequence > h.observed
	h.observed = sequence
	isNew := increased && (sequence > h.accepted || now.Sub(h.acceptedAt) > signalTTL)
	if isNew {
		h.accepted = sequence
		h.acceptedAt = now
	}
	e.sequences[vm] = h
	return isNew
}

// vmSequence is how far a VM's signals have come.
type vmSequence struct {
	observed, accepted uint64
	acceptedAt         time.Time
}

// rateResolution is the part of a request or token that sums are counted in.
const rateResolution = 1e-6

// fixedPointRates adds rates in whole units: the order of a map's keys differs from run to run,
// and sums of floats with it, and two owners must decide alike.
type fixedPointRates struct{ requests, promptTokens, answerTokens int64 }

func (s fixedPointRates) plus(r Rates) fixedPointRates {
	return fixedPointRates{
		requests:     s.requests + int64(r.Requests/rateResolution),
		promptTokens: s.promptTokens + int64(r.PromptTokens/rateResolution),
		answerTokens: s.answerTokens + int64(r.AnswerTokens/rateResolution),
	}
}

func (s fixedPointRates) rates() Rates {
	return Rates{
		Requests:     float64(s.requests) * rateResolution,
		PromptTokens: float64(s.promptTokens) * rateResolution,
		AnswerTokens: float64(s.answerTokens) * rateResolution,
	}
}

// Demand is the estimate for each model. It must not be changed.
func (e *Estimator) Demand() map[laburnumlever.ModelName]Demand { return e.models }

// ratesOf takes all that was asked, refused requests and their tokens included.
func ratesOf(d laburnumlever.ModelDemand) Rates {
	return Rates{Requests: d.RequestsPerSecond, PromptTokens: d.PromptTokens, AnswerTokens: d.AnswerTokens}
}

func (e *Estimator) advance(now time.Time, totals map[laburnumlever.ModelName]Rates) {
	elapsed := now.Sub(e.updatedAt)
	first := e.updatedAt.IsZero()
	e.updatedAt = now
	next := make(map[laburnumlever.ModelName]Demand, len(totals))
	for name, old := range e.models {
		if _, ok := totals[name]; !ok {
			totals[name] = Rates{}
		}
		next[name] = old
	}
	for name, total := range totals {
		d := next[name]
		if first {
			next[name] = Demand{Now: total, Hold: total}
			continue
		}
		d.Now = d.Now.smoothTowards(total, elapsed)
		d.Hold = d.Hold.scaledBy(math.Exp(-elapsed.Seconds() / peakTimeConstant.Seconds())).atLeast(d.Now)
		if d.Hold.Requests > 0 || total.Requests > 0 {
			next[name] = d
		}
	}
	e.models = next
}

func (r Rates) plus(other Rates) Rates {
	return Rates{
		Requests:     r.Requests + other.Requests,
		PromptTokens: r.PromptTokens + other.PromptTokens,
		AnswerTokens: r.AnswerTokens + other.AnswerTokens,
	}
}

func (r Rates) scaledBy(factor float64) Rates {
	return Rates{Requests: r.Requests * factor, PromptTokens: r.PromptTokens * factor, AnswerTokens: r.AnswerTokens * factor}
}

func (r Rates) atLeast(other Rates) Rates {
	return Rates{
		Requests:     max(r.Requests, other.Requests),
		PromptTokens: max(r.PromptTokens, other.PromptTokens),
		AnswerTokens: max(r.AnswerTokens, other.AnswerTokens),
	}
}

// smoothTowards moves the rates to the target by what has passed, faster up than down.
func (r Rates) smoothTowards(target Rates, elapsed time.Duration) Rates {
	timeConstant := fallTimeConstant
	if target.Requests > r.Requests {
		timeConstant = riseTimeConstant
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
	return r.scaledBy(1 - weight).plus(target.scaledBy(weight))
}
