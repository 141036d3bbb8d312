package laburnumgateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumreachability"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumroutes"
	"laburnumlever/laburnumtunnel"
	"laburnumlever/laburnumupstream"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

const (
	// linkCheckPeriod is the interval between checks for open connections that hang.
	linkCheckPeriod = 250 * time.Millisecond
	// restoreChecks is the number of checks after which servers are probed again while the links are lost.
	restoreChecks = 2
)

// links decides whether this gateway's own links to the backend servers work. While they don't, connections are opened
// through other VMs. It is safe for concurrent use.
type links struct {
	gateway *Gateway
	// unaided is set while no other VM helps; it matters only while the links are lost.
	unaided atomic.Bool

	mu       sync.Mutex
	monitor  *laburnumreachability.Monitor
	detours  *laburnumreachability.Detours
	attempts map[*laburnumreachability.Wait]*directAttempt
	// probing is set while servers are being probed.
	probing bool
	checks  int
	lostAt  time.Time
	// confirmed is set if servers answered other VMs as the links were found lost.
	confirmed bool
}

// directAttempt is an attempt on a direct connection.
type directAttempt struct {
	to   laburnumlever.Heartbeat
	conn *laburnumupstream.Conn
	// next is the request's state if the attempt were ended now, query what it needs.
	next  laburnumretry.Attempt
	query laburnumbalance.Query
	// countedAt is when its silence last counted as a failure.
	countedAt time.Time
	// endedBy is the verdict that ended it, begun is set once a part of the answer was received.
	endedBy attemptEnd
	begun   bool
}

// newDirectAttempt returns the attempt that a request begins.
func newDirectAttempt(q *request, out *answer, to laburnumlever.Heartbeat, conn *laburnumupstream.Conn) *directAttempt {
	a := &directAttempt{to: to, conn: conn, next: q.attempted(laburnumretry.StageUnknown, out), query: q.query()}
	a.next.Sent++
	a.query.Permit = laburnumbalance.Permit{}
	return a
}

// mayMove reports whether the request may be sent again if the attempt is ended, apart from the retry budget and the room at
// servers. A stream goes on only at a server of a known software version.
func (a *directAttempt) mayMove() bool {
	return a.endedBy == endNone && a.next.Obstacle() == laburnumretry.ObstacleNone && (!a.next.Started || a.to.Software != "")
}

func newLinks(g *Gateway) *links {
	return &links{
		gateway: g, monitor: laburnumreachability.New(), detours: laburnumreachability.NewDetours(),
		attempts: map[*laburnumreachability.Wait]*directAttempt{},
	}
}

// start begins the periodic checks.
func (l *links) start() {
	l.gateway.timers.Every(linkCheckPeriod, func(now time.Time) { l.check(now) })
	l.gateway.timers.Every(restoreChecks*linkCheckPeriod, func(now time.Time) {
		l.checkHanging(now)
		l.checkDetours(now)
	})
}

// begin records that a request is sent on a connection; nil for a connection through another VM.
func (l *links) begin(q *request, out *answer, to laburnumlever.Heartbeat, conn *laburnumupstream.Conn) *laburnumreachability.Wait {
	if conn.Tunnelled() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.monitor.Begin(to.Address, l.gateway.timers.Now())
	l.attempts[w] = newDirectAttempt(q, out, to, conn)
	return w
}

// heard records that a part of the answer was received.
func (l *links) heard(w *laburnumreachability.Wait, conn *laburnumupstream.Conn) {
	if w == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.monitor.Heard(w, conn.OpenedAt(), l.gateway.timers.Now())
	l.attempts[w].begun = true
	l.detours.Heard(w.Address(), conn.OpenedAt())
}

// started records that the caller is about to get a part of the answer. It returns false if the attempt has been ended.
func (l *links) started(w *laburnumreachability.Wait) bool {
	if w == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[w]
	if a.endedBy != endNone {
		return false
	}
	a.next.Started, a.query.Software = true, a.to.Software
	return true
}

