package laburnumgateway_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkUnaryRequest measures sequential requests without a stream on one connection. The cost
// includes the caller and the backend server, which run in the same process.
func BenchmarkUnaryRequest(b *testing.B) {
	server := newBackend(b, "i-1", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, http.StatusOK, "confirmed") })
	bench := newHarness(b, server.heartbeat("booking"))
	for b.Loop() {
		require.Equal(b, http.StatusOK, bench.send("POST", "/confirm/x", "visit").status)
	}
}

// BenchmarkStreamEvent measures the cost of an event of a stream, including the caller and the
// backend server.
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
