package laburnumgateway

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumlever/laburnumsocket"
)

// backlogConn is the side of a caller's connection that holds what the caller has not taken yet.
type backlogConn struct {
	// backlogs is nil until a request is served, and if the connection is no plain socket.
	backlogs atomic.Pointer[backlogs]
	raw      syscall.RawConn
	writer   *laburnumsocket.Writer
	// holding is set while bytes are held, behind which all others have to wait, and after held bytes were dropped.
	holding atomic.Bool

	// The mu of backlogs guards the following. held is nil while nothing is held, heldErr once the connection has been ended.
	held    *backlog
	heldErr error
	// heldFor is the ID of the last request, for whose answer maxHeld bytes were held at most. Its caller may take nothing for the
	// time of patience.
	heldFor  string
	maxHeld  int
	patience time.Duration
}

// Write writes an answer. What the caller does not take at once is held. Errors: *SlowCallerError and those of the socket.
func (c *callerConn) Write(p []byte) (int, error) {
	bs := c.backlogs.Load()
	if bs == nil {
		return c.Conn.Write(p)
	}
	n := 0
	if !c.holding.Load() {
		var err error
		if n, err = c.writer.Try(p); err != nil || n == len(p) {
			return n, err
		}
	}
	held, err := bs.hold(c, p[n:])
	return n + held, err
}

// serveHeld has answers on a connection held from now on.
func (bs *backlogs) serveHeld(conn net.Conn) {
	c, ok := conn.(*callerConn)
	if !ok || c.backlogs.Load() != nil {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	c.raw, c.writer, c.patience = raw, laburnumsocket.NewWriter(raw), idleTimeout
	laburnumsocket.BoundUnsent(raw, maxUnsent)
	c.backlogs.Store(bs)
}

// servesRequest notes whose answer comes next on a connection, and how long its caller may take nothing.
func (bs *backlogs) servesRequest(q *request) {
	c, ok := q.conn.(*callerConn)
	if !ok {
		return
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	c.heldFor, c.patience, c.maxHeld = q.caller.ID, q.deadline.Sub(q.arrived), 0
	if c.held != nil {
		c.maxHeld = c.held.Held()
	}
}

// maxHeld returns the most bytes that were held for the answer to a request.
func (bs *backlogs) maxHeld(q *request) int {
	c, ok := q.conn.(*callerConn)
	if !ok {
		return 0
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return c.maxHeld
}

// dropHeld ends a connection for which something is held.
func (bs *backlogs) dropHeld(conn net.Conn, outcome heldOutcome) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if c.held != nil {
		bs.end(c.held, outcome)
	}
}
