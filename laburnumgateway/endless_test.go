package laburnumgateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumgateway"
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

// Guards against events and bodies without end that fill the memory of the VM, and against large answers that are lost to that bound.
func TestLargeAnswersShareABudgetOfBuffers(t *testing.T) {
	const large = 300 << 10
	endless := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 1)
		writeWithoutEnd(conn, "", fmt.Sprintf("%x\r\n%s\r\n", 1<<10, strings.Repeat("x", 1<<10)))
	})
	big := newBackend(t, "i-2", func(conn net.Conn, a receivedRequest, n int) {
		if n%2 == 1 && a.request.URL.Path == "/lookup/breaks" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r-1\r\nContent-Length: %d\r\n\r\n%s", idHeader, large, strings.Repeat("x", large-1))
			_ = conn.Close()
			return
		}
		writeAnswer(conn, a, http.StatusOK, strings.Repeat("x", large))
	})
	small := newUnconfiguredHarness(t, laburnumgateway.WithBufferBudget(1<<10), laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}))
	small.fleet.HandleRoutes(testRoutes())
	small.announce(endless.heartbeat("quotes", "m0"), big.heartbeat("booking"))
	began := time.Now()
	require.Error(t, small.send("POST", "/draft/x", "oak", "X-Laburnumlever-Model", "m0").err, "the stream is cut")
	require.Less(t, time.Since(began), noticedTime)
	require.Len(t, small.send("GET", "/lookup/x", "").body, large, "an answer beyond the budget is passed on as it comes")

	sound := newBackend(t, "i-3", func(conn net.Conn, a receivedRequest, _ int) {
		writeAnswer(conn, a, http.StatusOK, strings.Repeat("x", large))
	})
	ample := newHarness(t, big.heartbeat("booking"), sound.heartbeat("booking"))
	for range 4 {
		require.Len(t, ample.send("GET", "/lookup/breaks", "").body, large, "a broken answer within the budget is retried")
	}
}

// Guards against a long 503 that is passed on although its server may have run the request.
func TestLongUnmarked503IsNotReportedAsNotRun(t *testing.T) {
	for _, budget := range []int64{1 << 10, 32 << 20} {
		server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
			writeAnswer(conn, a, http.StatusServiceUnavailable, strings.Repeat("x", 2<<20))
		})
		b := newUnconfiguredHarness(t, laburnumgateway.WithBufferBudget(budget))
		b.fleet.HandleRoutes(testRoutes())
		b.announce(server.heartbeat("booking"))
		require.Equal(t, http.StatusBadGateway, b.send("POST", "/confirm/x", "visit").status)
	}
}
