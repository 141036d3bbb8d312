package laburnumintake

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumlever/laburnumsocket"

	"github.com/cockroachdb/errors"
)

// headCopies is how much memory a head takes while it is read, in times of its bytes.
const headCopies = 2

// Conn is a client's connection.
type Conn struct {
	net.Conn
	// entry is the head that arrives.
	entry
	// serving is set while a request is served, or its rest is dropped.
	serving atomic.Bool

	// The intake's mutex guards the following. headBytes are those of the head that have arrived.
	headBytes int64
	idleSince time.Time
	// idlePlace is where the connection stands among the idle ones; nil if it does not.
	idlePlace *list.Element
	// kept reports whether the connection has to stay although it is idle; nil if it never has to.
	kept    func() bool
	removed bool
}

// connOf returns the connection of an intake that a connection is, or wraps; nil for none.
func connOf(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}

// Handler returns a handler whose requests' connections are known to be served meanwhile.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Serving(laburnumsocket.FromContext(r.Context())) {
			panic(http.ErrAbortHandler) // closes the connection
		}
		next.ServeHTTP(w, r)
	})
}

// ConnState records when connections become idle. It is a hook of http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	if c := connOf(conn); c != nil && state == http.StateIdle {
		c.setIdle(false)
	}
}

// Serving records that a request has been read and is served. It returns false if its connection has been closed for another one, so
// that the request must not be served.
func Serving(conn net.Conn) bool {
	c := connOf(conn)
	if c == nil {
		return true
	}
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if c.removed || c.evicted {
		return false
	}
	c.serve()
	return true
}

// Dropping records that a request has been refused and the rest of it is dropped, so that its connection may be closed for others.
func Dropping(conn net.Conn) {
	if c := connOf(conn); c != nil {
		c.setIdle(true)
	}
}

// KeepIf has an idle connection stay while a function, which must not block, returns true.
func KeepIf(conn net.Conn, kept func() bool) {
	if c := connOf(conn); c != nil {
		c.intake.mu.Lock()
		defer c.intake.mu.Unlock()
		c.kept = kept
	}
}

// Read reads what the client sent. A head without room ends as if the client had closed the connection, as nothing of its request
// has been served.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.serving.Load() && c.received(int64(n)) != nil {
		return 0, io.EOF
	}
	return n, err
}

// received counts bytes of a head. Errors: *FullError.
func (c *Conn) received(n int64) error {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if c.removed { // it was idle until these bytes came
		return &FullError{Held: c.intake.held, Limit: c.intake.limits.bytes, Evicted: true}
	}
	if c.listener.peers {
		c.serve()
		return nil
	}
	if c.idlePlace != nil {
		c.leaveIdle()
		c.progress()
	}
	c.headBytes += n
	return c.take(max(0, headCopies*(c.headBytes-FreeBytes)-c.held))
}

// setIdle records that the connection may be closed for others.
func (c *Conn) setIdle(dropping bool) {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if c.removed {
		return
	}
	c.release()
	c.headBytes = 0
	c.serving.Store(dropping)
	c.leaveIdle()
	c.rest()
}

// rest puts the connection among the idle ones. The intake's mutex must be held, as for all methods below.
func (c *Conn) rest() {
	c.idleSince = c.intake.timers.Now()
	c.idlePlace = c.listener.idle.PushBack(c)
}

func (c *Conn) leaveIdle() {
	if c.idlePlace != nil {
		c.listener.idle.Remove(c.idlePlace)
		c.idlePlace = nil
	}
}

// serve takes the connection out of those that may be closed for others. Its head is held until the request has been served.
func (c *Conn) serve() {
	c.serving.Store(true)
	c.leaveIdle()
	c.arrived()
}

// remove gives the connection's place and room back.
func (c *Conn) remove() {
	if c.removed {
		return
	}
	c.removed = true
	c.leaveIdle()
	c.release()
	c.listener.open--
	c.intake.stats.Connections--
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.remove()
	return err
}

// CloseWrite closes the connection for writing, as a whole if it can't be closed by halves.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// SetLinger implements what laburnumsocket.ResetOnClose needs.
func (c *Conn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// SetKeepAliveConfig configures the probes by which a lost client is noticed.
func (c *Conn) SetKeepAliveConfig(config net.KeepAliveConfig) error {
	if socket, ok := c.Conn.(laburnumsocket.KeepAliveSetter); ok {
		return socket.SetKeepAliveConfig(config)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn, so that the connection's socket can be looked at.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}
