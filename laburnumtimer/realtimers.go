package laburnumtimer

import (
	"container/heap"
	"sync"
	"time"
)

// idleWait is how long the service sleeps without subscriptions.
const idleWait = time.Hour

// Timers is the timer service on the machine's clock. It is safe for concurrent use.
// Functions run on one goroutine, one at a time.
type Timers struct {
	mu           sync.Mutex
	schedule     schedule
	lastSequence uint64
	wake         chan struct{}
	done         chan struct{}
	closed       sync.Once
}

// New starts a timer service; Close stops it.
func New() *Timers {
	t := &Timers{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go t.run()
	return t
}

// Now returns the machine's time with its monotonic clock reading.
func (t *Timers) Now() time.Time { return time.Now() }

// Every calls fn once per period until cancel is called.
func (t *Timers) Every(period time.Duration, fn func(now time.Time)) (cancel func()) {
	return t.add(period, period, fn)
}

// After calls fn once, after d, unless cancel is called first.
func (t *Timers) After(d time.Duration, fn func(now time.Time)) (cancel func()) {
	return t.add(d, 0, fn)
}

// Close stops the service. No function starts after it returns, but one may still be
// running.
func (t *Timers) Close() {
	t.closed.Do(func() { close(t.done) })
}

func (t *Timers) add(wait, period time.Duration, fn func(now time.Time)) func() {
	t.mu.Lock()
	t.lastSequence++
	sub := &subscription{due: time.Now().Add(wait), sequence: t.lastSequence, period: period, fn: fn}
	heap.Push(&t.schedule, sub)
	t.mu.Unlock()
	t.wakeUp()
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.schedule.remove(sub)
	}
}

func (t *Timers) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Timers) run() {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		timer.Reset(t.runDue())
		select {
		case <-timer.C:
		case <-t.wake:
		case <-t.done:
			return
		}
	}
}

// runDue runs all due functions and returns the time until the next one is due.
func (t *Timers) runDue() time.Duration {
	for {
		sub, wait := t.next()
		if sub == nil {
			return wait
		}
		sub.fn(time.Now())
	}
}

func (t *Timers) next() (*subscription, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.done:
		return nil, idleWait
	default:
	}
	now := time.Now()
	if sub, ok := t.schedule.popDue(now); ok {
		return sub, 0
	}
	if len(t.schedule) == 0 {
		return nil, idleWait
	}
	return nil, t.schedule[0].due.Sub(now)
}
