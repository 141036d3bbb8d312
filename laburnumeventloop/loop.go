// Package laburnumeventloop is the event loop of the control thread: one goroutine that
// dispatches typed events, one at a time, to the components that own control state.
//
// # Usage
//
//	loop := laburnumeventloop.New()
//	go loop.Run()
//	loop.Post(membership, announced{…})
//	defer loop.Stop()
//
// Tests call Drain instead of Run: it handles queued events on the caller's goroutine,
// so that the order is deterministic.
package laburnumeventloop

import (
	"sync"
	"time"

	"laburnumlever"
)

// Loop is the control thread's event queue. It is unbounded: the queues of the timers,
// peers and workers that post events are bounded, and dropping an event such as a
// finished fsync would block the log forever. It is safe for concurrent use.
type Loop struct {
	mu         sync.Mutex
	ready      *sync.Cond
	queue      []queuedEvent
	stopped    bool
	done       chan struct{}
	afterEvent func(ev laburnumlever.Event)
	meter      *Meter
}

type queuedEvent struct {
	to       laburnumlever.Part
	ev       laburnumlever.Event
	postedAt time.Time
}

// Option configures a loop.
type Option func(*Loop)

// WithAfterEvent sets a function that runs on the control thread after each event, for
// example to publish a new view.
func WithAfterEvent(after func(ev laburnumlever.Event)) Option {
	return func(l *Loop) { l.afterEvent = after }
}

// WithMeter sets the meter that records how long events take.
func WithMeter(m *Meter) Option { return func(l *Loop) { l.meter = m } }

// New returns a loop that is not running.
func New(opts ...Option) *Loop {
	l := &Loop{done: make(chan struct{}), afterEvent: func(laburnumlever.Event) {}, meter: NewMeter()}
	l.ready = sync.NewCond(&l.mu)
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Post queues an event for a component. After Stop it does nothing.
func (l *Loop) Post(to laburnumlever.Part, ev laburnumlever.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.queue = append(l.queue, queuedEvent{to: to, ev: ev, postedAt: time.Now()})
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

// Drain handles all queued events, including those that they post, and returns.
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

// Stop ends Run after its current batch of events and drops the others. It doesn't wait
// for Run to return; use Done for that.
func (l *Loop) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.queue = nil
	l.ready.Broadcast()
}

// Done returns a channel that is closed once Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Len returns the number of queued events.
func (l *Loop) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

func (l *Loop) handleBatch(batch []queuedEvent) {
	began := time.Now()
	for _, e := range batch {
		e.to.Handle(e.ev)
		l.afterEvent(e.ev)
		ended := time.Now()
		l.meter.record(e.ev.EventName(), began.Sub(e.postedAt), ended.Sub(began))
		began = ended
	}
}

func (l *Loop) takeBatch() []queuedEvent {
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