// endedBy returns the verdict that ended an attempt, if one did.
func (l *links) endedBy(w *laburnumreachability.Wait) attemptEnd {
	if w == nil {
		return endNone
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[w].endedBy
}

func (l *links) end(w *laburnumreachability.Wait) {
	if w == nil {
		return
	}
	l.mu.Lock()
	to, now := l.attempts[w].to, l.gateway.timers.Now()
	hung := w.Silent(now) && l.hanging(to.Address, now)
	l.monitor.End(w)
	delete(l.attempts, w)
	l.mu.Unlock()
	if hung {
		l.findDetour(to)
	}
}

// failed records that a direct connection could not be opened or was broken.
func (l *links) failed(to laburnumlever.Heartbeat) {
	if l.gateway.fleet.leaving(to.Backend) {
		return
	}
	l.failedAt(to.Address)
	l.findDetour(to)
}

func (l *links) failedAt(address string) {
	l.mu.Lock()
	l.monitor.Failed(address, l.gateway.timers.Now())
	l.mu.Unlock()
	l.check(l.gateway.timers.Now())
}

// doubted reports whether nothing shows that the links work.
func (l *links) doubted() bool {
	if l.suspected() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.monitor.Doubted()
}

// dialFailed records that no connection could be opened.
func (l *links) dialFailed(to laburnumlever.Heartbeat, err error) {
	var dial *laburnumupstream.DialError
	if errors.As(err, &dial) && !dial.Tunnelled {
		l.failed(to)
	}
}

// suspected reports whether a failure may be one of this gateway's links rather than of a backend server.
func (l *links) suspected() bool {
	servers := l.gateway.fleet.serverCount()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.monitor.Suspected(servers, l.gateway.timers.Now())
}

// judgeCrash decides whether a backend server that refuses connections has crashed, by what another VM sees. If none
// helps it has, unless the links are suspected. The error is that of the other VM.
func (l *links) judgeCrash(ctx context.Context, address string, err error) (crashState, error) {
	var dial *laburnumupstream.DialError
	if !l.gateway.pool.HasTunnels() || errors.As(err, &dial) && dial.Tunnelled {
		return crashConfirmed, nil // nobody can be asked, or another VM has seen it
	}
	conn, err := l.gateway.pool.Open(ctx, address, true)
	var nobody *laburnumtunnel.NoHelperError
	switch {
	case err == nil:
		conn.Close()
		return crashRefuted, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return crashConfirmed, err
	case errors.As(err, &nobody) && !l.suspected():
		return crashConfirmed, err
	default:
		return crashUndecided, err
	}
}

// check verifies a suspicion, or probes whether lost links are back. It does not block.
func (l *links) check(now time.Time) {
	if !l.gateway.pool.HasTunnels() {
		return // nothing could be done
	}
	servers := l.gateway.fleet.serverCount()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateway.fleet.linksDoubted.Store(l.monitor.Suspected(servers, now))
	if l.probing {
		return
	}
	if l.monitor.Lost() {
		if l.checks++; l.checks%restoreChecks == 0 {
			l.probing = true
			go l.probeLost()
		}
		return
	}
	if suspects, ok := l.monitor.Suspicion(servers, now); ok {
		l.probing = true
		go l.verify(suspects)
	}
}

// verify finds out whether the links are lost.
func (l *links) verify(suspects []string) {
	g := l.gateway
	probes := l.verifyProbes(g.fleet.sampleServers(suspects, laburnumreachability.ProbedServers))
	servers, now := g.fleet.serverCount(), g.timers.Now()
	l.mu.Lock()
	direct, reached, helped := countProbes(probes)
	lost := l.monitor.Verified(probes, servers, now)
	l.probing = false
	l.lostAt, l.confirmed = now, lost && reached > 0
	l.mu.Unlock()
	event := laburnumlever.EventLinksVerified
	if lost {
		event = laburnumlever.EventLinksLost
		l.unaided.Store(helped == 0)
		g.counters.linksLost.Inc(1)
		g.pool.UseTunnels(true)
		l.abortSilent(now)
		g.fleet.linksChanged(true)
	}
	_ = level.Warn(g.logger).Log("event", event, "probed", len(probes), "answered", direct, "answered-others", reached, "asked-others", helped)
}

// probeLost finds out whether lost links are back and, if no other VM helped, whether one does now.
func (l *links) probeLost() {
	g := l.gateway
	sample := g.fleet.sampleServers(nil, laburnumreachability.ProbedServers)
	probes := l.directProbes(sample)
	if direct, _, _ := countProbes(probes); direct == 0 && l.unaided.Load() && l.findsHelper(sample) {
		l.unaided.Store(false)
	}
	servers, now := g.fleet.serverCount(), g.timers.Now()
	l.mu.Lock()
	restored := l.monitor.Restored(probes, servers, now)
	lostAt := l.lostAt
	l.probing = false
	l.mu.Unlock()
	if !restored {
		l.abortSilent(now)
		return
	}
	l.unaided.Store(false)
	g.pool.UseTunnels(false)
	g.fleet.linksChanged(false)
	_ = level.Warn(g.logger).Log("event", laburnumlever.EventLinksRestored, "lost-ms", millis(now.Sub(lostAt)))
}

// tunnelFailed records that no other VM helps, or that one does.
func (l *links) tunnelFailed(err error) bool {
	var nobody *laburnumtunnel.NoHelperError
	if !errors.As(err, &nobody) {
		return false
	}
	l.unaided.Store(true)
	return true
}

// usable reports whether backend servers can be reached in some way.
func (l *links) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.monitor.Lost() || !l.unaided.Load()
}

// abortSilent ends attempts on lost links whose requests may be sent again, unless nobody has shown that the servers are not just
// silent.
func (l *links) abortSilent(now time.Time) {
	l.abort(endLinksLost, func(w *laburnumreachability.Wait, _ *directAttempt) bool {
		return l.confirmed && w.Silent(now) && l.monitor.Hanging(now)
	})
}

