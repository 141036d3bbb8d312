package laburnumpeer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/jsonrpc2"
)

// notification is a queued notification.
type notification struct {
	method string
	params json.RawMessage
}

// link manages the outgoing connection to an address. Its goroutine sends queued notifications and
// runs the silence detector.
type link struct {
	peers    *Peers
	address  string
	queue    chan notification
	wake     chan struct{} // signals that something was sent, for the silence detector
	inFlight atomic.Int64  // calls in progress and notifications being queued
	queued   atomic.Int64  // bytes of the queued notifications
	dialLock chan struct{} // a channel rather than a mutex, so that waiting ends with the context

	mu       sync.Mutex
	conn     *jsonrpc2.Conn
	stream   *stream
	detector silenceDetector
	// silences is how often in a row the connection was closed for silence and opened again at the first attempt, silentAt when it
	// was last closed so. A peer that is lost or cut off can't be connected to; one that is starved can, and answers late.
	silences int
	silentAt time.Time
	lastUse  time.Time
	backoff  backoff
}

func newLink(p *Peers, address string) *link {
	return &link{
		peers:    p,
		address:  address,
		queue:    make(chan notification, p.cfg.queue),
		wake:     make(chan struct{}, 1),
		dialLock: make(chan struct{}, 1),
		lastUse:  time.Now(),
	}
}

func (l *link) call(ctx context.Context, method string, params, result any) error {
	conn, err := l.connect(ctx)
	if err != nil {
		return &laburnumlever.PeerUnreachableError{Address: l.address, Cause: err}
	}
	waiter, err := conn.DispatchCall(ctx, method, params)
	if err != nil {
		// The frame was not completely written, so the other side can't have run the call.
		l.notWritten(conn, method, err)
		return &laburnumlever.PeerUnreachableError{Address: l.address, Cause: err}
	}
	l.noteSent()
	return l.typedError(waiter.Wait(ctx, result))
}

// typedError maps jsonrpc2's error to a *laburnumlever.PeerRefusedError for an error answer, and to a
// *laburnumlever.PeerLostError otherwise.
func (l *link) typedError(err error) error {
	var refused *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return &laburnumlever.PeerRefusedError{Address: l.address, Kind: errorKind(refused), Detail: refused.Message}
	default:
		return &laburnumlever.PeerLostError{Address: l.address, Cause: err}
	}
}

func (l *link) notify(method string, params any) {
	raw, err := json.Marshal(params)
	if err == nil && l.enqueue(notification{method: method, params: raw}) {
		return
	}
	l.peers.cfg.scope.Counter("peer-dropped-notifications").Inc(1)
}

// enqueue queues a notification, unless the queue is full by the number of notifications or by their bytes: the other side
// may not read for seconds.
func (l *link) enqueue(n notification) bool {
	size := int64(len(n.params))
	if l.queued.Add(size) > int64(l.peers.cfg.maxFrame) {
		l.queued.Add(-size)
		return false
	}
	select {
	case l.queue <- n:
		return true
	default:
		l.queued.Add(-size)
		return false
	}
}

// run sends queued notifications and checks for silence until the peers close or the link is idle.
func (l *link) run() {
	defer l.closeConn(nil, &ClosedError{})
	timer := time.NewTimer(l.peers.cfg.idleTimeout)
	defer timer.Stop()
	for {
		select {
		case <-l.peers.ctx.Done():
			return
		case n := <-l.queue:
			l.queued.Add(-int64(len(n.params)))
			l.send(n)
		case <-l.wake:
		case <-timer.C:
		}
		wait, idle := l.checkSilence(time.Now())
		if idle && l.peers.removeIdle(l) {
			return
		}
		timer.Reset(wait)
	}
}

func (l *link) send(n notification) {
	conn, err := l.connect(l.peers.ctx)
	if err == nil {
		err = conn.Notify(l.peers.ctx, n.method, n.params)
	}
	if err != nil {
		l.notWritten(conn, n.method, err)
		l.peers.cfg.scope.Counter("peer-dropped-notifications").Inc(1)
		return
	}
	l.noteSent()
}

