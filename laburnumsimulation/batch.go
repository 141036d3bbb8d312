package laburnumsimulation

import (
	"math"
	"slices"
	"time"

	"laburnumlever"
)

// run is the execution of one request on an engine.
type run struct {
	attempt *attempt
	engine  laburnumlever.BackendID
	urgency int
	// uncachedTokens is the part of the prompt that needs prefill, answerTokens the length of the
	// answer, written the part of the answer that was written before the run last started or
	// resumed, here or elsewhere.
	uncachedTokens, answerTokens, written int
	// prefillLeft is the number of tokens that still need prefill.
	prefillLeft int
	// startStep is the step at which its answer started or resumed, pause the longest time between
	// two events so far.
	startStep  float64
	eventIndex int
	stall      time.Duration
	pause      time.Duration
	lastEvent  time.Time
	started    bool
	finished   bool
}

// batch models continuous batching on an engine. Each step writes one token of every running answer
// and prefills a chunk of the prompts of new requests.
type batch struct {
	engine        *engine
	steps         float64
	updatedAt     time.Time
	running       []*run // requests whose answers are being written
	prefilling    []*run // requests whose prompts need prefill, in order
	prefillActive bool   // a prefill step is running, until prefillEnd
	prefillEnd    time.Time
	waiting       []*run
	generation    int // incremented by each change, so that outdated timers are ignored
}

// size returns the number of requests that occupy a slot.
func (b *batch) size() int { return len(b.running) + len(b.prefilling) }

// stepTime returns the duration of one decode step.
func (b *batch) stepTime() time.Duration {
	e := b.engine.sim.scenario.Engines
	return b.engine.scaledTime(time.Duration(e.Step) + time.Duration(len(b.running))*time.Duration(e.StepPerSlot))
}

// advance updates the step counter to the current time.
func (b *batch) advance() {
	b.steps = b.stepsNow()
	b.updatedAt = b.engine.sim.now()
}

// stepsNow returns the number of steps completed by now, with a fraction for the current one.
func (b *batch) stepsNow() float64 {
	if b.prefillActive || len(b.running) == 0 {
		return b.steps
	}
	return b.steps + float64(b.engine.sim.now().Sub(b.updatedAt))/float64(b.stepTime())
}

// add assigns a slot to a request; prefill of its prompt starts in turn.
func (b *batch) add(r *run) {
	b.advance()
	r.prefillLeft = r.uncachedTokens + r.written
	b.prefilling = append(b.prefilling, r)
	b.scheduleNext()
}

// scheduleNext starts a prefill step if one is needed and none is running, and sets a timer for the
// next event.
func (b *batch) scheduleNext() {
	if !b.prefillActive && len(b.prefilling) > 0 {
		b.startPrefill()
	}
	b.generation++
	generation := b.generation
	wait, ok := b.untilNext()
	if !ok {
		return
	}
	b.engine.sim.after(wait, func() {
		if b.generation == generation {
			b.processDue()
		}
	})
}

// startPrefill starts a step that prefills a chunk of prompts. Every running answer gets one token
// in it, later than in a step without prefill.
func (b *batch) startPrefill() {
	sim := b.engine.sim
	left := sim.scenario.Engines.ChunkTokens
	var span time.Duration
	for _, r := range b.prefilling {
		tokens := min(left, r.prefillLeft)
		r.prefillLeft -= tokens
		left -= tokens
		cost := float64(tokens) * sim.models[r.attempt.request.model].pace()
		span += b.engine.scaledTime(time.Duration(cost / sim.scenario.Engines.ReadTokensPerMS * float64(time.Millisecond)))
	}
	for _, r := range b.running {
		b.updatePause(r)
		r.stall += span
		r.pause = max(r.pause, b.eventTime()+r.stall)
	}
	b.prefillActive, b.prefillEnd = true, sim.now().Add(span+b.stepTime())
}

// updatePause counts the events that an answer has written by now: a stall delays only the next
// event.
func (b *batch) updatePause(r *run) {
	event := int((b.steps - r.startStep) / float64(b.engine.sim.scenario.Engines.EventTokens))
	if event != r.eventIndex {
		r.eventIndex, r.stall = event, 0
	}
	r.pause = max(r.pause, b.eventTime())
}

