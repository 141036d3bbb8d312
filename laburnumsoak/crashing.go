package laburnumsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// crashText is the text in a request's body at which a backend server crashes; it also begins
	// the ids of these requests.
	crashText = "poison"
	// crashPart is the part of a prompt at which a backend server crashes, whatever else the request holds. soundPart is another
	// one that all requests for streams have.
	crashPart, soundPart = "dead", "aa"
	// crashPause is the longest time between two attempts of a caller at a crashing request.
	crashPause = 600 * time.Millisecond
	// crashDown is how long a crashed backend server is down.
	crashDown = time.Second
	// contactTime is the time after which VMs that are in touch must know a crashing request.
	contactTime = 3 * time.Second
	// crashesBorne is the number of crashes after which a request counts as a crashing one,
	// repeatsBorne that of its runs later than contactTime after them.
	crashesBorne, repeatsBorne = 3, 3
	// crashCheckTime is how long the crashing requests are repeated for the check after the run.
	crashCheckTime = 3 * time.Second
)

// The kinds of crashing requests: one of each service that is repeated, and some with the same part of which no two are alike.
const (
	crashBooking = "booking"
	crashQuote   = "quotes"
	crashByPart  = "part"
)

var crashKinds = []string{crashBooking, crashQuote, crashByPart}

// sendCrashing sends a crashing request of a kind and reports whether it was refused as one.
func (l *load) sendCrashing(kind string, gateway int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	id := fmt.Sprintf("%s-%s-%d", crashText, kind, l.calls.Add(1))
	var status int
	var body []byte
	var err error
	switch kind {
	case crashByPart:
		status, body, err = l.caller.Quote(ctx, l.fleet.gateway(gateway), id, id[len(crashText):], soundPart, crashPart)
	case crashQuote:
		status, body, err = l.caller.Quote(ctx, l.fleet.gateway(gateway), id, crashText, soundPart)
	default:
		status, body, err = l.caller.Confirm(ctx, l.fleet.gateway(gateway), id, crashText)
	}
	if err == nil && promisesNotRun(status) {
		l.record.refusedAsNotRun(id)
	}
	return err == nil && status == http.StatusServiceUnavailable && isQuarantined(body)
}

// isQuarantined reports whether a refusal names a crashing request, or a part of it, as its reason.
func isQuarantined(body []byte) bool {
	reason := strings.TrimSpace(string(body))
	return reason == "quarantined" || reason == "part-quarantined"
}

// repeatCrashing sends crashing requests of a kind again and again until ctx ends.
func (l *load) repeatCrashing(ctx context.Context, kind string) {
	l.repeat(ctx, 0, func(int) {
		l.sendCrashing(kind, l.fleet.anyGateway())
		time.Sleep(rand.N(crashPause))
	})
}

// checkCrashing checks that the gateways stop a crashing request once all faults are over.
func (l *load) checkCrashing(ctx context.Context, kind string) {
	var refused [gatewayVMs]bool
	repeat := func() bool {
		for i := range refused {
			refused[i] = l.sendCrashing(kind, i)
		}
		return !slices.Contains(refused[:], false)
	}
	// A server that was killed with the request on it counts as crashed by it too, so that it may
	// be refused after fewer runs.
	if !await(ctx, recoveryTimeout, func() bool { return repeat() || l.record.crashingRuns(kind, time.Time{}) >= crashesBorne }) {
		l.record.violated("a crashing request of kind %s is neither refused nor did one run %d times in %s", kind, crashesBorne, recoveryTimeout)
		return
	}
	known := time.Now().Add(contactTime)
	await(ctx, contactTime+crashCheckTime, func() bool { repeat(); return false })
	await(ctx, crashCheckTime, repeat) // one of the last may have been the trial of a part
	if n := l.record.crashingRuns(kind, known); n > repeatsBorne {
		l.record.violated("crashing requests of kind %s ran %d times later than %s after its third crash", kind, n, contactTime)
	}
	for i, ok := range refused {
		if !ok {
			l.record.violated("gateway-%d does not refuse crashing requests of kind %s", i+1, kind)
		}
	}
}

// crashingRan records that a backend server began to run a crashing request of a kind.
func (r *recorder) crashingRan(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashing[kind] = append(r.crashing[kind], time.Now())
}

// crashingRuns returns how often crashing requests of a kind have run since a time.
func (r *recorder) crashingRuns(kind string, since time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, at := range r.crashing[kind] {
		if at.After(since) {
			n++
		}
	}
	return n
}

// refusedAsNotRun records a refusal which promises that the request did not run.
func (r *recorder) refusedAsNotRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[id] = true
}

// refusedFor checks the refusal of a request that crashes nothing.
func (r *recorder) refusedFor(id string, body []byte) {
	if isQuarantined(body) {
		r.violated("request %s was refused as one that crashes backend servers", id)
	}
}

// violated records a violation.
func (r *recorder) violated(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation(format, args...)
}

// serverExited restarts a backend server that has crashed, unless the run ends.
func (x *faultInjector) serverExited(p *process) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return
	}
	x.crashes.Go(func() {
		time.Sleep(crashDown)
		if x.reserveEnded(p) {
			x.release(p, x.restart(p))
		}
	})
}

// reserveEnded waits until no other fault uses the process, and marks it as busy. It reports false
// if the process has been restarted by then or the run ends.
func (x *faultInjector) reserveEnded(p *process) bool {
	for ; ; time.Sleep(restartPause) {
		x.mu.Lock()
		busy, closed := x.busyProcesses[p], x.closed
		ended := !busy && p.hasEnded()
		if ended && !closed {
			x.busyProcesses[p] = true
		}
		x.mu.Unlock()
		if !busy || closed {
			return ended && !closed
		}
	}
}

// close waits until no crashed backend server is being restarted, and ends restarts.
func (x *faultInjector) close() {
	x.mu.Lock()
	x.closed = true
	x.mu.Unlock()
	x.crashes.Wait()
}
