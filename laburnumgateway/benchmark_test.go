package laburnumgateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
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

// BenchmarkAccounts measures the processor time of a request without and with a client account that has a quota, in turns. It includes
// the caller and the backend server, but not the messages to control VMs, of which there is at most one a request.
func BenchmarkAccounts(b *testing.B) {
	const turn = 50
	newServer := func() *backend {
		return newBackend(b, "i-1", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, http.StatusOK, "confirmed") })
	}
	without := newHarness(b, newServer().heartbeat("booking"))
	with, control := newAccountHarness(b, newServer(), "k1")
	control.set(func(c *controlVMs) { c.left = 1e12 })
	var used [2]time.Duration
	for b.Loop() {
		for i, bench := range []*harness{without, with} {
			began := processorTime(b)
			for range turn {
				require.Equal(b, http.StatusOK, bench.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
			}
			used[i] += processorTime(b) - began
		}
	}
	for i, unit := range []string{"cpu-ns/without", "cpu-ns/with"} {
		b.ReportMetric(float64(used[i])/float64(b.N*turn), unit)
	}
}

func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
