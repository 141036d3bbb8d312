package laburnumplacement

import (
	"math"
	"time"

	"laburnumlever"
)

const (
	// riseTimeConstant smooths out bursts of a few seconds, which end before a load could finish.
	riseTimeConstant = 15 * time.Second
	// fallTimeConstant keeps copies through a short gap in the demand signals.
	fallTimeConstant = 2 * time.Minute
	// peakTimeConstant is the decay time of the peak demand: demand that changes within an hour
	// returns within about half an hour.
	peakTimeConstant = 30 * time.Minute
	// signalTTL is the age at which the signal of a silent VM expires: by then its callers have
	// moved to other VMs, or it is partitioned and serves them itself.
	signalTTL = 30 * time.Second
)

// Estimator estimates the demand for each model from the signals of all VMs. Signals may be
// delayed, lost or out of order.
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

// NewEstimator returns an Estimator without signals.
func NewEstimator() *Estimator {
	return &Estimator{
		signals:   make(map[signalKey]signal),
		sequences: make(map[laburnumlever.VMID]vmSequence),
		models:    make(map[laburnumlever.ModelName]Demand),
	}
}

// Observe records the newest signals and advances the estimates to now.
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
			// The VM is silent, or its newest signal leaves out the model: its callers no longer
			// ask for it.
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

// accept reports whether a VM's sequence number is new. The view keeps showing the last signal of a
// dead VM, and a VM that restarts counts from 1 again. So after signalTTL without a new signal a
// lower number is accepted too, once it increases.
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

// vmSequence holds the last sequence number observed from a VM and the last one accepted.
type vmSequence struct {
	observed, accepted uint64
	acceptedAt         time.Time
}

// rateResolution is the unit of fixedPointRates, in requests or tokens per second.
const rateResolution = 1e-6

// fixedPointRates adds up rates as integers. Map iteration order is random and float addition
// depends on the order, but owners with equal signals must reach equal decisions.
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

// Demand returns the estimate for each model. The caller must not modify it.
func (e *Estimator) Demand() map[laburnumlever.ModelName]Demand { return e.models }

// ratesOf returns the offered rates of a signal, including refused requests and their tokens.
func ratesOf(d laburnumlever.ModelDemand) Rates {
	return Rates{Requests: d.RequestsPerSecond, PromptTokens: d.PromptTokens, AnswerTokens: d.AnswerTokens}
}

// advance moves the estimates to now, given the total offered rates per model.
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
			next[name] = Demand{Now: total, Peak: total}
			continue
		}
		d.Now = d.Now.smoothTowards(total, elapsed)
		d.Peak = d.Peak.scaledBy(math.Exp(-elapsed.Seconds() / peakTimeConstant.Seconds())).atLeast(d.Now)
		if d.Peak.Requests > 0 || total.Requests > 0 {
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

// smoothTowards applies exponential smoothing over the elapsed time, with a shorter time constant
// for a rise than for a fall.
func (r Rates) smoothTowards(target Rates, elapsed time.Duration) Rates {
	timeConstant := fallTimeConstant
	if target.Requests > r.Requests {
		timeConstant = riseTimeConstant
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
	return r.scaledBy(1 - weight).plus(target.scaledBy(weight))
}
