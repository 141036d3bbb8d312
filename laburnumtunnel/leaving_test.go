package laburnumtunnel_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumtunnel"
)

// stillListener accepts connections whose bytes arrive late while the process stands still.
type stillListener struct {
	net.Listener
	// running is held while the process stands still.
	running *sync.RWMutex
}

func (l stillListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return stillConn{TCPConn: conn.(*net.TCPConn), running: l.running}, nil
}

type stillConn struct {
	*net.TCPConn
	running *sync.RWMutex
}

func (c stillConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.running.RLock()
	defer c.running.RUnlock()
	return n, err
}

// Guards against a helper that sends on what a VM gave up while the helper stood still.
func TestHelperThatStoodStillDropsWhatWasGivenUp(t *testing.T) {
	far := listen(t)
	got := make(chan []byte, 1)
	go func() {
		conn, err := far.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetReadDeadline(time.Now().Add(eventually))
		b, _ := io.ReadAll(conn) // a reset ends it, too
		got <- b
	}()
	address := far.Addr().String()
	server := laburnumtunnel.NewServer(func(a string) bool { return a == address }, func() bool { return true })
	ln, running := listen(t), &sync.RWMutex{}
	helper := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	go func() { _ = helper.Serve(stillListener{Listener: ln, running: running}) }()
	t.Cleanup(func() { _ = helper.Close() })
	conn, err := newClient(t, ln.Addr().String()).Dial(t.Context(), address)
	require.NoError(t, err)
	running.Lock()
	_, err = conn.Write([]byte("given up"))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	running.Unlock()
	require.Empty(t, string(<-got))
}

// Guards against a service that got the address of a helper, and whose bytes without end are taken for the head of an answer.
func TestBytesWithoutEndAreNoHelper(t *testing.T) {
	const maxTaken = 4 << 20 // more than a head may have and the socket buffers of a loopback connection hold
	ln := listen(t)
	taken := make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		n, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nA: ")
		for err == nil {
			var more int
			more, err = io.WriteString(conn, strings.Repeat("x", 1<<10))
			n += more
		}
		taken <- n
	}()
	_, err := newClient(t, ln.Addr().String()).Dial(t.Context(), "127.0.0.1:9")
	require.Error(t, err)
	require.Less(t, <-taken, maxTaken)
}