// notWritten closes the connection after a failed write. A message that is too large leaves it open, since nothing was written.
func (l *link) notWritten(conn *jsonrpc2.Conn, method string, cause error) {
	var large *FrameTooLargeError
	if !errors.As(cause, &large) {
		l.closeConn(conn, cause)
		return
	}
	_ = level.Error(l.peers.cfg.logger).Log("event", laburnumlever.EventMessageTooLarge, "method", method, "address", l.address, "bytes", large.Size, "limit", large.Limit)
}

// connect returns the connection and opens it if there is none.
func (l *link) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	select {
	case l.dialLock <- struct{}{}:
		defer func() { <-l.dialLock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	if err := l.checkBackoff(); err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: l.peers.cfg.dialTimeout}
	if ip := l.peers.cfg.localIP; ip != nil && !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	netConn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err == nil {
		host, _, _ := net.SplitHostPort(l.address) // DialContext accepted the address
		netConn, err = l.peers.cfg.handshake(ctx, netConn, host)
	}
	if err != nil {
		l.recordFailure(ctx, err)
		return nil, err
	}
	return l.attach(netConn), nil
}

// current returns the open connection; nil if there is none.
func (l *link) current() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil
	}
	select {
	case <-l.conn.DisconnectNotify():
		l.conn, l.stream = nil, nil
		return nil
	default:
		return l.conn
	}
}

// attach makes netConn the link's connection and resets the silence detector and the backoff.
func (l *link) attach(netConn net.Conn) *jsonrpc2.Conn {
	s := newStream(netConn, &l.peers.cfg)
	conn := l.peers.newConn(s, server{peers: l.peers})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.stream = conn, s
	if time.Since(l.silentAt) >= l.peers.cfg.idleTimeout {
		l.silences = 0
	}
	l.detector = silenceDetector{pingTimeout: pingTimeout << min(l.silences, maxSilenceDoublings)}
	l.backoff = backoff{}
	return conn
}

func (l *link) checkBackoff() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backoff.check(time.Now())
}

// recordFailure starts the backoff after a failed attempt to connect. An attempt that was ended by the
// caller's context is ignored: it says nothing about the other VM.
func (l *link) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silences = 0
	l.backoff = l.backoff.next(time.Now(), err)
}

// closeConn closes the connection if conn is still the current one; nil means any.
func (l *link) closeConn(conn *jsonrpc2.Conn, cause error) {
	l.mu.Lock()
	current := l.conn
	if current == nil || (conn != nil && conn != current) {
		l.mu.Unlock()
		return
	}
	l.conn, l.stream = nil, nil
	l.mu.Unlock()
	_ = l.peers.cfg.logger.Log("level", "debug", "event", "peer-link-closed", "address", l.address, "cause", cause)
	_ = current.Close()
}

// noteSent records that something was sent and wakes the silence detector.
func (l *link) noteSent() {
	l.mu.Lock()
	now := time.Now()
	l.lastUse = now
	if l.stream != nil {
		l.detector = l.detector.sent(now, l.stream.lastReadAt())
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) noteSilence(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silences, l.silentAt = l.silences+1, now
}

// checkSilence pings a silent peer or closes the connection to it. It returns the time until the next
// check and whether the link is idle.
func (l *link) checkSilence(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	conn, s := l.conn, l.stream
	idle := now.Sub(l.lastUse) >= l.peers.cfg.idleTimeout
	if conn == nil {
		l.mu.Unlock()
		return l.peers.cfg.idleTimeout, idle
	}
	var action silenceAction
	l.detector, action = l.detector.check(now, s.lastReadAt(), l.inFlight.Load() > 0)
	l.mu.Unlock()
	switch action {
	case actionNone:
		return l.peers.cfg.idleTimeout, idle
	case actionPing:
		if _, err := conn.DispatchCall(l.peers.ctx, pingMethod, struct{}{}); err != nil {
			l.closeConn(conn, err)
		}
	case actionClose:
		l.noteSilence(now)
		l.peers.cfg.scope.Counter("peer-silent-links").Inc(1)
		l.closeConn(conn, &SilentError{Silence: now.Sub(s.lastReadAt())})
	case actionWait:
	}
	return checkPeriod, false
}
