package laburnumsoak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"laburnumlever/laburnumstandin"
)

// recorder is what was seen from outside, and what of it must not be. It may be used from any
// goroutine.
type recorder struct {
	mu sync.Mutex
	// runs counts how often each request ran, as backend servers say.
	runs map[string]int
	// answered and refused are the requests that must not run twice with an answer and with
	// the word that they have not run.
	answered, refused map[string]bool
	// acked is the newest version acknowledged, with the time of each.
	acked      []ack
	sent       int
	served     int
	violations []string
}

type ack struct {
	version int
	at      time.Time
}

func newRecorder() *recorder {
	return &recorder{runs: map[string]int{}, answered: map[string]bool{}, refused: map[string]bool{}}
}

func (r *recorder) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// requestRan notes that a backend server has run a request.
func (r *recorder) requestRan(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// bookingEnded notes what came of a request that must not run twice.
func (r *recorder) bookingEnded(id string, status int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	switch {
	case err != nil:
	case status == http.StatusOK:
		r.served++
		r.answered[id] = true
	case promisesNotRun(status):
		r.refused[id] = true
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// streamEnded notes a stream: its events must follow each other, and all be there if it ended as
// complete.
func (r *recorder) streamEnded(id string, events []int, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	for i, n := range events {
		if n != i+1 {
			r.addViolation("stream %s: event %d came as number %d", id, n, i+1)
			return
		}
	}
	if !whole {
		return
	}
	r.served++
	if len(events) != laburnumstandin.PlatformEvents() {
		r.addViolation("stream %s ended as complete after %d events", id, len(events))
	}
}

// changeAcknowledged notes an operator's change.
func (r *recorder) changeAcknowledged(version int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, ack{version: version, at: at})
}

// newestAcknowledged is the highest version acknowledged before a time.
func (r *recorder) newestAcknowledged(before time.Time) int {
	highest := 0
	for _, a := range r.acked {
		if a.at.Before(before) {
			highest = max(highest, a.version)
		}
	}
	return highest
}

// readAnswered notes an answer to a readAnswered that was sent at a time: it must not be older than what
// was acknowledged by then.
func (r *recorder) readAnswered(version int, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if want := r.newestAcknowledged(sent); version < want {
		r.addViolation("a read shows version %d after %d was acknowledged", version, want)
	}
}

// processExited notes that a process of the system ended though nobody asked it to.
func (r *recorder) processExited(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation("%s ended by itself", name)
}

// check checks what can be told only when all processes have had their say.
func (r *recorder) check() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range r.runs {
		if n > 1 {
			r.addViolation("request %s ran %d times", id, n)
		}
		if r.refused[id] {
			r.addViolation("request %s was refused as not run and ran", id)
		}
	}
	for id := range r.answered {
		if r.runs[id] == 0 {
			r.addViolation("request %s was answered and no backend server ran it", id)
		}
	}
	return r.violations
}
