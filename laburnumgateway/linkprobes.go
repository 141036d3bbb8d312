package laburnumgateway

import (
	"context"
	"time"

	"laburnumlever/laburnumreachability"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumtunnel"
	"laburnumlever/laburnumupstream"

	"github.com/cockroachdb/errors"
)

const (
	// tunnelProbeDelay is how long a direct probe may take before the server is probed through another VM as well.
	tunnelProbeDelay = 100 * time.Millisecond
	// tunnelProbes is the number of other VMs through which a server is probed if connections through them bring nothing, and
	// tunnelProbeTimeout how long each of them has: on busy machines a server that runs answers late.
	tunnelProbes       = 2
	tunnelProbeTimeout = 600 * time.Millisecond
	// verifyTimeout bounds the probes of a server, directly and through others. They end sooner once they tell enough.
	verifyTimeout = tunnelProbeDelay + tunnelProbes*tunnelProbeTimeout
	// directSlack is how long a direct probe may take after the server has answered another VM.
	directSlack = 100 * time.Millisecond
	// directProbeTimeout bounds a direct probe that is made again and again, until lost links are back.
	directProbeTimeout = 300 * time.Millisecond
)

// probedServer is a backend server to probe.
type probedServer struct {
	address string
	// silent is set if it gets no call, only a connection.
	silent bool
}

// verifyProbes probes backend servers directly and through other VMs, until the probes tell whether the links work or all have ended.
func (l *links) verifyProbes(servers []probedServer) []laburnumreachability.Probe {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	return l.probeAll(servers, func(s probedServer) laburnumreachability.Probe { return l.probeBothWays(ctx, s) }, tellEnough)
}

// directProbes probes backend servers directly.
func (l *links) directProbes(servers []probedServer) []laburnumreachability.Probe {
	return l.probeAll(servers, func(s probedServer) laburnumreachability.Probe {
		return laburnumreachability.Probe{Address: s.address, Direct: l.probeDirectly(s) == nil}
	}, func([]laburnumreachability.Probe) bool { return false })
}

// probeDirectly probes a backend server on a new direct connection. Errors: those of probeOne.
func (l *links) probeDirectly(s probedServer) error {
	ctx, cancel := context.WithTimeout(context.Background(), directProbeTimeout)
	defer cancel()
	return l.probeOne(ctx, s, false)
}

// probeAll probes backend servers at the same time, until enough is known. Probes that have not ended by then are left out.
func (l *links) probeAll(servers []probedServer, probe func(probedServer) laburnumreachability.Probe, enough func([]laburnumreachability.Probe) bool) []laburnumreachability.Probe {
	ended := make(chan laburnumreachability.Probe, len(servers))
	for _, s := range servers {
		go func() { ended <- probe(s) }()
	}
	var probes []laburnumreachability.Probe
	for range servers {
		probes = append(probes, <-ended)
		if enough(probes) {
			break
		}
	}
	return probes
}

// findsHelper reports whether another VM connects to one of the backend servers for this one.
func (l *links) findsHelper(servers []probedServer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tunnelProbeTimeout)
	defer cancel()
	_, _, helped := countProbes(l.probeAll(servers, func(s probedServer) laburnumreachability.Probe {
		_, helped, _ := l.probeThroughOthers(ctx, s)
		return laburnumreachability.Probe{Address: s.address, Helped: helped}
	}, func(probes []laburnumreachability.Probe) bool { return probes[len(probes)-1].Helped }))
	return helped > 0
}

// tellEnough reports whether some of the probes decide whether the links work.
func tellEnough(probes []laburnumreachability.Probe) bool {
	direct, reached, _ := countProbes(probes)
	return direct > 0 || reached >= laburnumreachability.MinServers
}

// probeBothWays probes a backend server directly and, if that takes long or fails, through other VMs.
func (l *links) probeBothWays(ctx context.Context, s probedServer) laburnumreachability.Probe {
	p := laburnumreachability.Probe{Address: s.address}
	direct := make(chan bool, 1)
	go func() { direct <- l.probeOne(ctx, s, false) == nil }()
	slow, cancel := laburnumtimer.AfterChannel(l.gateway.timers, tunnelProbeDelay)
	defer cancel()
	ended := false
	select {
	case p.Direct = <-direct:
		ended = true
	case <-slow:
	case <-ctx.Done():
		return p // given up
	}
	if p.Direct {
		return p
	}
	p.Reached, p.Helped, p.Cause = l.probeThroughOthers(ctx, s)
	if ended {
		return p
	}
	if !p.Reached {
		p.Direct = <-direct
		return p
	}
	late, cancel := laburnumtimer.AfterChannel(l.gateway.timers, directSlack)
	defer cancel()
	select {
	case p.Direct = <-direct:
	case <-late:
	}
	return p
}

// probeThroughOthers reports whether a backend server answers another VM, whether one was found, and the last error. A VM that
// has lost its own links may open a connection that brings nothing, so another one is asked then.
func (l *links) probeThroughOthers(ctx context.Context, s probedServer) (answered, helped bool, err error) {
	for range tunnelProbes {
		err = l.probeThroughOther(ctx, s)
		var nobody *laburnumtunnel.NoHelperError
		var lost *laburnumupstream.LostError
		switch {
		case errors.As(err, &nobody):
			return false, helped, err
		case !errors.As(err, &lost):
			return err == nil, true, err
		}
		helped = true
	}
	return false, helped, err
}

func (l *links) probeThroughOther(ctx context.Context, s probedServer) error {
	ctx, cancel := context.WithTimeout(ctx, tunnelProbeTimeout)
	defer cancel()
	return l.probeOne(ctx, s, true)
}

// probeOne probes a backend server on a new connection. Errors: *laburnumupstream.DialError, *laburnumupstream.LostError.
func (l *links) probeOne(ctx context.Context, s probedServer, tunnelled bool) error {
	conn, err := l.gateway.pool.Open(ctx, s.address, tunnelled)
	if err != nil {
		return err
	}
	defer conn.Close()
	if s.silent {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return &laburnumupstream.LostError{Address: s.address, Cause: err}
		}
	}
	call := l.gateway.dialect.ProbeCall()
	resp, err := conn.Exchange(laburnumupstream.Request{Method: call.Method, URI: call.URI, Host: s.address, Header: call.Header, Body: call.Body})
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	return nil
}

func countProbes(probes []laburnumreachability.Probe) (direct, reached, helped int) {
	for _, p := range probes {
		if p.Direct {
			direct++
		}
		if p.Reached {
			reached++
		}
		if p.Helped {
			helped++
		}
	}
	return direct, reached, helped
}
