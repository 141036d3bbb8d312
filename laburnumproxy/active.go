package laburnumproxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// activeRequest is a request in activeRequest, as the watch over stalled ones sees it.
type activeRequest struct {
	start    time.Time
	progress atomic.Int64 // nanoseconds after start
	// waitingForCaller tells that the request waits for its caller to send or to take.
	waitingForCaller atomic.Bool
	control          *http.ResponseController
	mu               sync.Mutex
	cancel           context.CancelCauseFunc
}

func (f *activeRequest) markProgress(now time.Time) { f.progress.Store(int64(now.Sub(f.start))) }

// replaceCancel sets what end cancels.
func (f *activeRequest) replaceCancel(cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
}

// abort cuts the request off. A read or write that waits for the caller is freed by
// past deadlines, which a cancelled context does not do; otherwise the caller's
// connection stays good, since it is still owed a final answer.
func (f *activeRequest) abort(cause error) {
	f.mu.Lock()
	cancel := f.cancel
	f.mu.Unlock()
	cancel(cause)
	if !f.waitingForCaller.Load() {
		return
	}
	past := time.Unix(1, 0)
	_ = f.control.SetReadDeadline(past) // a writer without deadlines (in tests) has no connection to free
	_ = f.control.SetWriteDeadline(past)
}

// activeRequests counts what is in flight and refuses new work once draining.
type activeRequests struct {
	mu       sync.Mutex
	all      map[*activeRequest]struct{}
	draining bool
	idle     chan struct{} // closed when draining and nothing is in flight
}

func newActiveRequests() *activeRequests {
	return &activeRequests{all: map[*activeRequest]struct{}{}, idle: make(chan struct{})}
}

func (fs *activeRequests) add(f *activeRequest) bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.draining {
		return false
	}
	fs.all[f] = struct{}{}
	return true
}

func (fs *activeRequests) remove(f *activeRequest) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	delete(fs.all, f)
	if fs.draining && len(fs.all) == 0 {
		close(fs.idle)
	}
}

func (fs *activeRequests) drain() {
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

func (fs *activeRequests) isDraining() bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.draining
}

func (fs *activeRequests) count() int {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return len(fs.all)
}

// abortStalled cuts off what has made no progress or has taken too long. It holds the
// lock meanwhile, so that no request that has left is touched.
func (fs *activeRequests) abortStalled(now time.Time, stall, limit time.Duration) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for f := range fs.all {
		age := now.Sub(f.start)
		idle := age - time.Duration(f.progress.Load())
		if idle > stall || age > limit {
			f.abort(&stalledError{Idle: idle, Age: age})
		}
	}
}

func (fs *activeRequests) abortAll(cause error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for f := range fs.all {
		f.abort(cause)
	}
}

// sweep is run by the timer service.
func (p *Proxy) sweep(now time.Time) {
	p.active.abortStalled(now, p.cfg.stallTimeout, p.cfg.requestTimeout)
	p.refresh(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch.Tick(now)
}

// InFlight is how many requests of callers are being served now.
func (p *Proxy) InFlight() int { return p.active.count() }

// Drain refuses new work and returns when all that is in flight has ended, or with
// a *DrainTimeoutError when ctx ends first; what is in flight then goes on.
func (p *Proxy) Drain(ctx context.Context) error {
	p.active.drain()
	select {
	case <-p.active.idle:
		return nil
	case <-ctx.Done():
		return &DrainTimeoutError{InFlight: p.InFlight(), Cause: context.Cause(ctx)}
	}
}
