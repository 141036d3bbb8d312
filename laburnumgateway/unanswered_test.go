package laburnumgateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an empty success for a caller that closes its side of the connection for writing and waits for the answer.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	arrived := make(chan struct{}, 1)
	server := newBackend(t, "i-1", func(conn net.Conn, _ receivedRequest, _ int) {
		arrived <- struct{}{}
		_, _ = io.Copy(io.Discard, conn) // until the gateway closes it
	})
	b := newHarness(t, server.heartbeat("booking"))
	c := b.dialRaw()
	c.writeHead("/confirm/x", "Content-Length: 0")
	<-arrived
	require.NoError(t, c.conn.(*net.TCPConn).CloseWrite())
	require.Equal(t, http.StatusBadGateway, c.read().StatusCode)
}

// Guards against a cut stream that looks complete to a caller that has closed its side of the connection for writing.
func TestStreamOfAHalfClosedCallerDoesNotLookComplete(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 2)
		_, _ = io.Copy(io.Discard, conn)
	})
	b := newHarness(t, server.heartbeat("quotes", "m0"))
	c := b.dialRaw()
	c.writeHead("/draft/x", "X-Laburnumlever-Model: m0", "Content-Length: 0")
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(t, c.conn.(*net.TCPConn).CloseWrite())
	_, err = io.Copy(io.Discard, resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
