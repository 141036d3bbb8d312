package laburnumgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumquarantine"
)

const partsHeader = "X-Laburnumlever-Prefix-Hash"

// deadPart is a part at the service of engines.
var deadPart = laburnumquarantine.Part{Service: "quotes", ID: 0xdead}

// listPart has a control VM list a part, with the time until its next trial.
func (b *harness) listPart(state laburnumquarantine.State, retryIn time.Duration) {
	b.fleet.HandleAnswer("a", laburnumfeed.Answer{Quarantine: []laburnumquarantine.Entry{{
		Digest: deadPart.Digest(), Part: &deadPart, State: state, RetryIn: laburnumlever.Duration(retryIn),
	}}})
}

// quote sends a request with parts, none of them the last.
func (b *harness) quote(body, parts string) callerResponse {
	return b.send("POST", "/quote/x", body, "X-Laburnumlever-Model", "m0", partsHeader, parts+",99:5")
}

// streamWhole answers with a whole stream.
func streamWhole(conn net.Conn, a receivedRequest, _ int) {
	writeEvents(conn, a, 1, 2)
	writeLastChunk(conn)
}

// Guards against a request that waits, or is sent, although it is known that a part of its prompt crashes engines.
func TestRequestWithARefusedPartIsRefusedAtOnce(t *testing.T) {
	server := newBackend(t, "i-1", streamWhole)
	b, reports, scope := newQuarantineHarnessWith(t, stillClock(), server.heartbeat("quotes", "m0"))
	b.listPart(laburnumquarantine.Quarantined, 40*time.Second)
	got := b.quote("one", "aa:10,dead:10")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "part-quarantined\n", got.body)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 40, after, 1, "the time until the next trial")
	require.Equal(t, int64(1), scope.Snapshot().Counters()["refusals+reason=part-quarantined"].Value())
	require.Equal(t, []laburnumlever.RequestDigest{deadPart.Digest()}, reports.sent().Refused)
	require.Empty(t, server.requests())
	require.Equal(t, 200, b.quote("two", "aa:10").status, "the other parts are served")
	require.Equal(t, 200, b.send("POST", "/quote/x", "three", "X-Laburnumlever-Model", "m0", partsHeader, "aa:10,dead:10").status, "the last part is the request's own")
	b.listPart(laburnumquarantine.Cleared, 0)
	require.Equal(t, 200, b.quote("four", "aa:10,dead:10").status)
}

// Guards against a request that waits for a slot although it is known by now that a part of its prompt crashes engines.
func TestQueuedRequestIsRefusedWithItsPart(t *testing.T) {
	server := newBackend(t, "i-1", streamWhole)
	b, _, _ := newQuarantineHarnessWith(t, stillClock(), server.heartbeat("quotes", "m1"))
	ended := make(chan callerResponse, 1)
	go func() { ended <- b.quote("one", "aa:10,dead:10") }()
	require.Eventually(t, func() bool { return b.fleet.Status().Queued == 1 }, 10*time.Second, time.Millisecond)
	b.listPart(laburnumquarantine.Quarantined, time.Minute)
	require.Equal(t, "part-quarantined\n", (<-ended).body)
	require.Empty(t, server.requests())
}

// Guards against a queued request that is told that servers are limited, since its part may be tried at once and the queue is woken twice.
func TestQueuedRequestThatMayBeATrialStaysQueued(t *testing.T) {
	server := newBackend(t, "i-1", streamWhole)
	b, _, _ := newQuarantineHarnessWith(t, stillClock(), server.heartbeat("quotes", "m1"))
	ended := make(chan callerResponse, 1)
	go func() { ended <- b.quote("one", "aa:10,dead:10") }()
	require.Eventually(t, func() bool { return b.fleet.Status().Queued == 1 }, 10*time.Second, time.Millisecond)
	b.listPart(laburnumquarantine.Quarantined, 0)
	for i := range 3 {
		b.list("b", laburnumquarantine.Held, digestOf("POST", "/quote/x", fmt.Sprint("other-", i)))
		require.Never(t, func() bool { return len(ended) > 0 }, 50*time.Millisecond, time.Millisecond)
	}
	b.listPart(laburnumquarantine.Cleared, 0)
	b.listPart(laburnumquarantine.Quarantined, time.Minute)
	require.Equal(t, "part-quarantined\n", (<-ended).body)
}

// Guards against several trials of a part at one gateway, and against one that no control VM has granted.
func TestRefusedPartIsNotTriedWithoutAControlVM(t *testing.T) {
	server := newBackend(t, "i-1", streamWhole)
	b, _, _ := newQuarantineHarness(t, server.heartbeat("quotes", "m0"))
	b.listPart(laburnumquarantine.Quarantined, 0)
	require.Equal(t, "part-quarantined\n", b.quote("one", "dead:10").body)
	require.Empty(t, server.requests())
}

