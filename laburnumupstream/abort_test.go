package laburnumupstream_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumupstream"
)

const (
	heldBody       = 256 << 10 // more than a small receive buffer takes, less than the sender's holds
	smallBuffer    = 4 << 10
	testPatience   = 10 * time.Second
	heldWriteGrace = 100 * time.Millisecond
)

// Guards against requests that wait in the kernel and reach a server after they were given up.
func TestAbandonedRequestDoesNotReachItsServerLate(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			_ = conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
			accepted <- conn
		}
	}()
	pool := laburnumupstream.New()
	ctx, leave := context.WithCancel(t.Context())
	conn, err := pool.Get(ctx, ln.Addr().String(), 0)
	require.NoError(t, err)
	stop := conn.AbortOnDone(ctx)
	defer stop()
	far := <-accepted
	defer far.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Exchange(laburnumupstream.Request{Method: http.MethodPost, URI: "/x", Host: "h", Body: bytes.Repeat([]byte("x"), heldBody)})
		ended <- err
	}()
	select {
	case err := <-ended:
		t.Fatalf("ended before its caller left: %v", err)
	case <-time.After(heldWriteGrace):
	}
	leave()
	require.Error(t, <-ended)
	require.NoError(t, far.SetReadDeadline(time.Now().Add(testPatience)))
	got, err := io.Copy(io.Discard, far)
	require.Less(t, got, int64(heldBody), "the request must not be whole (%v)", err)
}
