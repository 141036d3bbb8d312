package laburnumgateway_test

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"laburnumlever/laburnumgateway"
)

// Guards against a stream that was taken up, is whole, and is cut since an extra answer came behind it and its route allows no other attempt.
func TestTakenUpStreamBeforeAnExtraAnswerIsNotCut(t *testing.T) {
	answer := func(conn net.Conn, a receivedRequest, _ int) {
		if a.request.Header.Get("Last-Event-Id") == "" {
			writeEvents(conn, a, 1, 3)
			_ = conn.Close()
			return
		}
		events := eventsUpTo(streamLength)[len(eventsUpTo(3)):]
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r-1\r\n%s: s1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\n%s: r-0\r\nContent-Length: 2\r\n\r\nok",
			idHeader, stampHeader, len(events), events, idHeader)
	}
	b := newHarness(t, newBackend(t, "i-1", answer).heartbeat("quotes", "m0"), newBackend(t, "i-2", answer).heartbeat("quotes", "m0"))
	got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
	assert.Equal(t, eventsUpTo(streamLength), got.body)
	assert.NoError(t, got.err)
}

// Guards against whole streams that are cut for want of a retry budget, which the doubts about the ends of others have used up.
func TestWholeStreamsBeforeExtraAnswersAreNotCutForWantOfABudget(t *testing.T) {
	extra := func(conn net.Conn, a receivedRequest, _ int) {
		from := 0
		_, _ = fmt.Sscan(a.request.Header.Get("Last-Event-Id"), &from)
		events := eventsUpTo(streamLength)[len(eventsUpTo(from)):]
		var text bytes.Buffer
		fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\n%s: r-1\r\n%s: s1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", idHeader, stampHeader, len(events), events)
		fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\n%s: r-0\r\n%s: s1\r\nContent-Length: 2\r\n\r\nok", idHeader, stampHeader)
		_, _ = conn.Write(text.Bytes())
	}
	whole := func(conn net.Conn, a receivedRequest, _ int) {
		from := 0
		_, _ = fmt.Sscan(a.request.Header.Get("Last-Event-Id"), &from)
		writeEvents(conn, a, from+1, streamLength)
		writeLastChunk(conn)
	}
	b := newUnconfiguredHarness(t, laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Ratio: 0.1, Slack: 2}))
	b.fleet.HandleRoutes(testRoutes())
	b.announce(newBackend(t, "i-1", extra).heartbeat("quotes", "m0"), newBackend(t, "i-2", whole).heartbeat("quotes", "m0"), newBackend(t, "i-3", whole).heartbeat("quotes", "m0"))
	cut := 0
	for range 60 {
		if b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0").err != nil {
			cut++
		}
	}
	assert.Zero(t, cut, "of 60, each of which was whole at its first server")
}
