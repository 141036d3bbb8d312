package laburnumreachability

import (
	"maps"
	"slices"
	"time"
)

const (
	// ProbedServers is the number of servers that are probed to verify a suspicion.
	ProbedServers = 4
	// MinServers is the number of servers that must agree: one may have failed itself.
	MinServers = 2
	// suspicionTime is how long a failure counts.
	suspicionTime = 2 * time.Second
	// silenceTime exceeds the usual time to the first part of an answer, since all servers must be silent.
	silenceTime = 500 * time.Millisecond
	// verifyPause is the time between two verifications.
	verifyPause = 500 * time.Millisecond
	// pauseTime is the time between two checks above which this VM itself is taken to have been paused, so that answers
	// may wait unread.
	pauseTime = time.Second
)

// Probe is the result of probing a server.
type Probe struct {
	Address string
	// Direct is set if it answered on a new connection of this VM.
	Direct bool
	// Helped is set if another VM could be asked to connect to it, and Reached if it answered that VM.
	Helped, Reached bool
	// Cause is why it was not reached through another VM, if one was asked in vain.
	Cause error
}

// Monitor is a VM's view of its links to the backend servers.
type Monitor struct {
	lost bool
	// unaided is set while the links are lost and no other VM could be asked.
	unaided bool
	// doubted is set from a suspicion until a server answers directly.
	doubted   bool
	doubtedAt time.Time
	// verifying is set from a suspicion until it has been verified.
	verifying bool
	// failed are the servers to which connections failed, with the time of the first failure.
	failed map[string]time.Time
	// waiting counts the requests that wait for a server, with the time since when.
	waiting    map[*Wait]struct{}
	heardAt    time.Time
	checkedAt  time.Time
	verifiedAt time.Time
}

// Wait is a request that waits for an answer, or for the next part of one.
type Wait struct {
	address string
	since   time.Time
}

// New returns a monitor of links that work.
func New() *Monitor {
	return &Monitor{failed: map[string]time.Time{}, waiting: map[*Wait]struct{}{}}
}

// Lost reports whether the links are lost.
func (m *Monitor) Lost() bool { return m.lost }

// Doubted reports whether nothing shows that the links work: what this VM sees of servers is no evidence for others.
func (m *Monitor) Doubted() bool { return m.lost || m.doubted }

// Failed records that a direct connection to a server could not be opened, or ended before an answer.
func (m *Monitor) Failed(address string, now time.Time) {
	if _, ok := m.failed[address]; !ok {
		m.failed[address] = now
	}
}

// Begin records that a request was sent on a direct connection.
func (m *Monitor) Begin(address string, now time.Time) *Wait {
	w := &Wait{address: address, since: now}
	m.waiting[w] = struct{}{}
	return w
}

// Heard records that a part of an answer was received on a direct connection opened at a time.
func (m *Monitor) Heard(w *Wait, openedAt, now time.Time) {
	w.since = now
	m.heardAt = now
	m.doubted = m.doubted && !openedAt.After(m.doubtedAt)
	delete(m.failed, w.address)
	for _, at := range m.failed {
		if openedAt.After(at) {
			clear(m.failed) // the links work, so that the servers have failed themselves
			return
		}
	}
}

// End records that a request no longer waits.
func (m *Monitor) End(w *Wait) { delete(m.waiting, w) }

// Address returns the address of the server.
func (w *Wait) Address() string { return w.address }

// Silent reports whether nothing was received for a request for silenceTime.
func (w *Wait) Silent(now time.Time) bool { return w.SilentFor(now) >= silenceTime }

// SilentFor returns for how long nothing was received.
func (w *Wait) SilentFor(now time.Time) time.Duration { return now.Sub(w.since) }

// Suspected reports whether connections to several of the known number of servers failed lately. Failures count at least
// until a verification has told whose they are.
func (m *Monitor) Suspected(servers int, now time.Time) bool {
	if !m.verifying {
		maps.DeleteFunc(m.failed, func(_ string, at time.Time) bool { return now.Sub(at) > suspicionTime })
	}
	return m.lost || servers > 0 && len(m.failed) >= min(MinServers, servers)
}

// Suspicion reports whether the links must be verified, and the servers that raised the suspicion. It is called
// several times within silenceTime, with the number of known servers.
func (m *Monitor) Suspicion(servers int, now time.Time) ([]string, bool) {
	if now.Sub(m.checkedAt) > pauseTime {
		m.heardAt = now
	}
	m.checkedAt = now
	if m.lost || now.Sub(m.verifiedAt) < verifyPause {
		return nil, false
	}
	suspects := m.silentServers(now)
	if m.Suspected(servers, now) {
		suspects = slices.Sorted(maps.Keys(m.failed))
	}
	if len(suspects) == 0 || len(suspects) < min(MinServers, servers) {
		return nil, false
	}
	m.verifiedAt, m.verifying = now, true
	m.doubted, m.doubtedAt = true, now
	return suspects[:min(MinServers, len(suspects))], true
}

// silentServers returns the servers that owe answers, if nothing was received from any server for silenceTime.
func (m *Monitor) silentServers(now time.Time) []string {
	if !m.Hanging(now) {
		return nil
	}
	silent := map[string]struct{}{}
	for w := range m.waiting {
		if w.Silent(now) {
			silent[w.address] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(silent))
}

// Hanging reports whether nothing was received on any direct connection for silenceTime.
func (m *Monitor) Hanging(now time.Time) bool { return now.Sub(m.heardAt) >= silenceTime }

// Verified applies probes made after a Suspicion, and reports whether the links are lost now.
func (m *Monitor) Verified(probes []Probe, servers int, now time.Time) bool {
	helped, reached, direct := 0, 0, 0
	for _, p := range probes {
		switch {
		case p.Direct:
			direct++
			delete(m.failed, p.Address)
		case p.Reached:
			reached++
		case p.Helped:
			delete(m.failed, p.Address) // it has failed itself
		}
		if p.Helped {
			helped++
		}
	}
	m.verifiedAt, m.verifying = now, false
	switch {
	case !m.doubted: // a server has answered on a new connection in the meantime
	case direct > 0:
		m.heardAt = now
		m.doubted = false
		clear(m.failed) // the links work, so that the servers have failed themselves
	case helped > 0:
		m.lost = reached >= min(MinServers, servers)
	default:
		m.lost = len(probes) >= ProbedServers && m.Hanging(now)
		m.unaided = m.lost
	}
	return m.lost
}

// Restored applies direct probes made while the links are lost, and reports whether they are back. One server suffices where no
// other VM could be asked: nothing is lost by trying it.
func (m *Monitor) Restored(probes []Probe, servers int, now time.Time) bool {
	direct := 0
	for _, p := range probes {
		if p.Direct {
			direct++
		}
	}
	needed := min(MinServers, servers)
	if m.unaided {
		needed = 1
	}
	if !m.lost || direct == 0 || direct < needed {
		return false
	}
	m.lost, m.doubted, m.unaided = false, false, false
	m.heardAt, m.verifiedAt = now, now
	clear(m.failed)
	return true
}
