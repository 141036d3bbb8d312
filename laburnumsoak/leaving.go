package laburnumsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"laburnumlever/laburnumstandin"
)

const (
	leavers       = 4
	leaverPause   = 10 * time.Millisecond
	leaverPrefix  = "leaver-"
	stayShortest  = 20 * time.Millisecond
	stayLongest   = 1500 * time.Millisecond
	goneTime      = 500 * time.Millisecond // after its caller has left, a request must not reach a server
	maxLateArrive = 3                      // requests that may, in a run
	// In each of stops a gateway stands still for stopTime, while stopLeavers callers send to it and leave after stopStay at most.
	stops       = 3
	stopTime    = 2 * time.Second
	stopLeavers = 24
	stopStay    = 800 * time.Millisecond
)

// silence is a time in which a server did not run.
type silence struct{ from, to time.Time }

// leave has callers leave before they are answered until ctx ends.
func (l *load) leave(ctx context.Context) {
	for range leavers {
		l.repeat(ctx, leaverPause, func(int) { l.sendAndLeave(l.fleet.anyGateway(), stayLongest) })
	}
}

// leaveAtStops has callers leave while a gateway stands still.
func (l *load) leaveAtStops() {
	for i := range stops {
		gateway := i % len(l.fleet.gateways)
		p := l.fleet.gateways[gateway]
		p.signal(syscall.SIGSTOP)
		ctx, cancel := context.WithTimeout(context.Background(), stopTime)
		var callers sync.WaitGroup
		for range stopLeavers {
			callers.Go(func() {
				for ctx.Err() == nil {
					l.sendAndLeave(gateway, stopStay)
				}
			})
		}
		<-ctx.Done()
		cancel()
		p.signal(syscall.SIGCONT)
		callers.Wait()
	}
}

func (l *load) sendAndLeave(gateway int, longest time.Duration) {
	id := fmt.Sprintf("%s%d", leaverPrefix, l.calls.Add(1))
	stay := stayShortest + time.Duration(rand.Int64N(int64(longest-stayShortest)))
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	// Its connection is closed as ctx ends; with an answer or a failure before there is nothing left to check.
	if _, _, err := l.caller.Request(ctx, l.fleet.gateway(gateway), laburnumstandin.SeriesLook, id, []byte(id)); err != nil && ctx.Err() != nil {
		l.record.callerLeft(id, l.fleet.gateways[gateway].name)
	}
}

// leaver is a caller that left before it was answered.
type leaver struct {
	gateway string
	at      time.Time
}

func (r *recorder) callerLeft(id, gateway string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left[id] = leaver{gateway: gateway, at: time.Now()}
}

// serversSilent records that servers did not run for a time.
func (r *recorder) serversSilent(servers []*process, s silence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range servers {
		r.silences[p.name] = append(r.silences[p.name], s)
	}
}

// checkLeavers checks that nothing reached a server that ran long after its caller had left. The caller holds mu.
func (r *recorder) checkLeavers() {
	var late []string
	for id, q := range r.left {
		ran, ok := r.steadyRan[id]
		if !ok || ran.at.Sub(q.at) <= goneTime+endSlack || r.wasSilent(ran.server, q.at, ran.at) {
			continue
		}
		late = append(late, fmt.Sprintf("%s (%s after, from %s at %s)", id, ran.at.Sub(q.at).Round(time.Millisecond), q.gateway, ran.server))
	}
	if len(late) > maxLateArrive {
		r.addViolation("%d requests reached a server over %s after their callers had left: %s", len(late), goneTime, strings.Join(late, ", "))
	}
}

// wasSilent reports whether a server did not run at some time of a span: it reads late what came in time. The caller holds mu.
func (r *recorder) wasSilent(server string, from, to time.Time) bool {
	for _, s := range r.silences[server] {
		if s.from.Before(to) && s.to.After(from) {
			return true
		}
	}
	return false
}
