package laburnumupstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumtunnel"
	"laburnumlever/laburnumupstream"
)

// oneHelper names the same helper always.
type oneHelper string

func (h oneHelper) Helpers(context.Context) (laburnumtunnel.Helpers, error) {
	return laburnumtunnel.Helpers{Near: []string{string(h)}}, nil
}

// Guards against a healthy server behind a helper that seems to send bytes behind its answer, and against such bytes that nobody notices.
func TestBytesBehindAnAnswerAreToldFromMarksOfAHelper(t *testing.T) {
	for name, tt := range map[string]struct {
		after func(conn net.Conn, helper *laburnumtunnel.Server)
		want  bool
	}{
		"nothing":           {func(net.Conn, *laburnumtunnel.Server) {}, false},
		"the server closes": {func(conn net.Conn, _ *laburnumtunnel.Server) { _ = conn.Close() }, false},
		"the helper leaves": {func(_ net.Conn, h *laburnumtunnel.Server) { go h.Drain(context.Background()) }, false},
		"bytes":             {func(conn net.Conn, _ *laburnumtunnel.Server) { _, _ = io.WriteString(conn, "garbage") }, true},
		"bytes, then it closes": {func(conn net.Conn, _ *laburnumtunnel.Server) {
			_, _ = io.WriteString(conn, "garbage")
			_ = conn.Close()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			helper := laburnumtunnel.NewServer(func(string) bool { return true }, func() bool { return true })
			helperListener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := &http.Server{Handler: helper, ReadHeaderTimeout: time.Second}
			go func() { _ = server.Serve(helperListener) }()
			t.Cleanup(func() { _ = server.Close() })
			read, done := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(done)
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = conn.Close() })
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
				<-read
				tt.after(conn, helper)
			}()
			timers := laburnumtimer.New()
			defer timers.Close()
			pool := laburnumupstream.New(laburnumupstream.WithTunnels(laburnumtunnel.NewClient(oneHelper(helperListener.Addr().String()), timers)))
			pool.UseTunnels(true)
			conn, err := pool.Get(t.Context(), ln.Addr().String(), 0)
			require.NoError(t, err)
			defer conn.Abort()
			resp, err := conn.Exchange(laburnumupstream.Request{Method: http.MethodGet, URI: "/x", Host: "h"})
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, "ok", string(body))
			close(read)
			<-done
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, tt.want, conn.BytesFollow())
		})
	}
}
