package laburnumstandin

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// slowReadBuffer is what the kernel takes for a slow reader, in bytes.
const slowReadBuffer = 4 << 10

// callerConn is a caller's connection that remembers whether it has read anything. http.Transport takes a connection for a reused one
// if its request had got another one before it was open.
type callerConn struct {
	net.Conn
	// pause, unless nil, returns how long the next read waits.
	pause func() time.Duration

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
	if c.pause != nil {
		time.Sleep(c.pause())
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.answered || n > 0
	return n, err
}

// boundReadBuffer has the kernel take little for a connection that is about to be opened.
func boundReadBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, slowReadBuffer) // without it, it takes more
	})
}
