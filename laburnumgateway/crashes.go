package laburnumgateway

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumtimer"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

const (
	// probeDelay is the time from the first broken connection to the probe of the backend server: a
	// crashing process may close its connections before its listener.
	probeDelay   = 30 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
	// probePause is the time between two probes of a server of which nobody can tell whether it has crashed: several that
	// crash at once look like lost links, and other VMs that see the same help nobody. maxProbes of them outlast such a
	// suspicion, and the time until the successor of a crashed server is announced.
	probePause = 200 * time.Millisecond
	maxProbes  = 40
	// crashMemory is how long the result of a probe applies to requests whose connections broke at
	// the same time but were noticed later.
	crashMemory = time.Second
	// maxLoggedDigests bounds the requests in a log line.
	maxLoggedDigests = 8
)

// crashDetector tells a crash of a backend server from a broken connection: after a crash its
// address refuses connections. It reports the requests that were on the server.
type crashDetector struct {
	gateway *Gateway

	mu      sync.Mutex
	servers map[laburnumquarantine.Crash]*brokenServer
}

// brokenServer is a backend server whose connections broke.
type brokenServer struct {
	brokenAt time.Time
	// before are the servers known at its address when the first connection broke.
	before    []laburnumlever.BackendStart
	sightings []laburnumquarantine.Sighting
	// parts counts the requests with each shared part.
	parts map[laburnumquarantine.Part]int
	// probed is set once the probe has ended, crashed is its result.
	probed, crashed bool
}

func newCrashDetector(g *Gateway) *crashDetector {
	return &crashDetector{gateway: g, servers: map[laburnumquarantine.Crash]*brokenServer{}}
}

// isBroken reports whether the backend server ended the connection.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// requestBroken records a request whose connection the backend server ended.
func (d *crashDetector) requestBroken(q *request, ticket *laburnumbalance.Ticket) {
	to := ticket.Backend
	id := laburnumquarantine.Crash{Backend: to.Backend, Incarnation: to.Incarnation}
	sighting := laburnumquarantine.Sighting{Crash: id, Digest: q.digest()}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[id]
	switch {
	case s == nil:
		s = &brokenServer{
			brokenAt: d.gateway.timers.Now(), before: d.gateway.fleet.serversAt(to.Address), parts: map[laburnumquarantine.Part]int{},
		}
		d.servers[id] = s
		s.add(q, sighting)
		go d.probe(id, to.Address, s.before)
	case !s.probed:
		s.add(q, sighting)
	case s.crashed:
		late := &brokenServer{brokenAt: s.brokenAt, parts: map[laburnumquarantine.Part]int{}}
		late.add(q, sighting)
		d.gateway.fleet.reportCrash(id, late)
	default: // the server still runs
	}
}

// add adds a request that was on the server.
func (s *brokenServer) add(q *request, sighting laburnumquarantine.Sighting) {
	s.sightings = append(s.sightings, sighting)
	for _, part := range q.sharedParts() {
		s.parts[part]++
	}
}

// probe finds out whether a backend server has crashed, and reports the requests on it if so.
func (d *crashDetector) probe(id laburnumquarantine.Crash, address string, before []laburnumlever.BackendStart) {
	timers := d.gateway.timers
	laburnumtimer.Wait(nil, timers, probeDelay)
	verdict := d.judge(id, address)
	probes, connects := 1, false
	for ; verdict.crash == crashUndecided && probes < maxProbes; probes++ {
		laburnumtimer.Wait(nil, timers, probePause)
		if d.gateway.fleet.hasSuccessor(address, before) {
			verdict.crash = crashConfirmed
		} else if !connects {
			next := d.judge(id, address)
			// The links may be back, or there is a successor whose announcement is on its way.
			if connects = next.cause == nil; !connects {
				verdict = next
			}
		}
	}
	crashed := verdict.crash == crashConfirmed
	d.mu.Lock()
	s := d.servers[id]
	s.probed, s.crashed = true, crashed
	broken := *s
	s.sightings, s.parts = nil, nil
	d.mu.Unlock()
	sightings := broken.sightings
	if crashed {
		_ = level.Info(d.gateway.logger).Log("event", laburnumlever.EventBackendCrashed, "backend", id.Backend, "requests", len(sightings), "probes", probes)
		d.gateway.counters.crashes.Inc(1)
		d.gateway.fleet.avoidCrashed(id)
		d.gateway.fleet.reportCrash(id, &broken)
	} else {
		if verdict.crash == crashUndecided {
			d.gateway.counters.crashesUnconfirmed.Inc(1)
		}
		_ = level.Info(d.gateway.logger).Log("event", laburnumlever.EventCrashUnconfirmed, "backend", id.Backend, "verdict", verdict.crash,
			"probes", probes, "requests", len(sightings), "digests", digestsOf(sightings), "cause", verdict.cause, "others", verdict.others)
	}
	timers.After(crashMemory, func(time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.servers, id)
	})
}

// crashVerdict is the result of a probe.
type crashVerdict struct {
	crash crashState
	// cause is the error of the probe, others that of another VM.
	cause, others error
}

// judge probes a backend server that has broken connections.
func (d *crashDetector) judge(id laburnumquarantine.Crash, address string) crashVerdict {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	v := crashVerdict{cause: d.gateway.pool.Probe(ctx, address)}
	switch {
	case v.cause == nil || d.gateway.fleet.leaving(id.Backend):
		v.crash = crashRefuted
	case errors.Is(v.cause, syscall.ECONNREFUSED):
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		v.crash, v.others = d.gateway.links.judgeCrash(ctx, address, v.cause)
	default:
	}
	return v
}

//go:generate go tool -modfile=../tools/go.mod enumer -type=crashState -transform=kebab -trimprefix=crash -text -output=crashstate_gen.go

// crashState is what is known of a backend server that has broken connections.
type crashState int

const (
	// crashUndecided means that nobody can tell yet.
	crashUndecided crashState = iota
	crashConfirmed
	// crashRefuted means that the server runs, or ends as planned.
	crashRefuted
)

// digestsOf returns the requests of some sightings, at most maxLoggedDigests.
func digestsOf(sightings []laburnumquarantine.Sighting) []laburnumlever.RequestDigest {
	var digests []laburnumlever.RequestDigest
	for _, s := range sightings[:min(maxLoggedDigests, len(sightings))] {
		digests = append(digests, s.Digest)
	}
	return digests
}