func (b *batch) eventTime() time.Duration {
	return time.Duration(b.engine.sim.scenario.Engines.EventTokens) * b.stepTime()
}

// untilNext returns the time until a prefill step or an answer ends; false if neither is running.
func (b *batch) untilNext() (time.Duration, bool) {
	if b.prefillActive {
		return b.prefillEnd.Sub(b.engine.sim.now()), true
	}
	if len(b.running) == 0 {
		return 0, false
	}
	steps := math.Inf(1)
	for _, r := range b.running {
		steps = min(steps, r.startStep+float64(r.answerTokens-r.written)-b.steps)
	}
	return time.Duration(max(0, steps)*float64(b.stepTime())) + 1, true
}

// processDue ends the prefill step and the answers that are due.
func (b *batch) processDue() {
	b.advance()
	if b.prefillActive {
		b.prefillActive = false
		b.steps++
		b.startPrefilled()
	}
	const slack = 1e-6
	var ended []*run
	b.running = slices.DeleteFunc(b.running, func(r *run) bool {
		done := r.startStep+float64(r.answerTokens-r.written) <= b.steps+slack
		if done {
			ended = append(ended, r)
		}
		return done
	})
	b.scheduleNext()
	for _, r := range ended {
		b.updatePause(r)
		b.engine.onAnswerWritten(r)
	}
}

// startPrefilled starts the answers whose prompts are completely prefilled.
func (b *batch) startPrefilled() {
	var ready []*run
	b.prefilling = slices.DeleteFunc(b.prefilling, func(r *run) bool {
		if r.prefillLeft == 0 {
			ready = append(ready, r)
		}
		return r.prefillLeft == 0
	})
	for _, r := range ready {
		b.startAnswer(r)
	}
}

// startAnswer starts an answer, or resumes a preempted one.
func (b *batch) startAnswer(r *run) {
	now := b.engine.sim.now()
	if r.started {
		r.pause = max(r.pause, now.Sub(r.lastEvent))
	}
	r.startStep, r.eventIndex, r.stall = b.steps, 0, 0
	b.running = append(b.running, r)
	if !r.started {
		r.started = true
		b.engine.onAnswerStarted(r)
	}
}

// remove removes a request that is queued, in prefill or running.
func (b *batch) remove(r *run) {
	b.advance()
	same := func(o *run) bool { return o == r }
	b.prefilling = slices.DeleteFunc(b.prefilling, same)
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.scheduleNext()
}

// written returns the number of tokens of an answer written by now.
func (b *batch) written(r *run) int {
	if !slices.Contains(b.running, r) {
		return r.written
	}
	return r.writtenAt(b.stepsNow())
}

func (r *run) writtenAt(steps float64) int {
	return min(r.answerTokens, r.written+int(steps-r.startStep))
}

// preempt frees the slot of the newest of the least urgent running requests if it is less urgent
// than given. The request goes to the head of the queue and needs prefill again. It returns false
// if no request is less urgent.
func (b *batch) preempt(urgency int) bool {
	var victim *run
	for _, r := range b.running {
		if r.urgency > urgency && (victim == nil || r.urgency >= victim.urgency) {
			victim = r
		}
	}
	if victim == nil {
		return false
	}
	b.advance()
	b.updatePause(victim)
	victim.written = b.written(victim)
	victim.lastEvent = b.engine.sim.now()
	b.running = slices.DeleteFunc(b.running, func(r *run) bool { return r == victim })
	b.waiting = append([]*run{victim}, b.waiting...)
	b.engine.sim.outcome.preempted++
	b.scheduleNext()
	return true
}

// usedCacheTokens returns the KV cache memory that requests occupy, in tokens.
func (b *batch) usedCacheTokens() int {
	total, steps := 0, b.stepsNow()
	for _, r := range b.running {
		total += r.attempt.request.promptTokens + r.writtenAt(steps)
	}
	for _, r := range b.prefilling {
		total += r.attempt.request.promptTokens + r.written
	}
	return total
}

// clear removes all requests, as in a crash, and returns them.
func (b *batch) clear() []*run {
	all := slices.Concat(b.running, b.prefilling, b.waiting)
	for _, r := range all {
		r.written = b.written(r)
	}
	b.running, b.prefilling, b.waiting, b.prefillActive = nil, nil, nil, false
	b.generation++
	return all
}
