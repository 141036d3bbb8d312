package laburnumplacement

import (
	"math"
	"time"

	"laburnumlever"
)

const (
	// riseTime smooths single bursts of a few seconds away: a load takes longer
	// than those last.
	riseTime = 15 * time.Second
	// fallTime makes a gap in the signals no reason to give anything up.
	fallTime = 2 * time.Minute
	// holdTime is how long a peak counts: demand that swings within an hour comes
	// back within about that time.
	holdTime = 30 * time.Minute
	// forgetAfter is when a VM that sends nothing stops counting: its callers
	// have gone to other VMs by then, or it is cut off and serves them itself.
	forgetAfter = 30 * time.Second
)

// Estimator makes one estimate for each model of what the VMs saw. The signals lag,
// some are missing, and they come in any order.
type Estimator struct {
	seen   map[source]signal
	heard  map[laburnumlever.VMID]hearing
	models map[laburnumlever.ModelName]Demand
	at     time.Time
}

type source struct {
	vm    laburnumlever.VMID
	model laburnumlever.ModelName
}

type signal struct {
	sequence uint64
	rates    Rates
	at       time.Time
}

// NewEstimator makes an estimator that has seen nothing.
func NewEstimator() *Estimator {
	return &Estimator{
		seen:   make(map[source]signal),
		heard:  make(map[laburnumlever.VMID]hearing),
		models: make(map[laburnumlever.ModelName]Demand),
	}
}

// Observe takes the newest signals and moves the estimates on to now.
func (e *Estimator) Observe(now time.Time, demand []laburnumlever.ModelDemand) {
	newest := make(map[laburnumlever.VMID]uint64)
	for _, d := range demand {
		newest[d.VM] = max(newest[d.VM], d.Sequence)
	}
	taken := make(map[laburnumlever.VMID]bool, len(newest))
	for vm, sequence := range newest {
		taken[vm] = e.hear(now, vm, sequence)
	}
	for _, d := range demand {
		if taken[d.VM] && d.Sequence == newest[d.VM] {
			e.seen[source{vm: d.VM, model: d.Model}] = signal{sequence: d.Sequence, rates: ratesOf(d), at: now}
		}
	}
	for key, s := range e.seen {
		if now.Sub(s.at) > forgetAfter || s.sequence != e.heard[key.vm].taken {
			// The VM has gone silent, or its newest signal leaves the model out:
			// nobody asks for it there any more.
			delete(e.seen, key)
		}
	}
	sums := make(map[laburnumlever.ModelName]sum, len(e.models))
	for key, s := range e.seen {
		sums[key.model] = sums[key.model].plus(s.rates)
	}
	totals := make(map[laburnumlever.ModelName]Rates, len(sums))
	for name, s := range sums {
		totals[name] = s.rates()
	}
	e.move(now, totals)
}

// hear tells whether a VM's sequence is news. The view goes on showing the last signal
// of a VM that died, and a VM that restarted counts from 1 again: so after a silence a
// lower sequence is taken too, but only once it has been seen to grow.
func (e *Estimator) hear(now time.Time, vm laburnumlever.VMID, sequence uint64) bool {
	h := e.heard[vm]
	grows := sequence > h.shown
	h.shown = sequence
	news := grows && (sequence > h.taken || now.Sub(h.at) > forgetAfter)
	if news {
		h.taken = sequence
		h.at = now
	}
	e.heard[vm] = h
	return news
}

// hearing is how far a VM's signals have come.
type hearing struct {
	shown, taken uint64
	at           time.Time
}

// sumUnit is the part of a request or token that sums are counted in.
const sumUnit = 1e-6

// sum adds rates in whole units: the order of a map's keys differs from run to run,
// and sums of floats with it, and two owners must decide alike.
type sum struct{ requests, promptTokens, answerTokens int64 }

func (s sum) plus(r Rates) sum {
	return sum{
		requests:     s.requests + int64(r.Requests/sumUnit),
		promptTokens: s.promptTokens + int64(r.PromptTokens/sumUnit),
		answerTokens: s.answerTokens + int64(r.AnswerTokens/sumUnit),
	}
}

func (s sum) rates() Rates {
	return Rates{
		Requests:     float64(s.requests) * sumUnit,
		PromptTokens: float64(s.promptTokens) * sumUnit,
		AnswerTokens: float64(s.answerTokens) * sumUnit,
	}
}

// Demand is the estimate for each model. It must not be changed.
func (e *Estimator) Demand() map[laburnumlever.ModelName]Demand { return e.models }

// ratesOf takes all that was asked, refused requests and their tokens included.
func ratesOf(d laburnumlever.ModelDemand) Rates {
	return Rates{Requests: d.RequestsPerSecond, PromptTokens: d.PromptTokens, AnswerTokens: d.AnswerTokens}
}

func (e *Estimator) move(now time.Time, totals map[laburnumlever.ModelName]Rates) {
	passed := now.Sub(e.at)
	first := e.at.IsZero()
	e.at = now
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
		d.Now = d.Now.towards(total, passed)
		d.Hold = d.Hold.times(math.Exp(-passed.Seconds() / holdTime.Seconds())).atLeast(d.Now)
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

func (r Rates) times(by float64) Rates {
	return Rates{Requests: r.Requests * by, PromptTokens: r.PromptTokens * by, AnswerTokens: r.AnswerTokens * by}
}

func (r Rates) atLeast(other Rates) Rates {
	return Rates{
		Requests:     max(r.Requests, other.Requests),
		PromptTokens: max(r.PromptTokens, other.PromptTokens),
		AnswerTokens: max(r.AnswerTokens, other.AnswerTokens),
	}
}

// towards moves the rates to the target by what has passed, faster up than down.
func (r Rates) towards(target Rates, passed time.Duration) Rates {
	span := fallTime
	if target.Requests > r.Requests {
		span = riseTime
	}
	part := 1 - math.Exp(-passed.Seconds()/span.Seconds())
	return r.times(1 - part).plus(target.times(part))
}
