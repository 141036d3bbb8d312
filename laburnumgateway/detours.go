package laburnumgateway

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumreachability"
	"laburnumlever/laburnumupstream"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

const (
	// detourProbes is the number of backend servers with detours that are probed directly at a time.
	detourProbes = 4
	// hangTime is how long a request brings nothing until that counts as a failure of its connection.
	hangTime = time.Second
)

// findDetour is called when a direct connection to a backend server has failed. It has the server probed if such failures
// repeat, and does not block.
func (l *links) findDetour(to laburnumlever.Heartbeat) {
	g := l.gateway
	if !g.pool.HasTunnels() || g.fleet.leaving(to.Backend) {
		return
	}
	l.mu.Lock()
	probe := !l.monitor.Lost() && l.detours.Failed(to.Address, g.timers.Now())
	l.mu.Unlock()
	if probe {
		go l.probeForDetour(to)
	}
}

// probeForDetour has connections to a backend server opened through other VMs if it answers these alone.
func (l *links) probeForDetour(to laburnumlever.Heartbeat) {
	g := l.gateway
	began := g.timers.Now()
	probe := laburnumreachability.Probe{Address: to.Address}
	if s, ok := g.fleet.serverAt(to.Address); ok {
		probe = l.verifyProbes([]probedServer{s})[0]
	}
	now := g.timers.Now()
	l.mu.Lock()
	open := l.detours.Probed(probe, now)
	if open {
		g.pool.Detour(to.Address, true)
	}
	l.mu.Unlock()
	if !open {
		_ = level.Info(g.logger).Log("event", laburnumlever.EventDetourNotOpened, "backend", to.Backend, "address", to.Address,
			"answered", probe.Direct, "answered-other", probe.Reached, "asked-other", probe.Helped, "cause", probe.Cause)
		return
	}
	g.counters.detours.Inc(1)
	g.fleet.reachable(to.Backend)
	ended, begun := l.abort(endDetour, func(w *laburnumreachability.Wait, a *directAttempt) bool {
		return a.to.Address == to.Address && w.Silent(now) && l.hanging(to.Address, now)
	})
	_ = level.Info(g.logger).Log("event", laburnumlever.EventDetourOpened, "backend", to.Backend, "address", to.Address,
		"probed-ms", millis(g.timers.Now().Sub(began)), "ended", ended, "begun", begun)
}

// detourFailed ends the detour of a backend server if no other VM connected to it, and reports whether there was one.
func (l *links) detourFailed(to laburnumlever.Heartbeat, err error) bool {
	var dial *laburnumupstream.DialError
	if !errors.As(err, &dial) || !dial.Tunnelled {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.monitor.Lost() && l.closeDetour(to.Address, err.Error())
}

// hasDetour reports whether connections to an address are opened through other VMs.
func (l *links) hasDetour(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detours.Has(address)
}

// checkDetours ends the detours of backend servers that are no longer announced, and probes some others directly. It does not
// block.
func (l *links) checkDetours(now time.Time) {
	l.mu.Lock()
	open := l.detours.Open()
	l.mu.Unlock()
	var gone []string
	for _, address := range open {
		if !l.gateway.fleet.KnowsServer(address) {
			gone = append(gone, address)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range gone {
		l.closeDetour(address, "no longer announced")
	}
	if l.monitor.Lost() {
		return
	}
	for _, address := range l.detours.Due(detourProbes, now) {
		go l.probeDetour(address)
	}
}

// probeDetour ends the detour of a backend server that answers directly.
func (l *links) probeDetour(address string) {
	s, ok := l.gateway.fleet.serverAt(address)
	if !ok {
		return // not announced now; the next check forgets it
	}
	if l.probeDirectly(s) != nil {
		return // still lost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeDetour(address, "answers directly")
}

// closeDetour ends the detour of a backend server, and reports whether there was one. The caller must hold mu.
func (l *links) closeDetour(address, cause string) bool {
	if !l.detours.Close(address) {
		return false
	}
	l.gateway.pool.Detour(address, false)
	_ = level.Info(l.gateway.logger).Log("event", laburnumlever.EventDetourClosed, "address", address, "cause", cause)
	return true
}

// checkHanging counts requests that bring nothing as failures of their connections.
func (l *links) checkHanging(now time.Time) {
	l.mu.Lock()
	var failed []laburnumlever.Heartbeat
	for w, a := range l.attempts {
		if w.SilentFor(now) < hangTime || now.Sub(a.countedAt) < hangTime || !l.hanging(a.to.Address, now) {
			continue
		}
		a.countedAt = now
		failed = append(failed, a.to)
	}
	l.mu.Unlock()
	for _, to := range failed {
		l.findDetour(to)
	}
}

// hanging reports whether all requests at a backend server are silent.
func (l *links) hanging(address string, now time.Time) bool {
	for w, a := range l.attempts {
		if a.to.Address == address && !w.Silent(now) {
			return false
		}
	}
	return true
}

// reachable ends the backoff of a backend server and has queued requests served by it.
func (f *Fleet) reachable(id laburnumlever.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balance.ForgetUnreachable(id)
	f.serveQueue()
}
