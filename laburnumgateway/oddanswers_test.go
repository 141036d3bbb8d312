package laburnumgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"laburnumlever/laburnumgateway"
)

// Guards against a promise that a request did not run, made to its caller although its server may have run it.
func TestUnmarkedRefusalsPromiseNothing(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, status, "error") })
			got := newHarness(t, server.heartbeat("booking")).send("POST", "/confirm/x", "visit")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusBadGateway, got.status)
		})
	}
}

// Guards against heads that parse and make no sense, which end the caller's connection or reach the caller.
func TestSenselessHeadsReachNoCaller(t *testing.T) {
	for name, text := range map[string]string{
		"status below 100":     "HTTP/1.1 099 Odd\r\nID%s: x\r\nContent-Length: 2\r\n\r\nok",
		"status 0":             "HTTP/1.1 000 Odd\r\nID%s: x\r\nContent-Length: 2\r\n\r\nok",
		"switching protocols":  "HTTP/1.1 101 Switching Protocols\r\nID%s: x\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\nok",
		"two lengths":          "HTTP/1.1 200 OK\r\nID%s: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
		"two lengths in one":   "HTTP/1.1 200 OK\r\nID%s: x\r\nContent-Length: 1, 2\r\n\r\nok",
		"unknown coding":       "HTTP/1.1 200 OK\r\nID%s: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks of HTTP/1.0":   "HTTP/1.0 200 OK\r\nID%s: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"garbage as a trailer": "HTTP/1.1 200 OK\r\nID%s: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\x93\xff\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			answer := func(conn net.Conn, a receivedRequest, n int) {
				if requests.Add(1) > 1 {
					answerOK(conn, a, n)
					return
				}
				fmt.Fprint(conn, strings.Replace(strings.Replace(text, "ID", idHeader+": r-1\r\n", 1), "%s", stampHeader, 1))
				_ = conn.Close()
			}
			b := newHarness(t, newBackend(t, "i-1", answer).heartbeat("booking"), newBackend(t, "i-2", answer).heartbeat("booking"))
			got := b.send("GET", "/lookup/x", "")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "done", got.body)
			require.Zero(t, b.gateway.InFlight())
		})
	}
}

// noStatuses are what a status line may bear in the place of a status.
var noStatuses = []string{"000", "001", "099", "600", "999", "0x0", "+20", "1000", "20", "", "101"}

// oddStatus returns an answer with a status that is none, and whole otherwise.
func oddStatus(status, id, contentType string) string {
	return fmt.Sprintf("HTTP/1.1 %s Odd\r\n%s: %s\r\n%s: s1\r\nContent-Type: %s\r\nContent-Length: 2\r\n\r\nok", status, idHeader, id, stampHeader, contentType)
}

// Guards against an answer whose status is none and that its caller gets as an answer, on routes whose requests run once and on streams.
func TestStatusThatIsNoneReachesNoCaller(t *testing.T) {
	for _, status := range noStatuses {
		for path, model := range map[string]string{"/confirm/x": "", "/quote/x": "m0"} {
			t.Run(status+path, func(t *testing.T) {
				odd := func(conn net.Conn, a receivedRequest, _ int) {
					fmt.Fprint(conn, oddStatus(status, a.request.Header.Get(idHeader), a.request.Header.Get("Accept")))
					_ = conn.Close()
				}
				b := newHarness(t, newBackend(t, "i-1", odd).heartbeat("booking"), newBackend(t, "i-2", odd).heartbeat("quotes", "m0"))
				got := b.send("POST", path, "visit", "X-Laburnumlever-Model", model, "Accept", "text/event-stream")
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Equal(t, "backend-error\n", got.body)
				require.Empty(t, got.header.Get(stampHeader))
			})
		}
	}
}

// Guards against a stream that is taken up with an answer whose status is none.
func TestStreamIsNotTakenUpWithAStatusThatIsNone(t *testing.T) {
	for _, status := range noStatuses {
		t.Run(status, func(t *testing.T) {
			var requests atomic.Int32
			answer := func(conn net.Conn, a receivedRequest, _ int) {
				switch requests.Add(1) {
				case 1:
					writeEvents(conn, a, 1, 1)
					_ = conn.Close()
				case 2:
					fmt.Fprint(conn, oddStatus(status, a.request.Header.Get(idHeader), "text/event-stream"))
					_ = conn.Close()
				default:
					writeEvents(conn, a, 2, 2)
					writeLastChunk(conn)
				}
			}
			b := newUnconfiguredHarness(t, laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}))
			routes := testRoutes()
			for i := range routes.Routes {
				routes.Routes[i].MaxAttempts = 3
			}
			b.fleet.HandleRoutes(routes)
			b.announce(newBackend(t, "i-1", answer).heartbeat("quotes", "m0"), newBackend(t, "i-2", answer).heartbeat("quotes", "m0"), newBackend(t, "i-3", answer).heartbeat("quotes", "m0"))
			got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, eventsUpTo(2), got.body)
		})
	}
}

// Guards against a stream cut at any byte that ends as complete, and against garbage that is told of a server which only crashed.
func TestStreamCutAtAnyByteGoesOnAndIsNoGarbage(t *testing.T) {
	whole := ""
	for i := 1; i <= 2; i++ {
		whole += fmt.Sprintf("%x\r\n%s\r\n", len(event(i)), event(i))
	}
	whole += "0\r\n\r\n"
	begin := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: r-1\r\n%s: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", idHeader, stampHeader)
	for cut := range len(whole) {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			var requests atomic.Int32
			answer := func(conn net.Conn, a receivedRequest, _ int) {
				if requests.Add(1) == 1 {
					fmt.Fprint(conn, begin+whole[:cut])
					_ = conn.Close()
					return
				}
				last := 0
				_, _ = fmt.Sscan(a.request.Header.Get("Last-Event-Id"), &last)
				writeEvents(conn, a, last+1, 2)
				writeLastChunk(conn)
			}
			scope := tally.NewTestScope("", nil)
			b := newUnconfiguredHarness(t, laburnumgateway.WithScope(scope), laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}))
			b.fleet.HandleRoutes(testRoutes())
			b.announce(newBackend(t, "i-1", answer).heartbeat("quotes", "m0"), newBackend(t, "i-2", answer).heartbeat("quotes", "m0"))
			got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
			require.NoError(t, got.err)
			require.Equal(t, eventsUpTo(2), got.body)
			for name, c := range scope.Snapshot().Counters() {
				require.False(t, strings.HasPrefix(name, "garbage_received") && c.Value() > 0, "%s after %q", name, whole[:cut])
			}
		})
	}
}
