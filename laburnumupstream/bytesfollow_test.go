package laburnumupstream_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumupstream"
)

// Guards against bytes behind an answer that nobody notices since their server closed the connection after them.
func TestBytesBehindAnAnswerAreNoticed(t *testing.T) {
	for name, tt := range map[string]struct {
		behind string
		closes bool
		want   bool
	}{
		"nothing": {"", false, false}, "closed": {"", true, false}, "bytes": {"garbage", false, true}, "bytes, then closed": {"garbage", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			read, written := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(written)
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
				<-read
				_, _ = conn.Read(make([]byte, 1<<10)) // unread bytes would make the close a reset
				_, _ = io.WriteString(conn, tt.behind)
				if tt.closes {
					_ = conn.Close()
					return
				}
				t.Cleanup(func() { _ = conn.Close() })
			}()
			conn, err := laburnumupstream.New().Get(t.Context(), ln.Addr().String(), 0)
			require.NoError(t, err)
			defer conn.Abort()
			resp, err := conn.Exchange(laburnumupstream.Request{Method: http.MethodGet, URI: "/x", Host: "h"})
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, "ok", string(body))
			close(read)
			<-written
			time.Sleep(50 * time.Millisecond)
			require.Equal(t, tt.want, conn.BytesFollow())
		})
	}
}
