package laburnumsimulation

import (
	"math"
	"slices"
	"time"

	"laburnumlever"
)

// run is one request at an engine.
type run struct {
	attempt *attempt
	engine  laburnumlever.BackendID
	urgency int
	// uncachedTokens is the prompt that the engine has to read, answerTokens the length of the answer, written
	// how much of it was written before, at this engine or another.
	uncachedTokens, answerTokens, written int
	// prefillLeft is what is left of the prompt.
	prefillLeft int
	// startStep is the step at which its answer began or went on, pause the longest between two
	// events so far.
	startStep  float64
	eventIndex int
	stall      time.Duration
	pause      time.Duration
	lastEvent  time.Time
	started    bool
	finished   bool
}

// batch is what an engine works on. Each step writes a token of all answers and reads a chunk of
// the prompts of new requests.
type batch struct {
	engine        *engine
	steps         float64
	updatedAt     time.Time
	running       []*run // answers being written
	prefilling    []*run // prompts to be read, the first at work until readUntil
	prefillActive bool   // a prompt is being read
	prefillEnd    time.Time
	waiting       []*run
	generation    int // counts the changes, so that an outdated event is known
}

// size is how many requests have a slot.
func (b *batch) size() int { return len(b.running) + len(b.prefilling) }

// stepTime is how long a token of all answers takes.
func (b *batch) stepTime() time.Duration {
	e := b.engine.sim.scenario.Engines
	return b.engine.scaledTime(time.Duration(e.Step) + time.Duration(len(b.running))*time.Duration(e.StepPerSlot))
}

// advance brings the steps up to now.
func (b *batch) advance() {
	b.steps = b.stepsNow()
	b.updatedAt = b.engine.sim.now()
}

// stepsNow is how many steps were done by now.
func (b *batch) stepsNow() float64 {
	if b.prefillActive || len(b.running) == 0 {
		return b.steps
	}
	return b.steps + float64(b.engine.sim.now().Sub(b.updatedAt))/float64(b.stepTime())
}

// add gives a request a slot; its prompt is read when its turn comes.
func (b *batch) add(r *run) {
	b.advance()
	r.prefillLeft = r.uncachedTokens + r.written
	b.prefilling = append(b.prefilling, r)
	b.scheduleNext()
}

// scheduleNext begins the next prompt if none is being read, and waits for what happens next.
func (b *batch) scheduleNext() {
	if !b.prefillActive && len(b.prefilling) > 0 {
		b.startPrefill()
	}
	b.generation++
	change := b.generation
	wait, ok := b.untilNext()
	if !ok {
		return
	}
	b.engine.sim.after(wait, func() {
		if b.generation == change {
			b.processDue()
		}
	})
}

// startPrefill begins a step that reads a chunk of prompts: all answers get one token in it, later than
// without.
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

// updatePause notes the events that an answer has had by now: a pause counts for the next one only.
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

// untilNext is how long it takes until a prompt is read or an answer ends.
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

// processDue ends what is due.
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
		over := r.startStep+float64(r.answerTokens-r.written) <= b.steps+slack
		if over {
			ended = append(ended, r)
		}
		return over
	})
	b.scheduleNext()
	for _, r := range ended {
		b.updatePause(r)
		b.engine.onAnswerWritten(r)
	}
}

// startPrefilled begins the answers whose prompts are read.
func (b *batch) startPrefilled() {
	var read []*run
	b.prefilling = slices.DeleteFunc(b.prefilling, func(r *run) bool {
		if r.prefillLeft == 0 {
			read = append(read, r)
		}
		return r.prefillLeft == 0
	})
	for _, r := range read {
		b.startAnswer(r)
	}
}

// startAnswer writes the first token of an answer, or goes on with one that was preempted.
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

// remove takes a request out, whatever it is at.
func (b *batch) remove(r *run) {
	b.advance()
	is := func(o *run) bool { return o == r }
	b.prefilling = slices.DeleteFunc(b.prefilling, is)
	b.running = slices.DeleteFunc(b.running, is)
	b.waiting = slices.DeleteFunc(b.waiting, is)
	b.scheduleNext()
}

// written is how much of an answer is there by now.
func (b *batch) written(r *run) int {
	if !slices.Contains(b.running, r) {
		return r.written
	}
	return r.writtenAt(b.stepsNow())
}

func (r *run) writtenAt(steps float64) int {
	return min(r.answerTokens, r.written+int(steps-r.startStep))
}

// preempt takes the slot of the newest of the least urgent requests, if one is less urgent; it
// waits and is read anew.
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

// usedCacheTokens is the memory that requests take.
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

// clear drops everything, as when the engine crashes, and returns it.
func (b *batch) clear() []*run {
	all := slices.Concat(b.running, b.prefilling, b.waiting)
	for _, r := range all {
		r.written = b.written(r)
	}
	b.running, b.prefilling, b.waiting, b.prefillActive = nil, nil, nil, false
	b.generation++
	return all
}
