package laburnumproxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// activeRequest is a request in flight, watched for lack of progress.
type activeRequest struct {
	start    time.Time
	progress atomic.Int64 // nanoseconds after start
	// waitingForCaller is set while a read from or a write to the caller is pending.
	waitingForCaller atomic.Bool
	control          *http.ResponseController
	mu               sync.Mutex
	cancel           context.CancelCauseFunc
}

func (f *activeRequest) markProgress(now time.Time) { f.progress.Store(int64(now.Sub(f.start))) }

// replaceCancel sets the function that abort calls.
func (f *activeRequest) replaceCancel(cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
}

// abort cancels the request. A cancelled context does not unblock a read from or a write to
// the caller, so a pending one is given a deadline in the past. Otherwise the caller's
// connection is left usable: it still has to carry the final response.
func (f *activeRequest) abort(cause error) {
	f.mu.Lock()
	cancel := f.cancel
	f.mu.Unlock()
	cancel(cause)
	if !f.waitingForCaller.Load() {
		return
	}
	past := time.Unix(1, 0)
	_ = f.control.SetReadDeadline(past) // a writer without deadlines (in tests) has no connection to unblock
	_ = f.control.SetWriteDeadline(past)
}

// activeRequests tracks the requests in flight and refuses new ones while draining.
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

// abortStalled aborts requests that make no progress for stallTimeout or run longer than
// requestTimeout. It holds the lock throughout, so that no finished request is aborted.
func (fs *activeRequests) abortStalled(now time.Time, stallTimeout, requestTimeout time.Duration) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for f := range fs.all {
		age := now.Sub(f.start)
		idle := age - time.Duration(f.progress.Load())
		if idle > stallTimeout || age > requestTimeout {
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

// sweep runs every sweepPeriod: it aborts stalled requests, refreshes the index and lets
// queued requests time out.
func (p *Proxy) sweep(now time.Time) {
	p.active.abortStalled(now, p.cfg.stallTimeout, p.cfg.requestTimeout)
	p.refresh(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch.Tick(now)
}

// InFlight returns the number of callers' requests in flight.
func (p *Proxy) InFlight() int { return p.active.count() }

// Drain refuses new requests and returns once none is in flight. It returns a
// *DrainTimeoutError if ctx ends first; the requests still in flight continue.
func (p *Proxy) Drain(ctx context.Context) error {
	p.active.drain()
	select {
	case <-p.active.idle:
		return nil
	case <-ctx.Done():
		return &DrainTimeoutError{InFlight: p.InFlight(), Cause: context.Cause(ctx)}
	}
}
