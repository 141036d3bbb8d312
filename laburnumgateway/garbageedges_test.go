package laburnumgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"laburnumlever/laburnumgateway"
)

// failures returns how many faults of servers the gateway reports.
func failures(b *harness) int {
	n := 0
	for _, o := range b.fleet.GatewayReport().Outcomes {
		n += o.Failed
	}
	return n
}

func head(conn net.Conn, a receivedRequest, lines string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: spoiled\r\n%s\r\n", idHeader, a.request.Header.Get(idHeader), stampHeader, lines)
}

// Guards against bytes of a streaming route's server that are forwarded unchecked since their head names no event stream.
func TestAnswerOfAStreamRouteIsAStream(t *testing.T) {
	for name, lines := range map[string]string{
		"other type": "Content-Type: application/octet-stream\r\n", "no type": "",
	} {
		t.Run(name, func(t *testing.T) {
			b := newSpoilingHarness(t, func(conn net.Conn, a receivedRequest) {
				head(conn, a, lines+"Transfer-Encoding: chunked\r\n")
				writeChunk(conn, event(1)+"\x93\x1f\x00garbage\xff\n\n")
				writeLastChunk(conn)
			})
			got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
			assert.Equal(t, eventsUpTo(streamLength), got.body)
			assert.Equal(t, "s1", got.header.Get(stampHeader))
		})
	}
}

// Guards against a server that answers streams with other successes and keeps its work, and against other answers taken for such.
func TestOnlyASuccessThatIsNoStreamIsGarbage(t *testing.T) {
	for name, tt := range map[string]struct {
		status      int
		contentType string
		want        int
		garbage     int
	}{
		"other type":    {http.StatusOK, "text/plain", http.StatusBadGateway, 1},
		"no type":       {http.StatusOK, "", http.StatusBadGateway, 1},
		"other success": {http.StatusCreated, "text/event-stream", http.StatusBadGateway, 1},
		"charset":       {http.StatusOK, "Text/Event-Stream; charset=utf-8", http.StatusOK, 0},
		"bad parameter": {http.StatusOK, "text/event-stream; charset", http.StatusOK, 0},
		"refusal":       {http.StatusNotFound, "application/json", http.StatusNotFound, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
				writeAnswer(conn, a, tt.status, eventsUpTo(1), "Content-Type: "+tt.contentType)
			})
			scope := tally.NewTestScope("", nil)
			b := newUnconfiguredHarness(t, laburnumgateway.WithScope(scope))
			b.fleet.HandleRoutes(testRoutes())
			b.announce(server.heartbeat("quotes", "m0"))
			got := b.send("POST", "/draft/x", "oak", "X-Laburnumlever-Model", "m0")
			require.NoError(t, got.err)
			require.Equal(t, tt.want, got.status)
			require.Equal(t, tt.garbage == 0, got.body == eventsUpTo(1), got.body)
			require.EqualValues(t, tt.garbage, scope.Snapshot().Counters()["garbage_received+kind=no-stream"].Value())
			require.Equal(t, tt.garbage, failures(b))
		})
	}
}

// Guards against a server whose garbage isn't held against it.
func TestSpoiledStreamIsAFault(t *testing.T) {
	for name, spoil := range map[string]func(conn net.Conn){
		"control: block of garbage":         func(conn net.Conn) { writeChunk(conn, "\x93\xff\n\n"); writeLastChunk(conn) },
		"garbage without a line, whole end": func(conn net.Conn) { writeChunk(conn, "\x93\xffgarbage"); writeLastChunk(conn) },
		"raw bytes in the framing":          func(conn net.Conn) { fmt.Fprint(conn, "\x93\xffgarbage\r\n\r\n") },
		"long line in the framing":          func(conn net.Conn) { fmt.Fprint(conn, strings.Repeat("\x93", 9000)) },
		"line without an end":               func(conn net.Conn) { writeChunk(conn, strings.Repeat("\x93", 3<<20)); writeLastChunk(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newSpoilingHarness(t, func(conn net.Conn, a receivedRequest) {
				writeEvents(conn, a, 1, 3)
				spoil(conn)
			})
			got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
			require.Equal(t, eventsUpTo(streamLength), got.body)
			require.Equal(t, 1, failures(b))
		})
	}
}

