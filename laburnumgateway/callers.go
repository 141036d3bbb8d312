package laburnumgateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"laburnumlever/laburnumintake"
	"laburnumlever/laburnumsocket"

	"github.com/cockroachdb/errors"
)

// Callers is a listener that closes callers' connections at the end of the process without losing a request: idle ones at
// once, the others as soon as their request has been answered. http.Server.Shutdown drops a request that it has read when
// it begins.
type Callers struct {
	net.Listener

	mu      sync.Mutex
	open    map[*callerConn]struct{}
	retired bool
	none    chan struct{} // closed once the last connection is closed after Retire; nil before
}

// NewCallers returns a listener that accepts the connections of another one.
func NewCallers(ln net.Listener) *Callers {
	return &Callers{Listener: ln, open: map[*callerConn]struct{}{}}
}

// Accept returns the next connection. Errors are those of the other listener.
func (c *Callers) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	own := &callerConn{Conn: conn, callers: c}
	laburnumintake.KeepIf(conn, own.holding.Load) // the caller has not taken all of its answer
	c.mu.Lock()
	c.open[own] = struct{}{}
	retired := c.retired
	c.mu.Unlock()
	if retired {
		own.retire()
	}
	return own, nil
}

// ConnState records when connections become idle. It is a hook of http.Server.
func (c *Callers) ConnState(conn net.Conn, state http.ConnState) {
	if own, ok := conn.(*callerConn); ok && state == http.StateIdle {
		own.idle()
		laburnumintake.ConnState(own.Conn, state)
	}
}

// Retire closes idle connections, and new ones, and returns when all connections are closed or ctx ends.
func (c *Callers) Retire(ctx context.Context) {
	c.mu.Lock()
	open := slices.Collect(maps.Keys(c.open))
	if c.none == nil {
		c.none = make(chan struct{})
		c.checkNone()
	}
	c.retired = true
	none := c.none
	c.mu.Unlock()
	for _, conn := range open {
		conn.retire()
	}
	select {
	case <-none:
	case <-ctx.Done():
	}
}

// checkNone must be called with the mutex held.
func (c *Callers) checkNone() {
	if c.none == nil || len(c.open) > 0 {
		return
	}
	select {
	case <-c.none:
	default:
		close(c.none)
	}
}

func (c *Callers) closed(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
	c.checkNone()
}

// callerConn is a caller's connection that knows whether a part of a request has been read.
type callerConn struct {
	net.Conn
	backlogConn
	callers *Callers

	mu            sync.Mutex
	busy, retired bool
	// early is set once the server has read a byte while a request is served: of a next one, after which it does not watch the
	// connection until the request has been answered. noteEarly is called then; nil while no request is watched.
	early     bool
	noteEarly func()
	// readDeadline is the last one that was set, extended is set once it was exceeded while bytes waited in the kernel, and serving
	// while a request is served. dropUntil is until when the rest of a refused body is read.
	readDeadline, dropUntil time.Time
	extended, serving       bool
}

// watchedBytes is the size of the reads by which http.Server watches the connection of a request that is served.
const watchedBytes = 1

// longAgo is a deadline that ends reads at once.
var longAgo = time.Unix(1, 0)

// Read reads what the caller sent.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.extend() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.begin()
		c.setEarly(len(p) == watchedBytes)
	}
	return n, err
}

// extend gives a caller more time if bytes waited in the kernel as its time was over: this VM stood still, or is behind, and the
// connection would be closed before the answer is read. A request's head has its time again, once; a refused body, of bounded length,
// until dropUntil.
func (c *callerConn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readDeadline.After(longAgo) || laburnumsocket.Look(c.Conn) != laburnumsocket.Readable {
		return false
	}
	now, more := time.Now(), headerTimeout
	switch {
	case now.Before(c.dropUntil):
		more = lingerTime
	case c.serving || c.extended:
		return false
	default:
		c.extended = true
	}
	return c.Conn.SetReadDeadline(now.Add(more)) == nil
}

// setDropUntil sets until when the rest of a refused body is read while bytes of it wait in the kernel.
func (c *callerConn) setDropUntil(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropUntil = at
}

// setServing records that a request's head has been read, or that the request has been answered.
func (c *callerConn) setServing(serving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.extended, c.dropUntil = serving, false, time.Time{}
}

// onEarly sets the function that is called once the server does not watch the connection while a request is served; nil for none.
func (c *callerConn) onEarly(fn func()) {
	c.mu.Lock()
	early := c.early
	c.noteEarly = fn
	c.mu.Unlock()
	if early && fn != nil {
		fn()
	}
}

func (c *callerConn) setEarly(early bool) {
	c.mu.Lock()
	begins := early && !c.early
	c.early = early
	note := c.noteEarly
	c.mu.Unlock()
	if begins && note != nil {
		note()
	}
}

// SyscallConn implements syscall.Conn, so that the connection's socket can be looked at.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// NetConn returns the connection below, as a tls.Conn does.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// begin records that a part of a request has been read: the rest of it may be read even after retire.
func (c *callerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired && !c.busy {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.busy = true
}

func (c *callerConn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.endIdle()
}

func (c *callerConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.endIdle()
}

// endIdle ends the read of an idle connection that is retired, for which the server closes it. A read that has got bytes meanwhile
// returns them. It must be called with the mutex held.
func (c *callerConn) endIdle() {
	if c.retired && !c.busy {
		c.readDeadline = longAgo
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// SetReadDeadline sets the deadline of reads, unless the connection is retired and idle.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired && !c.busy {
		return nil
	}
	c.readDeadline = at
	return c.Conn.SetReadDeadline(at)
}

// CloseWrite closes the connection for writing, once the caller has taken what is held for it.
func (c *callerConn) CloseWrite() error {
	if bs := c.backlogs.Load(); bs != nil && bs.closeLater(c, true) {
		return nil
	}
	return c.closeWriteNow()
}

func (c *callerConn) closeWriteNow() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// Close closes the connection, once the caller has taken what is held for it.
func (c *callerConn) Close() error {
	if bs := c.backlogs.Load(); bs != nil && bs.closeLater(c, false) {
		return nil
	}
	return c.closeNow()
}

func (c *callerConn) closeNow() error {
	defer c.callers.closed(c)
	return c.Conn.Close()
}

// resetCaller has a caller's connection closed with a reset.
func resetCaller(conn net.Conn) {
	if own, ok := conn.(*callerConn); ok {
		conn = own.Conn
	}
	laburnumsocket.ResetOnClose(conn)
}
