package laburnumsoak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"laburnumlever/laburnumstandin"
)

// recorder collects what callers, operators and backend servers observe, and the violations of
// the invariants in it. It is safe for concurrent use.
type recorder struct {
	mu sync.Mutex
	// runs counts how often each request ran, as reported by backend servers.
	runs map[string]int
	// answered and refused are the non-idempotent requests that were answered and those that
	// were refused with a status that promises that they did not run.
	answered, refused map[string]bool
	// crashing holds the times at which the crashing request of a service ran.
	crashing map[string][]time.Time
	// ranAt holds the times at which each backend server ran requests.
	ranAt map[string][]time.Time
	// keyed holds the requests of the accounts that the run checks, by id.
	keyed map[string]*keyedRequest
	// falls counts how often backend servers of a service have ended by themselves.
	falls map[string]int
	// drafts counts the streams of two versions' service, and what became of those that broke.
	drafts draftCounts
	// steady holds the requests to the steady servers by id, cuts those whose answers they saw cut, with the server.
	steady map[string]steadyRequest
	cuts   []cutAnswer
	// steadyRan are the requests that steady servers have run, by id.
	steadyRan map[string]steadyRun
	// endedForMemory are the requests whose slow callers a gateway ended for want of memory, by id.
	endedForMemory map[string]bool
	// spoiledForms are the forms in which servers spoiled the answers to a request, earlyEnds the streams that ended early, by id.
	spoiledForms map[string][]string
	earlyEnds    map[string]earlyEnd
	// left are the requests of callers that left, by id, silences the times in which steady servers did not run, by name.
	left        map[string]leaver
	silences    map[string][]silence
	gatewayEnds []gatewayEnd
	// acked lists the acknowledged changes.
	acked      []ack
	sent       int
	served     int
	spoiled    int
	violations []string
}

type ack struct {
	version int
	at      time.Time
}

func newRecorder() *recorder {
	return &recorder{runs: map[string]int{}, answered: map[string]bool{}, refused: map[string]bool{}, crashing: map[string][]time.Time{}, ranAt: map[string][]time.Time{}, keyed: map[string]*keyedRequest{}, falls: map[string]int{}, steady: map[string]steadyRequest{}, steadyRan: map[string]steadyRun{}, left: map[string]leaver{}, endedForMemory: map[string]bool{}, silences: map[string][]silence{}, spoiledForms: map[string][]string{}, earlyEnds: map[string]earlyEnd{}}
}

func (r *recorder) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// requestRan records that a backend server ran a request.
func (r *recorder) requestRan(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// bookingEnded records the outcome of a non-idempotent request.
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

// streamEnded checks a stream: its events must be consecutive, and all present if it ended as
// complete.
func (r *recorder) streamEnded(id string, events []int, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	for i, n := range events {
		if n != i+1 {
			r.addViolation("stream %s: received event %d at position %d", id, n, i+1)
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

// changeAcknowledged records an acknowledged change.
func (r *recorder) changeAcknowledged(version int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, ack{version: version, at: at})
}

// newestAcknowledged returns the highest version acknowledged before a time.
func (r *recorder) newestAcknowledged(before time.Time) int {
	highest := 0
	for _, a := range r.acked {
		if a.at.Before(before) {
			highest = max(highest, a.version)
		}
	}
	return highest
}

// readAnswered checks the answer to a read: it must not be older than a version acknowledged
// before the read was sent.
func (r *recorder) readAnswered(version int, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if want := r.newestAcknowledged(sent); version < want {
		r.addViolation("a read returned version %d after version %d was acknowledged", version, want)
	}
}

// processExited records that a process of the system exited without being stopped.
func (r *recorder) processExited(p *process) {
	r.violated("%s exited unexpectedly", p.name)
}

// check applies the checks that need the output of all processes, and returns all violations.
func (r *recorder) check() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range r.runs {
		if n > 1 {
			r.addViolation("request %s ran %d times", id, n)
		}
		if r.refused[id] {
			r.addViolation("request %s was refused as not run but ran", id)
		}
	}
	for id := range r.answered {
		if r.runs[id] == 0 {
			r.addViolation("request %s was answered but no backend server ran it", id)
		}
	}
	r.checkAccounts()
	r.checkSteady()
	r.checkEarlyEnds()
	r.checkLeavers()
	return r.violations
}
