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
	sightings []laburnumquarantine.Sighting
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
		d.servers[id] = &brokenServer{sightings: []laburnumquarantine.Sighting{sighting}}
		go d.probe(id, to.Address)
	case !s.probed:
		s.sightings = append(s.sightings, sighting)
	case s.crashed:
		d.gateway.fleet.reportCrash([]laburnumquarantine.Sighting{sighting})
	default: // the server still runs
	}
}

// probe finds out whether a backend server has crashed, and reports the requests on it if so.
func (d *crashDetector) probe(id laburnumquarantine.Crash, address string) {
	timers := d.gateway.timers
	laburnumtimer.Wait(nil, timers, probeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := d.gateway.pool.Probe(ctx, address)
	refused, leaving := errors.Is(err, syscall.ECONNREFUSED), d.gateway.fleet.leaving(id.Backend)
	var confirmed bool
	var others error
	if refused && !leaving {
		confirmed, others = d.gateway.links.confirmsCrash(ctx, address, err)
	}
	crashed := refused && !leaving && confirmed
	d.mu.Lock()
	s := d.servers[id]
	s.probed, s.crashed = true, crashed
	sightings := s.sightings
	s.sightings = nil
	d.mu.Unlock()
	if crashed {
		_ = level.Info(d.gateway.logger).Log("event", laburnumlever.EventBackendCrashed, "backend", id.Backend, "requests", len(sightings))
		d.gateway.counters.crashes.Inc(1)
		d.gateway.fleet.avoidCrashed(id)
		d.gateway.fleet.reportCrash(sightings)
	} else {
		_ = level.Info(d.gateway.logger).Log("event", laburnumlever.EventCrashUnconfirmed, "backend", id.Backend, "requests", len(sightings),
			"digests", digestsOf(sightings), "leaving", leaving, "cause", err, "others", others)
	}
	timers.After(crashMemory, func(time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.servers, id)
	})
}

// digestsOf returns the requests of some sightings, at most maxLoggedDigests.
func digestsOf(sightings []laburnumquarantine.Sighting) []laburnumlever.RequestDigest {
	var digests []laburnumlever.RequestDigest
	for _, s := range sightings[:min(maxLoggedDigests, len(sightings))] {
		digests = append(digests, s.Digest)
	}
	return digests
}
