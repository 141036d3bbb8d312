package laburnumfleet

import (
	"net/http"
	"sync/atomic"
	"time"
)

// slowHandler slows a backend server down by a factor that can be changed while it
// runs. It simulates a failing fan or a noisy neighbour.
type slowHandler struct {
	next http.Handler
	// factor is in hundredths, so that it fits an atomic integer.
	factor atomic.Int64
}

const factorScale = 100

func newSlowHandler(next http.Handler) *slowHandler {
	h := &slowHandler{next: next}
	h.factor.Store(factorScale)
	return h
}

func (h *slowHandler) set(factor float64) { h.factor.Store(int64(factor * factorScale)) }

// ServeHTTP serves the request with the next handler, slowed down by the factor.
func (h *slowHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.factor.Load() <= factorScale {
		h.next.ServeHTTP(w, r)
		return
	}
	h.next.ServeHTTP(&slowWriter{ResponseWriter: w, handler: h, last: time.Now(), done: r.Context().Done()}, r)
}

// slowWriter multiplies the time between two writes by the factor.
type slowWriter struct {
	http.ResponseWriter
	handler *slowHandler
	last    time.Time
	done    <-chan struct{}
}

// Write waits factor-1 times the time since the last write, then writes.
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
