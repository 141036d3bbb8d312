package laburnumupstream_test

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumupstream"
)

// Guards against a server that crashed while it wrote a head, and is taken for one that sends garbage.
func TestCutHeadIsALostConnection(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Laburnumlever-Request-Id: r-1\r\nContent-Length: 2\r\n\r\n"
	var garbage []string
	for cut := range len(head) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			if conn, err := ln.Accept(); err == nil {
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = conn.Write([]byte(head[:cut]))
				_ = conn.Close()
			}
		}()
		conn, err := laburnumupstream.New().Get(t.Context(), ln.Addr().String(), 0)
		require.NoError(t, err)
		_, err = conn.Exchange(laburnumupstream.Request{Method: http.MethodGet, URI: "/x", Host: "h"})
		require.Error(t, err)
		var no *laburnumupstream.NoAnswerError
		if errors.As(err, &no) {
			garbage = append(garbage, head[:cut])
		}
		conn.Abort()
		_ = ln.Close()
	}
	require.Empty(t, garbage, "%d of %d cuts", len(garbage), len(head))
}
