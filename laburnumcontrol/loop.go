// Package laburnumcontrol runs the control thread: one goroutine that hands
// typed events to the parts that own control state, one at a time.
//
// # Usage
//
//	loop := laburnumcontrol.New()
//	go loop.Run()
//	loop.Post(membership, announced{…})
//	defer loop.Stop()
//
// In tests Drain runs what is queued on the caller's goroutine instead, so that
// the order is the same in every run.
package laburnumcontrol

import (
	"sync"
	"time"

	"laburnumlever"
)

// Loop is the control thread's queue. It is not bounded: events come from timers,
// peers and workers whose own queues are, and to drop one (a finished fsync)
// would stop the log for good.
type Loop struct {
	mu         sync.Mutex
	ready      *sync.Cond
	queue      []entry
	stopped    bool
	done       chan struct{}
	afterEvent func(ev laburnumlever.Event)
	meter      *Meter
}

type entry struct {
	to laburnumlever.Part
	ev laburnumlever.Event
	at time.Time
}

// Option changes a new loop.
type Option func(*Loop)

// WithAfter sets a function that runs on the control thread after each event,
// such as publishing a new view.
func WithAfter(after func(ev laburnumlever.Event)) Option {
	return func(l *Loop) { l.afterEvent = after }
}

// WithMeter sets what counts the time that events take.
func WithMeter(m *Meter) Option { return func(l *Loop) { l.meter = m } }

// New makes a loop that does not run yet.
func New(opts ...Option) *Loop {
	l := &Loop{done: make(chan struct{}), afterEvent: func(laburnumlever.Event) {}, meter: NewMeter()}
	l.ready = sync.NewCond(&l.mu)
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Post queues an event for a part.
func (l *Loop) Post(to laburnumlever.Part, ev laburnumlever.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.queue = append(l.queue, entry{to: to, ev: ev, at: time.Now()})
	l.ready.Signal()
}

// Run handles events until Stop.
func (l *Loop) Run() {
	defer close(l.done)
	for {
		batch := l.takeBatch()
		if batch == nil {
			return
		}
		l.handleBatch(batch)
	}
}

// Drain handles all that is queued, and what that queues in turn, then returns.
func (l *Loop) Drain() {
	for {
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		l.handleBatch(batch)
	}
}

// Stop ends Run after the events it has taken, and drops the rest. It does not
// wait: call Done for that.
func (l *Loop) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.queue = nil
	l.ready.Broadcast()
}

// Done is closed once Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Len is the number of events waiting.
func (l *Loop) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

func (l *Loop) handleBatch(batch []entry) {
	began := time.Now()
	for _, e := range batch {
		e.to.Handle(e.ev)
		l.afterEvent(e.ev)
		ended := time.Now()
		l.meter.record(e.ev.EventName(), began.Sub(e.at), ended.Sub(began))
		began = ended
	}
}

func (l *Loop) takeBatch() []entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 && !l.stopped {
		l.ready.Wait()
	}
	if l.stopped {
		return nil
	}
	batch := l.queue
	l.queue = nil
	return batch
}
