package laburnumfleet

import (
	"net/http"
	"sync/atomic"
	"time"
)

// slowHandler makes a backend server slower by a factor while it works, as one with
// a failing fan or a noisy neighbour is.
type slowHandler struct {
	next http.Handler
	// factor is held in hundredths, so that it can be atomic.
	factor atomic.Int64
}

const factorScale = 100

func newSlowHandler(next http.Handler) *slowHandler {
	h := &slowHandler{next: next}
	h.factor.Store(factorScale)
	return h
}

func (h *slowHandler) set(factor float64) { h.factor.Store(int64(factor * factorScale)) }

// ServeHTTP passes the request on.
func (h *slowHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.factor.Load() <= factorScale {
		h.next.ServeHTTP(w, r)
		return
	}
	h.next.ServeHTTP(&slowWriter{ResponseWriter: w, handler: h, last: time.Now(), done: r.Context().Done()}, r)
}

// slowWriter draws out the time between two writes by the factor.
type slowWriter struct {
	http.ResponseWriter
	handler *slowHandler
	last    time.Time
	done    <-chan struct{}
}

// Write waits as many times as long as the handler took, less the once it took.
func (w *slowWriter) Write(p []byte) (int, error) {
	factor := float64(w.handler.factor.Load()) / factorScale
	wait := time.NewTimer(time.Duration(float64(time.Since(w.last)) * (factor - 1)))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-w.done:
	}
	w.last = time.Now()
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController flush.
func (w *slowWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
