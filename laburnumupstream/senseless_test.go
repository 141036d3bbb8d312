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

// Guards against heads that parse and make no sense which count as answers, and against answers of HTTP/1.0 that count as such heads.
func TestSenselessHeadsAreNoAnswers(t *testing.T) {
	for name, tt := range map[string]struct {
		pieces []string
		body   string
		none   bool
	}{
		"000":                     {pieces: []string{"HTTP/1.1 000 Odd\r\n\r\n"}, none: true},
		"099":                     {pieces: []string{"HTTP/1.1 099 Odd\r\n\r\n"}, none: true},
		"600":                     {pieces: []string{"HTTP/1.1 600 Odd\r\n\r\n"}, none: true},
		"999":                     {pieces: []string{"HTTP/1.1 999 Odd\r\n\r\n"}, none: true},
		"four digits":             {pieces: []string{"HTTP/1.1 2000 Odd\r\n\r\n"}, none: true},
		"599":                     {pieces: []string{"HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok"}, body: "ok"},
		"101":                     {pieces: []string{"HTTP/1.1 101 Switching Protocols\r\n\r\n"}, none: true},
		"101 behind a 103":        {pieces: []string{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 101 Switching Protocols\r\n\r\n"}, none: true},
		"200 behind a 103":        {pieces: []string{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nok"}, body: "ok"},
		"chunks of HTTP/1.0":      {pieces: []string{"HTTP/1.0 200 OK\r\ntransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}, none: true},
		"in pieces":               {pieces: []string{"HTTP/1.0 200 OK\r\nA: b\r\nTransf", "er-Encoding: chunked\r\n\r\n2\r\nok\r\n"}, none: true},
		"HTTP/1.0":                {pieces: []string{"HTTP/1.0 200 OK\r\nA: b\r\n\r\nok"}, body: "ok"},
		"HTTP/1.0 in pieces":      {pieces: []string{"HTTP/1.0 200 OK\r\nA", ": b\r\n\r\no", "k"}, body: "ok"},
		"HTTP/1.0 and such bytes": {pieces: []string{"HTTP/1.0 200 OK\r\n\r\n\r\nTransfer-Encoding: chunked"}, body: "\r\nTransfer-Encoding: chunked"},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 1<<10)) // unread bytes would make the close a reset
				for _, piece := range tt.pieces {
					_, _ = io.WriteString(conn, piece)
					time.Sleep(20 * time.Millisecond)
				}
			}()
			conn, err := laburnumupstream.New().Get(t.Context(), ln.Addr().String(), 0)
			require.NoError(t, err)
			defer conn.Abort()
			resp, err := conn.Exchange(laburnumupstream.Request{Method: http.MethodGet, URI: "/x", Host: "h"})
			if tt.none {
				var none *laburnumupstream.NoAnswerError
				require.ErrorAs(t, err, &none)
				return
			}
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tt.body, string(body))
		})
	}
}
