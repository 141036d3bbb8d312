package laburnumproxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// flight is a request in flight, as the watch over stalled ones sees it.
type flight struct {
	start    time.Time
	progress atomic.Int64 // nanoseconds after start
	// atCaller tells that the request waits for its caller to send or to take.
	atCaller atomic.Bool
	control  *http.ResponseController
	mu       sync.Mutex
	cancel   context.CancelCauseFunc
}

func (f *flight) moved(now time.Time) { f.progress.Store(int64(now.Sub(f.start))) }

// replaceCancel sets what end cancels.
func (f *flight) replaceCancel(cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
}

// end cuts the request off. A read or write that waits for the caller is freed by
// past deadlines, which a cancelled context does not do; otherwise the caller's
// connection stays good, since it is still owed a final answer.
func (f *flight) end(cause error) {
	f.mu.Lock()
	cancel := f.cancel
	f.mu.Unlock()
	cancel(cause)
	if !f.atCaller.Load() {
		return
	}
	past := time.Unix(1, 0)
	_ = f.control.SetReadDeadline(past) // a writer without deadlines (in tests) has no connection to free
	_ = f.control.SetWriteDeadline(past)
}

// flights counts what is in flight and refuses new work once draining.
type flights struct {
	mu       sync.Mutex
	all      map[*flight]struct{}
	draining bool
	idle     chan struct{} // closed when draining and nothing is in flight
}

func newFlights() *flights {
	return &flights{all: map[*flight]struct{}{}, idle: make(chan struct{})}
}

func (fs *flights) enter(f *flight) bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.draining {
		return false
	}
	fs.all[f] = struct{}{}
	return true
}

func (fs *flights) leave(f *flight) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	delete(fs.all, f)
	if fs.draining && len(fs.all) == 0 {
		close(fs.idle)
	}
}

func (fs *flights) drain() {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.draining {
		return
	}
	fs.draining = true
	if len(fs.all) == 0 {
		close(fs.idle)
	}
}

func (fs *flights) isDraining() bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.draining
}

func (fs *flights) count() int {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return len(fs.all)
}

// endStalled cuts off what has made no progress or has taken too long. It holds the
// lock meanwhile, so that no request that has left is touched.
func (fs *flights) endStalled(now time.Time, stall, limit time.Duration) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for f := range fs.all {
		age := now.Sub(f.start)
		still := age - time.Duration(f.progress.Load())
		if still > stall || age > limit {
			f.end(&stalledError{Still: still, Age: age})
		}
	}
}

func (fs *flights) cancelAll(cause error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for f := range fs.all {
		f.end(cause)
	}
}

// sweep is run by the timer service.
func (p *Proxy) sweep(now time.Time) {
	p.flights.endStalled(now, p.cfg.stall, p.cfg.limit)
	p.refresh(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch.Tick(now)
}

// InFlight is how many requests of callers are being served now.
func (p *Proxy) InFlight() int { return p.flights.count() }

// Drain refuses new work and returns when all that is in flight has ended, or with
// a *DrainTimeoutError when ctx ends first; what is in flight then goes on.
func (p *Proxy) Drain(ctx context.Context) error {
	p.flights.drain()
	select {
	case <-p.flights.idle:
		return nil
	case <-ctx.Done():
		return &DrainTimeoutError{InFlight: p.InFlight(), Cause: context.Cause(ctx)}
	}
}
