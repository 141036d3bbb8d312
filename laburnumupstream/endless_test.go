package laburnumupstream_test

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumupstream"
)

const (
	// maxTaken is more than a limited head and the socket buffers of a loopback connection hold.
	maxTaken = 8 << 20
	// noticeTime is how long bytes may come that can be no answer.
	noticeTime = 2 * time.Second
)

// endlessServer answers a request with a beginning and then with a piece over and over, until its peer ends the connection. It counts
// the bytes that it could write.
func endlessServer(t *testing.T, beginning, piece string) (address string, written *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	written = &atomic.Int64{}
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for next := []byte(beginning); ; next = []byte(piece) {
			n, err := conn.Write(next)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return ln.Addr().String(), written
}

// Guards against bytes without end in place of an answer's head, which are taken until the request's deadline and fill the memory.
func TestBytesWithoutEndAreNoHead(t *testing.T) {
	tests := map[string]struct{ beginning, piece string }{
		"no-status-line":      {"garbage", "xxxxxxxxxxxxxxxx"},
		"status-line":         {"HTTP/1.1 200 ", "xxxxxxxxxxxxxxxx"},
		"header-name":         {"HTTP/1.1 200 OK\r\n", "xxxxxxxxxxxxxxxx"},
		"header-value":        {"HTTP/1.1 200 OK\r\nA: ", "xxxxxxxxxxxxxxxx"},
		"header-fields":       {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational":       {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"long-informational":  {"", "HTTP/1.1 103 Early Hints\r\nLink: </xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx>\r\n\r\n"},
		"other-version":       {"HTTP/2.0 200 OK\r\n", "A: b\r\n"},
		"empty-lines":         {"", "\r\n"},
		"folded-header-field": {"HTTP/1.1 200 OK\r\nA: b\r\n", " b\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, written := endlessServer(t, test.beginning, test.piece)
			conn, err := laburnumupstream.New().Get(t.Context(), address, 0)
			require.NoError(t, err)
			defer conn.Abort()
			require.NoError(t, conn.SetDeadline(time.Now().Add(testPatience)))
			began := time.Now()
			resp, err := conn.Exchange(laburnumupstream.Request{Method: http.MethodGet, URI: "/x", Host: "h"})
			if err == nil {
				_ = resp.Body.Close()
			}
			var wrong *laburnumupstream.NoAnswerError
			require.ErrorAs(t, err, &wrong)
			require.Less(t, time.Since(began), noticeTime)
			require.Less(t, written.Load(), int64(maxTaken))
		})
	}
}

// Guards against waiting for an answer after a first byte that can begin none.
func TestFirstWrongByteIsNoAnswer(t *testing.T) {
	for _, text := range []string{"g", "HTTP/1.1200", "HTTP/3"} {
		t.Run(text, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			go func() {
				if conn, err := ln.Accept(); err == nil {
					t.Cleanup(func() { _ = conn.Close() })
					_, _ = conn.Write([]byte(text))
				}
			}()
			conn, err := laburnumupstream.New().Get(t.Context(), ln.Addr().String(), 0)
			require.NoError(t, err)
			defer conn.Abort()
			require.NoError(t, conn.SetDeadline(time.Now().Add(testPatience)))
			began := time.Now()
			_, err = conn.Exchange(laburnumupstream.Request{Method: http.MethodGet, URI: "/x", Host: "h"})
			var wrong *laburnumupstream.NoAnswerError
			require.ErrorAs(t, err, &wrong)
			require.Less(t, time.Since(began), noticeTime)
		})
	}
}

// Guards against an answer that is lost behind informational ones.
func TestAnswerBehindInformationalOnesIsRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		if conn, err := ln.Accept(); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			_, _ = conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
		}
	}()
	conn, err := laburnumupstream.New().Get(t.Context(), ln.Addr().String(), 0)
	require.NoError(t, err)
	defer conn.Abort()
	resp, err := conn.Exchange(laburnumupstream.Request{Method: http.MethodGet, URI: "/x", Host: "h"})
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}