// abort ends the attempts that match and whose requests go on elsewhere: those without another send, a server with room or a share
// of the retry budget would only lose what the links may still bring. It returns how many, and how many of these had got a part of
// their answers.
func (l *links) abort(verdict attemptEnd, matches func(*laburnumreachability.Wait, *directAttempt) bool) (ended, begun int) {
	for _, w := range l.movable(matches) {
		a, ok := l.take(w, verdict, matches)
		if !ok {
			continue
		}
		a.conn.Abort()
		if ended++; a.begun {
			begun++
		}
	}
	l.gateway.counters.attemptsEnded[verdict].Inc(int64(ended - begun))
	l.gateway.counters.answersCut[verdict].Inc(int64(begun))
	return ended, begun
}

// movable returns the attempts that match and whose requests may be sent again.
func (l *links) movable(matches func(*laburnumreachability.Wait, *directAttempt) bool) []*laburnumreachability.Wait {
	l.mu.Lock()
	defer l.mu.Unlock()
	var movable []*laburnumreachability.Wait
	for w, a := range l.attempts {
		if a.mayMove() && matches(w, a) {
			movable = append(movable, w)
		}
	}
	return movable
}

// take marks an attempt as ended and charges the next one to the retry budget. It returns the attempt as it was ended, and false if it
// has changed or its request can't go on now.
func (l *links) take(w *laburnumreachability.Wait, verdict attemptEnd, matches func(*laburnumreachability.Wait, *directAttempt) bool) (directAttempt, bool) {
	l.mu.Lock()
	a := l.attempts[w]
	if a == nil {
		l.mu.Unlock()
		return directAttempt{}, false
	}
	query := a.query
	l.mu.Unlock()
	query.Avoid = append(slices.Clone(query.Avoid), a.to.Backend)
	if !l.gateway.fleet.hasRoom(query) || !l.gateway.chargeRetry(query.Service) {
		return directAttempt{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts[w] != a || !a.mayMove() || !matches(w, a) {
		return directAttempt{}, false
	}
	a.endedBy = verdict
	return *a, true
}

// hasRoom reports whether a backend server could take the query now.
func (f *Fleet) hasRoom(query laburnumbalance.Query) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balance.HasRoom(query, f.timers.Now())
}

// serverCount returns the number of backend servers that accept requests.
func (f *Fleet) serverCount() int {
	x := f.index.Load()
	if x == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range x.Table().Services {
		n += f.balance.Len(s.Name)
	}
	return n
}

// sampleServers returns up to n backend servers to probe: those at the addresses, then some of this VM's availability zone, and
// others at random.
func (f *Fleet) sampleServers(addresses []string, n int) []probedServer {
	x := f.index.Load()
	if x == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	records := f.registry.Records()
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	var first, near, others []probedServer
	for _, r := range records {
		s, ok := f.probed(x, r)
		if !ok || s.silent {
			continue
		}
		switch {
		case slices.Contains(addresses, s.address):
			first = append(first, s)
		case r.Heartbeat.Zone == f.zone:
			near = append(near, s)
		default:
			others = append(others, s)
		}
	}
	sample := slices.Concat(first, near, others)
	return sample[:min(n, len(sample))]
}

// serverAt returns the backend server at an address, to be probed.
func (f *Fleet) serverAt(address string) (probedServer, bool) {
	x := f.index.Load()
	if x == nil {
		return probedServer{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.registry.Records() {
		if r.Heartbeat.Address != address {
			continue
		}
		if s, ok := f.probed(x, r); ok { // an earlier server at the address may be remembered as well
			return s, true
		}
	}
	return probedServer{}, false
}

// probed returns a backend server to be probed, and false if it accepts no requests. One that rests gets no call, nor does a
// brittle plain server, lest it counts as one that it rejects.
func (f *Fleet) probed(x *laburnumroutes.Index, r laburnumregistry.Record) (probedServer, bool) {
	service, ok := x.Table().Service(r.Heartbeat.Service)
	_, brittle := f.brittle.Limit(r.Heartbeat.Backend, r.Heartbeat.Incarnation)
	resting := f.balance.IsResting(r.Heartbeat, f.timers.Now())
	s := probedServer{address: r.Heartbeat.Address, silent: resting || brittle && service.Engine == nil}
	return s, ok && r.AcceptsRequests()
}

// KnowsServer reports whether an address belongs to a backend server.
func (f *Fleet) KnowsServer(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.HasAddress(address)
}

// takesRequestsAt reports whether an address belongs to a backend server that takes requests of this VM.
func (f *Fleet) takesRequestsAt(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	return slices.ContainsFunc(f.registry.Records(), func(r laburnumregistry.Record) bool {
		return r.Heartbeat.Address == address && r.AcceptsRequests() && !f.balance.IsResting(r.Heartbeat, now)
	})
}

// linksChanged has queued requests served by what is reachable now. After a loss, failures to connect say nothing of the
// servers.
func (f *Fleet) linksChanged(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linksDoubted.Store(lost)
	f.balance.ForgetAllUnreachable()
	f.serveQueue()
}