// Guards against a server that answers a stream which it takes up with anything else, and is taken for one that answered well.
func TestWrongAnswerToAResumedStreamIsAFault(t *testing.T) {
	for name, status := range map[string]int{"200": 200, "404": 404, "500": 500} {
		t.Run(name, func(t *testing.T) {
			server := func(conn net.Conn, a receivedRequest, _ int) {
				if a.request.Header.Get("Last-Event-Id") == "" {
					writeEvents(conn, a, 1, 3)
					writeChunk(conn, "\x93\xff\n\n")
					return
				}
				writeAnswer(conn, a, status, "garbage")
			}
			b := newHarness(t, newBackend(t, "i-1", server).heartbeat("quotes", "m0"), newBackend(t, "i-2", server).heartbeat("quotes", "m0"))
			got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
			require.Error(t, got.err)
			require.Equal(t, 2, failures(b), "%+v", b.fleet.GatewayReport().Outcomes)
		})
	}
}

// Guards against a connection lost behind the head of a stream that is taken up, which is taken for the end of the stream.
func TestLostConnectionDoesNotEndAResumedStream(t *testing.T) {
	server := func(conn net.Conn, a receivedRequest, _ int) {
		if a.request.Header.Get("Last-Event-Id") == "" {
			writeEvents(conn, a, 1, 3)
			writeChunk(conn, "\x93\xff\n\n")
			return
		}
		head(conn, a, "Content-Type: text/event-stream\r\nConnection: close\r\n")
		_ = conn.Close()
	}
	b := newHarness(t, newBackend(t, "i-1", server).heartbeat("quotes", "m0"), newBackend(t, "i-2", server).heartbeat("quotes", "m0"))
	got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
	assert.Error(t, got.err, "complete with %q", got.body)
	got = b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0", "Last-Event-Id", "3", "X-Laburnumlever-Resumes", "r-1", idHeader, "r-2")
	assert.NotEqual(t, http.StatusOK, got.status, "status")
}

// Guards against a long answer that breaks and counts as a good one.
func TestBrokenLongAnswerIsAFailure(t *testing.T) {
	var requests atomic.Int32
	last := []string{"\x93\xffgarbage\r\n\r\n", "", "9\r\ncut"}
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		head(conn, a, "Transfer-Encoding: chunked\r\n")
		for range 40 {
			writeChunk(conn, strings.Repeat("x", 64<<10))
		}
		fmt.Fprint(conn, last[requests.Add(1)-1])
		_ = conn.Close()
	})
	b := newHarness(t, server.heartbeat("booking"))
	for range last {
		require.Error(t, b.send("POST", "/confirm/x", "oak").err)
	}
	outcomes := b.fleet.GatewayReport().Outcomes
	require.Len(t, outcomes, 1)
	require.Equal(t, 1, outcomes[0].Failed, "garbage is a fault, a lost connection need not be one")
	require.Zero(t, outcomes[0].Answered)
}

// Guards against refusing what a server of another kind of route answers to a Last-Event-Id, as if the stream had to begin anew.
func TestLastEventOfOtherRoutes(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		last := 0
		_, _ = fmt.Sscan(a.request.Header.Get("Last-Event-Id"), &last)
		writeAnswer(conn, a, 200, strings.TrimPrefix(eventsUpTo(streamLength), eventsUpTo(last)), "Content-Type: text/event-stream")
	})
	b := newHarness(t, server.heartbeat("booking"))
	for _, id := range []string{"", "0", "2", " 2 ", "six"} {
		got := b.send("GET", "/lookup/x", "", "Last-Event-Id", id)
		assert.Equal(t, 200, got.status, "%q %v %q", id, got.err, got.body)
	}
}
