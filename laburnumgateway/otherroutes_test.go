package laburnumgateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a stream that runs twice, since the late answer to a look was taken for that to the request.
func TestAnswerToALookIsNotThatToTheRequest(t *testing.T) {
	near := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		switch a.request.URL.Path {
		case "/health":
			writeAnswer(conn, a, http.StatusOK, "", loadHeader+"4,0,8,100") // an extra answer
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Laburnumlever-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			writeAnswer(conn, a, http.StatusOK, "id: 1\ndata: word\n\n", loadHeader+"1,0,8,300", "Content-Type: text/event-stream")
		}
	})
	far := newPacedEngine(t, "i-2", "1,0,8,300", "4,0,8,100")
	b := newLookHarness(t, true, near, far)
	got := b.send("POST", "/draft/x", "oak floor", "X-Laburnumlever-Model", "m0", "X-Laburnumlever-Prefix-Hash", longPrompt)
	t.Log(got.status, got.err, requestPaths(near), requestPaths(far))
	assert.Equal(t, 1, strings.Count(requestPaths(near)+" "+requestPaths(far), "/draft/x"), "runs")
}

// Guards against a healthy server that is taken for one that sends garbage, by a header of the caller alone.
func TestCallerCausesNoFaultOfAServer(t *testing.T) {
	whole := func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, streamLength)
		writeLastChunk(conn)
	}
	b := newHarness(t, newBackend(t, "i-1", whole).heartbeat("quotes", "m0"))
	got := b.send("POST", "/draft/x", "oak", "X-Laburnumlever-Model", "m0", "Last-Event-Id", "3")
	assert.Equal(t, 200, got.status)
	assert.Zero(t, failures(b))
}

// Guards against a whole answer without events of another kind of route that is refused, and counted against its server.
func TestEmptyEventStreamOfAnotherRoute(t *testing.T) {
	for _, method := range []string{"GET", "HEAD"} {
		b := newHarness(t, newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
			writeAnswer(conn, a, 200, "", "Content-Type: text/event-stream")
		}).heartbeat("booking"))
		assert.Equal(t, 200, b.send(method, "/lookup/x", "").status, method)
		assert.Zero(t, failures(b))
	}
}

// Guards against an answer that is no stream whose body differs from its server's.
func TestBodyOfAnotherRouteIsUnchanged(t *testing.T) {
	text := ": beat\n\nretry: 5\n\ndata: one\n\n: end\n\n"
	b := newHarness(t, newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeAnswer(conn, a, 200, text, "Content-Type: text/event-stream")
	}).heartbeat("booking"))
	assert.Equal(t, text, b.send("POST", "/confirm/x", "").body)
}
