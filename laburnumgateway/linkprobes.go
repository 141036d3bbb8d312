package laburnumgateway

import (
	"context"
	"net"
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
	// othersTimeout bounds a direct probe of a server and those through others.
	othersTimeout = tunnelProbeDelay + tunnelProbes*tunnelProbeTimeout
	// verifyTimeout bounds the probes of a server, directly and through others, each made twice. They end sooner once they tell
	// enough.
	verifyTimeout = 2 * othersTimeout
	// directProbeTimeout bounds a direct probe of a server that others reach.
	directProbeTimeout = 300 * time.Millisecond
	// maxAnswerGap is the longest time between two answers to others after which the server counts as awake throughout, so that
	// direct probes made in between tell of the link. Others may answer late, so that it is tried secondLooks times.
	maxAnswerGap = 500 * time.Millisecond
	secondLooks  = 3
	// probesPerLook is the number of direct probes in a look: a server that begins to accept connections again may miss the first one.
	probesPerLook = 2
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

// probeBothWays probes a backend server directly and, if that takes long or fails, through other VMs. One that answers others may
// have been silent for everybody before, so it is probed directly again between two answers to others. Probes that contradict each
// other tell nothing.
func (l *links) probeBothWays(ctx context.Context, s probedServer) laburnumreachability.Probe {
	p := l.probeOnce(ctx, s)
	if p.Direct || !p.Reached {
		return p
	}
	answered := l.gateway.timers.Now()
	for range secondLooks {
		direct, at, err := l.probeAgain(ctx, s)
		switch {
		case direct:
			p.Direct, p.Reached = true, false
			return p
		case err == nil && at.Sub(answered) < maxAnswerGap:
			return p
		case err == nil:
			answered = at
		default:
			answered, p.Cause = time.Time{}, err
		}
	}
	p.Reached, p.Helped = false, false
	return p
}

// probeOnce probes a backend server directly and, if that takes long or fails, through other VMs. One that answers others may have
// been silent for everybody before.
func (l *links) probeOnce(ctx context.Context, s probedServer) laburnumreachability.Probe {
	ctx, cancel := context.WithTimeout(ctx, othersTimeout)
	defer cancel()
	p := laburnumreachability.Probe{Address: s.address}
	direct := make(chan bool, 1)
	go func() { direct <- l.probeOne(ctx, s, false) == nil }()
	slow, stop := laburnumtimer.AfterChannel(l.gateway.timers, tunnelProbeDelay)
	defer stop()
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
	if !ended && !p.Reached {
		p.Direct = <-direct
	}
	return p
}

// probeAgain probes a backend server that has answered another VM, and reports whether it answers directly. A nil error means
// that it has answered others again since the direct probe began, and when.
func (l *links) probeAgain(ctx context.Context, s probedServer) (answers bool, at time.Time, err error) {
	direct := make(chan bool, 1)
	go func() { direct <- l.answersDirectly(s) }()
	slow, cancel := laburnumtimer.AfterChannel(l.gateway.timers, tunnelProbeDelay)
	defer cancel()
	ended := false
	select {
	case answers = <-direct:
		ended = true
	case <-slow:
	}
	if answers {
		return true, at, nil
	}
	_, _, err = l.probeThroughOthers(ctx, s)
	at = l.gateway.timers.Now()
	if !ended {
		answers = <-direct
	}
	return answers, at, err
}

// answersDirectly reports whether a backend server answers one of several direct probes. One that refuses or resets the first is
// not asked again.
func (l *links) answersDirectly(s probedServer) bool {
	for range probesPerLook {
		err := l.probeDirectly(s)
		if err == nil {
			return true
		}
		if !isTimeout(err) {
			return false
		}
	}
	return false
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
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
	defer conn.Abort()
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