// Guards against an engine that crashes without a word on the parts of what it ran, and on when these were last answered.
func TestPartsOnACrashedServerAreReported(t *testing.T) {
	var crashing *backend
	crashing = newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, n int) {
		if n == 1 {
			streamWhole(conn, a, n)
			return
		}
		crashAtOnce(func() net.Listener { return crashing.ln })(conn, a, n)
	})
	b, reports, _ := newQuarantineHarness(t, crashing.heartbeat("quotes", "m0"))
	require.Equal(t, 200, b.quote("one", "aa:10").status)
	require.Equal(t, http.StatusBadGateway, b.quote("two", "aa:10,dead:10").status)
	require.Eventually(t, func() bool { return len(reports.sent().Parts) == 2 }, 10*time.Second, time.Millisecond)
	for _, s := range reports.sent().Parts {
		require.Equal(t, 1, s.Requests)
		require.Equal(t, s.ID == 0xaa, !s.AnsweredAt.IsZero() && s.AnsweredAt.Before(s.CrashedAt), "part %s", s.ID)
	}
}

// Guards against a part that stays refused at all gateways although one of them has an answer to it.
func TestAnswerToAListedPartIsReported(t *testing.T) {
	server := newBackend(t, "i-1", streamWhole)
	b, reports, _ := newQuarantineHarness(t, server.heartbeat("quotes", "m0"))
	require.Equal(t, 200, b.quote("one", "dead:10").status)
	b.listPart(laburnumquarantine.Suspect, 0)
	require.Len(t, reports.sent().Answers, 1, "an answer from before")
	before := reports.sent().Answers[0].AnsweredAt
	require.Equal(t, 200, b.quote("two", "dead:10").status)
	require.Equal(t, deadPart, reports.sent().Answers[0].Part)
	require.True(t, reports.sent().Answers[0].AnsweredAt.After(before))
}

// unframedHead writes the head of an answer that ends with its connection.
func unframedHead(conn net.Conn, a receivedRequest) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		idHeader, a.request.Header.Get(idHeader), stampHeader)
}

// Guards against clearing a request or a part by an answer whose end may have been a crash.
func TestAnswerThatEndsWithItsConnectionClearsNothing(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		unframedHead(conn, a)
		fmt.Fprint(conn, "id: 1\ndata: word\n\n")
		_ = conn.Close()
	})
	b, reports, _ := newQuarantineHarness(t, server.heartbeat("quotes", "m0"))
	b.listPart(laburnumquarantine.Suspect, 0)
	b.list("b", laburnumquarantine.Suspect, digestOf("POST", "/quote/x", "one"))
	got := b.quote("one", "dead:10")
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: word\n\n", got.body)
	require.Empty(t, reports.sent().Answers)
	require.Empty(t, reports.sent().Completed)
}

// Guards against a part that no answer can clear since all of them end with their connections.
func TestLongAnswerThatEndsWithItsConnectionClearsAPart(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		unframedHead(conn, a)
		fmt.Fprint(conn, "id: 1\ndata: one\n\n")
		<-time.After(600 * time.Millisecond)
		fmt.Fprint(conn, "id: 2\ndata: two\n\n")
		_ = conn.Close()
	})
	b, reports, _ := newQuarantineHarness(t, server.heartbeat("quotes", "m0"))
	b.listPart(laburnumquarantine.Suspect, 0)
	require.NoError(t, b.quote("one", "dead:10").err)
	require.Len(t, reports.sent().Answers, 1)
}

// Guards against a stream cut inside an event that reaches its caller as whole, and against one that isn't resumed where it may be.
func TestStreamCutInsideAnEventIsBrokenOff(t *testing.T) {
	var runs atomic.Int64
	cut := func(conn net.Conn, a receivedRequest, _ int) {
		unframedHead(conn, a)
		if runs.Add(1) == 1 || a.request.URL.Path == "/draft/x" {
			fmt.Fprint(conn, "id: 1\ndata: one\n\nid: 2\ndata: tw")
		} else {
			fmt.Fprint(conn, "id: 2\ndata: two\n\n")
		}
		_ = conn.Close()
	}
	first, second := newBackend(t, "i-1", cut), newBackend(t, "i-2", cut)
	b, _, _ := newQuarantineHarness(t, first.heartbeat("quotes", "m0"), second.heartbeat("quotes", "m0"))
	got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n", got.body)
	got = b.send("POST", "/draft/x", "oak", "X-Laburnumlever-Model", "m0")
	require.Error(t, got.err)
	require.Equal(t, "id: 1\ndata: one\n\n", got.body)
}
