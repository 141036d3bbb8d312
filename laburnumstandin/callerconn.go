package laburnumstandin

import (
	"net"
	"sync"
)

// callerConn is a caller's connection that remembers whether it has read anything. http.Transport takes a connection for a reused one
// if its request had got another one before it was open.
type callerConn struct {
	net.Conn

	mu       sync.Mutex
	answered bool
}

// Answered reports whether the peer has answered on a connection of a PlatformCaller.
func Answered(conn net.Conn) bool {
	c, ok := conn.(*callerConn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.answered || n > 0
	return n, err
}
