package laburnumintake

import (
	"container/list"
	"net"
	"time"

	"laburnumlever/laburnumsocket"
)

// idleLooks is the number of idle connections that are looked at for one that no request is on its way on.
const idleLooks = 16

// Listener bounds the connections that it has accepted.
type Listener struct {
	net.Listener
	intake *Intake
	max    int
	// waits is set if connections without a place wait for one.
	waits bool
	// peers is set if what arrives are no requests.
	peers bool

	// The intake's mutex guards the following. leaving is the number of connections whose requests are about to be refused for
	// others.
	open, leaving int
	idle          *list.List
	closed        bool
}

// ListenerOption configures a listener.
type ListenerOption func(*Listener)

// WithWaiting has connections without a place wait for one, and idle ones keep theirs for a time of Patience, for clients that
// connect again at once when they are turned away.
func WithWaiting() ListenerOption { return func(l *Listener) { l.waits = true } }

// WithPeers is for connections of other VMs, which have their place for good once they have sent something.
func WithPeers() ListenerOption { return func(l *Listener) { l.peers = true } }

// Listen returns a listener that accepts the connections of another one, so many at once; any number if that is 0.
func (in *Intake) Listen(ln net.Listener, connections int, opts ...ListenerOption) *Listener {
	l := &Listener{Listener: ln, intake: in, max: connections, idle: list.New()}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Accept returns the next connection that has a place. Errors: *ClosedError and those of the other listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, err := l.place(conn)
		if c != nil || err != nil {
			return c, err
		}
		laburnumsocket.ResetOnClose(conn) // the client learns at once that nothing was read
		_ = conn.Close()
	}
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.intake.mu.Lock()
	l.closed = true
	l.intake.released.Broadcast()
	l.intake.mu.Unlock()
	return l.Listener.Close()
}

// place gives a connection a place, that of another one if need be; nil if there is none. Errors: *ClosedError.
func (l *Listener) place(conn net.Conn) (net.Conn, error) {
	in := l.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	for l.max > 0 && l.open-l.leaving >= l.max {
		if l.makePlace() {
			continue
		}
		if !l.waits {
			in.stats.Turned++
			return nil, nil //nolint:nilnil // no place is no failure of the listener
		}
		stop := in.timers.After(Patience, func(time.Time) { in.released.Broadcast() })
		in.released.Wait()
		stop()
		if l.closed {
			_ = conn.Close()
			return nil, &ClosedError{Address: l.Addr().String()}
		}
	}
	l.open++
	in.stats.Connections++
	c := &Conn{Conn: conn, entry: entry{intake: in, listener: l, end: func() { _ = conn.Close() }}}
	c.rest()
	return c, nil
}

// makePlace has another connection give up its place. It reports whether one does. The intake's mutex must be held.
func (l *Listener) makePlace() bool {
	now := l.intake.timers.Now()
	if c := l.idlest(now); c != nil {
		l.intake.stats.Closed++
		c.remove()
		_ = c.Conn.Close()
		return true
	}
	if e := l.intake.victim(l); e != nil {
		e.evict()
		return true
	}
	return false
}

// idlest returns the connection that has been idle for longest, one on which nothing waits to be read if there is one among the
// first; nil for none.
func (l *Listener) idlest(now time.Time) *Conn {
	var first *Conn
	looks := 0
	for at := l.idle.Front(); at != nil && looks < idleLooks; at = at.Next() {
		c, _ := at.Value.(*Conn)
		if l.waits && now.Sub(c.idleSince) < Patience {
			break
		}
		looks++
		if c.kept != nil && c.kept() {
			continue
		}
		if first == nil {
			first = c
		}
		if laburnumsocket.Look(c.Conn) != laburnumsocket.Readable {
			return c
		}
	}
	return first
}
