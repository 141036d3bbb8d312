package laburnumgateway_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkUnaryRequest is what a plain request takes through a gateway, one after the
// other on one connection; the caller's and the backend server's ends are in it.
func BenchmarkUnaryRequest(b *testing.B) {
	server := newBackend(b, "i-1", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, http.StatusOK, "confirmed") })
	bench := newHarness(b, server.heartbeat("booking"))
	for b.Loop() {
		require.Equal(b, http.StatusOK, bench.send("POST", "/confirm/x", "visit").status)
	}
}

// BenchmarkStreamEvent is what an event of a stream takes, the two other ends in it.
func BenchmarkStreamEvent(b *testing.B) {
	const length = 500
	server := newBackend(b, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, length)
		writeLastChunk(conn)
	})
	bench := newHarness(b, server.heartbeat("quotes", "m0"))
	for b.Loop() {
		require.Equal(b, http.StatusOK, bench.send("POST", "/draft/x", "oak", "X-Laburnumlever-Model", "m0").status)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*length), "ns/event")
}
