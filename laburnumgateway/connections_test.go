package laburnumgateway_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumupstream"
)

// newConnectionHarness starts a gateway that may have one connection to each backend server.
func newConnectionHarness(t *testing.T, pool *laburnumupstream.Pool, logged *bytes.Buffer, records ...laburnumregistry.Record) *harness {
	b := newUnconfiguredHarness(t, laburnumgateway.WithPool(pool), laburnumgateway.WithLogger(log.NewLogfmtLogger(log.NewSyncWriter(logged))))
	table := testRoutes()
	table.Services[0].MaxConnections = 1
	b.fleet.HandleRoutes(table)
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: records})
	return b
}

// heldAnswers answers each request once it is allowed to.
func heldAnswers(allowed <-chan struct{}) func(net.Conn, receivedRequest, int) {
	return func(conn net.Conn, a receivedRequest, _ int) {
		<-allowed
		writeAnswer(conn, a, http.StatusOK, "ok")
	}
}

// Guards against a request that is refused as if its server were unreachable while the gateway uses all of its connections there.
func TestRequestWaitsForAConnection(t *testing.T) {
	allowed := make(chan struct{})
	near, far := newBackend(t, "i-1", heldAnswers(allowed)), newBackend(t, "i-2", heldAnswers(allowed))
	farRecord := far.heartbeat("booking")
	farRecord.Heartbeat.Zone = "lannion"
	var logged bytes.Buffer
	b := newConnectionHarness(t, laburnumupstream.New(), &logged, near.heartbeat("booking"), farRecord)
	ended := make(chan callerResponse, 3)
	for n := range 3 {
		go func() { ended <- b.send("GET", "/lookup/1", "") }()
		if n < 2 {
			require.Eventually(t, func() bool { return len(near.requests())+len(far.requests()) == n+1 }, 5*time.Second, time.Millisecond)
		}
	}
	require.Eventually(t, func() bool { return b.fleet.Status().Queued == 1 }, 5*time.Second, time.Millisecond)
	require.Len(t, near.requests(), 1)
	require.Len(t, far.requests(), 1)
	close(allowed)
	for range 3 {
		require.Equal(t, http.StatusOK, (<-ended).status)
	}
	require.NotContains(t, logged.String(), "attempt-failed")
}

// Guards against the reasons backend-unreachable and queue-full, and an unsafe status, for a request that waited for a connection in vain.
func TestRequestWithoutAConnectionIsRefusedAsSuch(t *testing.T) {
	allowed := make(chan struct{})
	server := newBackend(t, "i-1", heldAnswers(allowed))
	var logged bytes.Buffer
	b := newConnectionHarness(t, laburnumupstream.New(), &logged, server.heartbeat("booking"))
	ended := make(chan callerResponse, 1)
	go func() { ended <- b.send("GET", "/lookup/1", "") }()
	require.Eventually(t, func() bool { return len(server.requests()) == 1 }, 5*time.Second, time.Millisecond)
	got := b.send("POST", "/confirm/1", "oak")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "connection-limit\n", got.body)
	require.Contains(t, logged.String(), "this gateway has all connections that it may open to the backend servers with free slots: its share of the limit of 1 to each among 1 gateways")
	close(allowed)
	require.Equal(t, http.StatusOK, (<-ended).status)
	require.Len(t, server.requests(), 1)
}

// Guards against attempts that fail, or are made again without end, while a probe has the connection that the balancer counts as free.
func TestConnectionOfAProbeIsAwaited(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, http.StatusOK, "ok") })
	pool := laburnumupstream.New()
	var logged bytes.Buffer
	b := newConnectionHarness(t, pool, &logged, server.heartbeat("booking"))
	probe, err := pool.Open(context.Background(), server.ln.Addr().String(), false)
	require.NoError(t, err)
	require.Equal(t, "connection-limit\n", b.send("GET", "/lookup/1", "").body)
	time.AfterFunc(50*time.Millisecond, probe.Close)
	require.Equal(t, http.StatusOK, b.send("GET", "/lookup/2", "").status)
	require.NotContains(t, logged.String(), "attempt-failed")
}
