package laburnumsoak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"syscall"
	"time"

	"laburnumlever/laburnumstandin"

	"github.com/cockroachdb/errors"
)

const (
	// steadyCallers is the number of callers on each route of the steady servers, steadyCallerPause the time between two requests of one.
	steadyCallers     = 5
	steadyCallerPause = 10 * time.Millisecond
	// steadyTimeout exceeds the time limits of the routes, so that no caller leaves before its gateway has said something.
	steadyTimeout = 40 * time.Second
	// Every largeEvery-th request of a caller has a body of largeBody bytes.
	largeEvery, largeBody = 4, 300 << 10
	// graceTime is how long a gateway that was asked to end goes on with the requests that it has.
	graceTime = 4 * time.Second
	// slowGrace is how long at least it goes on with those whose callers read slowly. Servers may fall silent beside a caller's pauses.
	slowGrace = 3500 * time.Millisecond
	// endSlack allows for the time between what a process does and when the soak sees it.
	endSlack = 250 * time.Millisecond
)

// steadyRequest is a request to a server that has no fault but silence.
type steadyRequest struct {
	gateway string
	// sentAt is when its connection was asked for, endedAt when its answer, or the connection, had ended.
	sentAt, endedAt time.Time
	// whole is set once it was sent whole.
	whole bool
	// fresh is set if it was sent on a connection on which the gateway had answered nothing.
	fresh bool
	// slow is set if its caller reads slowly.
	slow bool
	err  error
}

// turnedAway reports whether its connection was reset at once, as an overloaded gateway does to new ones that it has not read from.
func (q steadyRequest) turnedAway() bool { return q.fresh && errors.Is(q.err, syscall.ECONNRESET) }

// grace is how long its gateway has to go on with it once that was asked to end.
func (q steadyRequest) grace() time.Duration {
	if q.slow {
		return slowGrace
	}
	return graceTime
}

// overdue reports whether it may have reached the time limit of its route.
func (q steadyRequest) overdue() bool {
	return q.endedAt.Sub(q.sentAt) >= laburnumstandin.SeriesTimeoutMS*time.Millisecond
}

// gatewayEnd is an end of a gateway's process.
type gatewayEnd struct {
	gateway        string
	killed         bool
	asked, endedAt time.Time
}

// cutAnswer is a request whose begun answer was cut, as a server saw it.
type cutAnswer struct {
	id, server string
	at         time.Time
}

// span returns from when to when a gateway may break what goes through it: as it is killed, or once its grace has ended.
func (e gatewayEnd) span(grace time.Duration) (from, to time.Time) {
	from = e.asked
	if !e.killed {
		from = e.asked.Add(grace)
	}
	return from.Add(-endSlack), e.endedAt.Add(endSlack)
}

// explains reports whether a gateway's end explains what became of a request: it had the request, or another gateway's connection
// to the server went through it.
func (e gatewayEnd) explains(q steadyRequest) bool {
	from, to := e.span(q.grace())
	if e.gateway == q.gateway {
		return q.sentAt.Before(to) && q.endedAt.After(from) && from.Before(to)
	}
	return q.endedAt.After(from) && q.endedAt.Before(to)
}

// explainsCut reports whether a gateway's end explains a cut. A silent server sees it once it goes on.
func (e gatewayEnd) explainsCut(c cutAnswer) bool {
	from, to := e.span(graceTime)
	return from.Before(to) && c.at.After(from) && c.at.Before(to.Add(maxSilence))
}

// useSteady sends requests to the steady servers until ctx ends.
func (l *load) useSteady(ctx context.Context) {
	for _, route := range laburnumstandin.SeriesRouteValues() {
		for i := range steadyCallers {
			l.repeat(ctx, steadyCallerPause, func(n int) {
				l.sendSteady(route, l.fleet.anyGateway(), n%largeEvery == i%largeEvery && route.Lasting())
			})
		}
	}
}

func (l *load) sendSteady(route laburnumstandin.SeriesRoute, gateway int, large bool) {
	id := fmt.Sprintf("%s-%d", route, l.calls.Add(1))
	body := []byte(id) // one text for all would be a request that crashes servers
	if large {
		body = append(body, bytes.Repeat([]byte("x"), largeBody)...)
	}
	l.sendSteadyBy(l.caller, route, gateway, id, body)
}

// sendSteadyBy sends a request of one caller, and returns the answer and whether it ended as a whole one.
func (l *load) sendSteadyBy(caller *laburnumstandin.PlatformCaller, route laburnumstandin.SeriesRoute, gateway int, id string, body []byte) (answer []byte, whole bool) {
	q := steadyRequest{gateway: l.fleet.gateways[gateway].name, sentAt: time.Now(), slow: caller != l.caller}
	ctx, cancel := context.WithTimeout(context.Background(), steadyTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn:      func(string) { q.whole = false },
		GotConn:      func(info httptrace.GotConnInfo) { q.fresh = !laburnumstandin.Answered(info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { q.whole = info.Err == nil },
	})
	status, answer, err := caller.Request(ctx, l.fleet.gateway(gateway), route, id, body)
	q.endedAt, q.err = time.Now(), err
	whole = err == nil && status == http.StatusOK
	if route.Streams() {
		l.record.streamAnswered(id, status, answer, whole)
	}
	l.record.steadyEnded(id, q)
	return answer, whole
}

// steadyEnded records what a caller saw of a request.
func (r *recorder) steadyEnded(id string, q steadyRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steady[id] = q
}

// steadyRun is a run of a request.
type steadyRun struct {
	server string
	at     time.Time
}

// steadyRequestRan records that a server ran a request.
func (r *recorder) steadyRequestRan(server, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steadyRan[id] = steadyRun{server: server, at: time.Now()}
}

// steadyDid reports whether a server ran a request. The caller holds mu.
func (r *recorder) steadyDid(id string) bool {
	_, ran := r.steadyRan[id]
	return ran
}

// answerCut records that a server saw the connection of a request closed in the middle of its answer.
func (r *recorder) answerCut(server, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if strings.HasPrefix(id, leaverPrefix) {
		return // its caller left
	}
	r.cuts = append(r.cuts, cutAnswer{id: id, server: server, at: time.Now()})
}

// gatewayEnded records the end of a gateway's process.
func (r *recorder) gatewayEnded(name string, sig syscall.Signal, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gatewayEnds = append(r.gatewayEnds, gatewayEnd{gateway: name, killed: sig == syscall.SIGKILL, asked: asked, endedAt: time.Now()})
}

// checkSteady checks that no request remained without an answer or a refusal, and that no answer was cut. The caller holds mu.
func (r *recorder) checkSteady() {
	for id, q := range r.steady {
		if q.whole && q.err != nil && (!q.turnedAway() || r.steadyDid(id)) && !r.explained(id, q) {
			r.addViolation("request %s at %s ended after %s with neither an answer nor a refusal: %v", id, q.gateway, q.endedAt.Sub(q.sentAt).Round(time.Millisecond), q.err)
		}
	}
	for _, c := range r.cuts {
		if q := r.steady[c.id]; !r.explained(c.id, q) && !slices.ContainsFunc(r.gatewayEnds, func(e gatewayEnd) bool { return e.explainsCut(c) }) {
			r.addViolation("the answer to request %s at %s was cut at %s, which went on with it", c.id, q.gateway, c.server)
		}
	}
}

func (r *recorder) explained(id string, q steadyRequest) bool {
	return r.endedForMemory[id] || q.overdue() || slices.ContainsFunc(r.gatewayEnds, func(e gatewayEnd) bool { return e.explains(q) })
}
