package laburnumgateway_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a request that runs twice, since an answer that names no request was taken for its server's word that it did not run.
func TestAnswerThatNamesNoRequestSaysNothingOfIt(t *testing.T) {
	ran := make(chan string, 8)
	server := func(conn net.Conn, a receivedRequest, _ int) {
		ran <- a.request.URL.Path
		if len(ran) == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Laburnumlever-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		writeAnswer(conn, a, 200, "done")
	}
	b := newHarness(t, newBackend(t, "i-1", server).heartbeat("booking"), newBackend(t, "i-2", server).heartbeat("booking"))
	got := b.send("POST", "/confirm/x", "visit")
	assert.Len(t, ran, 1, "status %d", got.status)
	assert.NotEqual(t, 503, got.status)
}
