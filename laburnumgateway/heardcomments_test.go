package laburnumgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumregistry"
)

// Guards against a stream ended as silent while its server sends comments, as one does that reads a long prompt.
func TestServerThatSendsCommentsIsNotSilent(t *testing.T) {
	begun := make(chan struct{}, 1)
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		if a.request.Header.Get(idHeader) != "r-flow" {
			writeAnswer(conn, a, http.StatusNotFound, "")
			return
		}
		begun <- struct{}{}
		writeEvents(conn, a, 1, 1)
		for range 34 {
			<-time.After(100 * time.Millisecond)
			writeChunk(conn, ": beat\n\n")
		}
		writeChunk(conn, fmt.Sprintf("id: %d\ndata: word-%d\n\n", 2, 2))
		fmt.Fprint(conn, "0\r\n\r\n")
	})
	other, reached := newBackend(t, "i-2", resumeStream), newBackend(t, "i-1", resumeStream)
	address := server.ln.Addr().String()
	b := newLinksHarness(t, &fakeTunnels{real: map[string]string{address: reached.ln.Addr().String()}}, &reports{}, []laburnumregistry.Record{
		server.heartbeat("quotes", "m0", "m1"), answers("i-3")(t).heartbeat("booking"),
	})
	b.fleet.HandleRoutes(patientRoutes())
	var all sync.WaitGroup
	all.Go(func() {
		got := b.send("POST", "/quote/x", "text", "X-Laburnumlever-Model", "m0", idHeader, "r-flow")
		assert.NoError(t, got.err)
		assert.Contains(t, got.body, "word-2")
	})
	<-begun
	b.announce(other.heartbeat("quotes", "m0"))
	<-time.After(nextEventTime + 100*time.Millisecond) // a silent request would count as such by then
	require.NoError(t, server.ln.Close())
	require.Eventually(t, func() bool {
		all.Go(func() { _ = b.send("POST", "/draft/x", "text", "X-Laburnumlever-Model", "m1", idHeader, "r-new") })
		return !b.gateway.CanReach(address)
	}, 10*time.Second, 100*time.Millisecond, "only others reach it")
	all.Wait()
	require.Empty(t, other.streams(), "the request was not sent again")
	require.Empty(t, reached.streams(), "the request was not sent again")
}
