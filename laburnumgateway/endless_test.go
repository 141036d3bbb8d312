package laburnumgateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// noticedTime is well below the deadline of the test's routes.
const noticedTime = time.Second

// writeWithoutEnd writes a beginning and then a piece over and over, until the peer ends the connection.
func writeWithoutEnd(conn net.Conn, beginning, piece string) {
	_, err := io.WriteString(conn, beginning)
	for err == nil {
		_, err = io.WriteString(conn, piece)
	}
}

// endlessHeads are bytes that are no answer, by where they stand.
var endlessHeads = map[string]struct{ beginning, piece string }{
	"status-line":   {"", "xxxxxxxxxxxxxxxx"},
	"header":        {"HTTP/1.1 200 OK\r\nA: ", "xxxxxxxxxxxxxxxx"},
	"informational": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
}

// Guards against callers who wait until their deadline for a server whose bytes can't be an answer, while another one would answer.
func TestRequestsMoveOnFromBytesWithoutEnd(t *testing.T) {
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			endless := newBackend(t, "i-1", func(conn net.Conn, _ receivedRequest, _ int) { writeWithoutEnd(conn, head.beginning, head.piece) })
			sound := newBackend(t, "i-2", answerOK)
			b := newHarness(t, endless.heartbeat("booking"), sound.heartbeat("booking"))
			for range 4 {
				began := time.Now()
				require.Equal(t, http.StatusOK, b.send("GET", "/lookup/x", "").status)
				require.Less(t, time.Since(began), noticedTime)
			}
			only := newHarness(t, endless.heartbeat("booking"))
			began := time.Now()
			require.Equal(t, http.StatusBadGateway, only.send("POST", "/confirm/x", "visit").status, "it may have run")
			require.Less(t, time.Since(began), noticedTime)
		})
	}
}

// Guards against streams that wait until their deadline for a server whose bytes can't be an answer.
func TestStreamsMoveOnFromBytesWithoutEnd(t *testing.T) {
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			endless := newBackend(t, "i-1", func(conn net.Conn, _ receivedRequest, _ int) { writeWithoutEnd(conn, head.beginning, head.piece) })
			sound := newBackend(t, "i-2", func(conn net.Conn, a receivedRequest, _ int) {
				writeEvents(conn, a, 1, 3)
				writeLastChunk(conn)
			})
			b := newHarness(t, endless.heartbeat("quotes", "m0"), sound.heartbeat("quotes", "m0"))
			for i := range 4 {
				began := time.Now()
				got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0", idHeader, fmt.Sprintf("r-%d", i))
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Less(t, time.Since(began), noticedTime)
			}
		})
	}
}
