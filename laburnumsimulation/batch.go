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
	// unread is the prompt that the engine has to read, tokens the length of the answer, done
	// how much of it was written before, at this engine or another.
	unread, tokens, done int
	// toRead is what is left of the prompt.
	toRead int
	// from is the step at which its answer began or went on, pause the longest between two
	// events so far.
	from      float64
	event     int
	stall     time.Duration
	pause     time.Duration
	lastEvent time.Time
	begun     bool
	gone      bool
}

// batch is what an engine works on. Each step writes a token of all answers and reads a chunk of
// the prompts of new requests.
type batch struct {
	engine  *engine
	steps   float64
	at      time.Time
	running []*run // answers being written
	reading []*run // prompts to be read, the first at work until readUntil
	busy    bool   // a prompt is being read
	until   time.Time
	waiting []*run
	change  int // counts the changes, so that an outdated event is known
}

// size is how many requests have a slot.
func (b *batch) size() int { return len(b.running) + len(b.reading) }

// stepTime is how long a token of all answers takes.
func (b *batch) stepTime() time.Duration {
	e := b.engine.sim.scenario.Engines
	return b.engine.slowed(time.Duration(e.Step) + time.Duration(len(b.running))*time.Duration(e.StepPerSlot))
}

// advance brings the steps up to now.
func (b *batch) advance() {
	b.steps = b.stepsNow()
	b.at = b.engine.sim.now()
}

// stepsNow is how many steps were done by now.
func (b *batch) stepsNow() float64 {
	if b.busy || len(b.running) == 0 {
		return b.steps
	}
	return b.steps + float64(b.engine.sim.now().Sub(b.at))/float64(b.stepTime())
}

// add gives a request a slot; its prompt is read when its turn comes.
func (b *batch) add(r *run) {
	b.advance()
	r.toRead = r.unread + r.done
	b.reading = append(b.reading, r)
	b.goOn()
}

// goOn begins the next prompt if none is being read, and waits for what happens next.
func (b *batch) goOn() {
	if !b.busy && len(b.reading) > 0 {
		b.read()
	}
	b.change++
	change := b.change
	wait, ok := b.next()
	if !ok {
		return
	}
	b.engine.sim.after(wait, func() {
		if b.change == change {
			b.happen()
		}
	})
}

// read begins a step that reads a chunk of prompts: all answers get one token in it, later than
// without.
func (b *batch) read() {
	sim := b.engine.sim
	left := sim.scenario.Engines.ChunkTokens
	var span time.Duration
	for _, r := range b.reading {
		tokens := min(left, r.toRead)
		r.toRead -= tokens
		left -= tokens
		cost := float64(tokens) * sim.models[r.attempt.request.model].pace()
		span += b.engine.slowed(time.Duration(cost / sim.scenario.Engines.ReadTokensPerMS * float64(time.Millisecond)))
	}
	for _, r := range b.running {
		b.mark(r)
		r.stall += span
		r.pause = max(r.pause, b.eventTime()+r.stall)
	}
	b.busy, b.until = true, sim.now().Add(span+b.stepTime())
}

// mark notes the events that an answer has had by now: a pause counts for the next one only.
func (b *batch) mark(r *run) {
	event := int((b.steps - r.from) / float64(b.engine.sim.scenario.Engines.EventTokens))
	if event != r.event {
		r.event, r.stall = event, 0
	}
	r.pause = max(r.pause, b.eventTime())
}

func (b *batch) eventTime() time.Duration {
	return time.Duration(b.engine.sim.scenario.Engines.EventTokens) * b.stepTime()
}

// next is how long it takes until a prompt is read or an answer ends.
func (b *batch) next() (time.Duration, bool) {
	if b.busy {
		return b.until.Sub(b.engine.sim.now()), true
	}
	if len(b.running) == 0 {
		return 0, false
	}
	least := math.Inf(1)
	for _, r := range b.running {
		least = min(least, r.from+float64(r.tokens-r.done)-b.steps)
	}
	return time.Duration(max(0, least)*float64(b.stepTime())) + 1, true
}

// happen ends what is due.
func (b *batch) happen() {
	b.advance()
	if b.busy {
		b.busy = false
		b.steps++
		b.beginRead()
	}
	const slack = 1e-6
	var ended []*run
	b.running = slices.DeleteFunc(b.running, func(r *run) bool {
		over := r.from+float64(r.tokens-r.done) <= b.steps+slack
		if over {
			ended = append(ended, r)
		}
		return over
	})
	b.goOn()
	for _, r := range ended {
		b.mark(r)
		b.engine.ended(r)
	}
}

// beginRead begins the answers whose prompts are read.
func (b *batch) beginRead() {
	var read []*run
	b.reading = slices.DeleteFunc(b.reading, func(r *run) bool {
		if r.toRead == 0 {
			read = append(read, r)
		}
		return r.toRead == 0
	})
	for _, r := range read {
		b.begin(r)
	}
}

// begin writes the first token of an answer, or goes on with one that was preempted.
func (b *batch) begin(r *run) {
	now := b.engine.sim.now()
	if r.begun {
		r.pause = max(r.pause, now.Sub(r.lastEvent))
	}
	r.from, r.event, r.stall = b.steps, 0, 0
	b.running = append(b.running, r)
	if !r.begun {
		r.begun = true
		b.engine.began(r)
	}
}

// remove takes a request out, whatever it is at.
func (b *batch) remove(r *run) {
	b.advance()
	is := func(o *run) bool { return o == r }
	b.reading = slices.DeleteFunc(b.reading, is)
	b.running = slices.DeleteFunc(b.running, is)
	b.waiting = slices.DeleteFunc(b.waiting, is)
	b.goOn()
}

// written is how much of an answer is there by now.
func (b *batch) written(r *run) int {
	if !slices.Contains(b.running, r) {
		return r.done
	}
	return r.writtenAt(b.stepsNow())
}

func (r *run) writtenAt(steps float64) int { return min(r.tokens, r.done+int(steps-r.from)) }

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
	b.mark(victim)
	victim.done = b.written(victim)
	victim.lastEvent = b.engine.sim.now()
	b.running = slices.DeleteFunc(b.running, func(r *run) bool { return r == victim })
	b.waiting = append([]*run{victim}, b.waiting...)
	b.engine.sim.outcome.preempted++
	b.goOn()
	return true
}

// tokens is the memory that requests take.
func (b *batch) tokens() int {
	total, steps := 0, b.stepsNow()
	for _, r := range b.running {
		total += r.attempt.request.promptTokens + r.writtenAt(steps)
	}
	for _, r := range b.reading {
		total += r.attempt.request.promptTokens + r.done
	}
	return total
}

// clear drops everything, as when the engine crashes, and returns it.
func (b *batch) clear() []*run {
	all := slices.Concat(b.running, b.reading, b.waiting)
	for _, r := range all {
		r.done = b.written(r)
	}
	b.running, b.reading, b.waiting, b.busy = nil, nil, nil, false
	b.change++
	return all
}
