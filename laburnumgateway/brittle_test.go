package laburnumgateway_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"
)

// leaseKeeper is a control VM that leases places on brittle servers.
type leaseKeeper struct {
	mu      sync.Mutex
	refuses bool
	// silent has no request answered.
	silent   bool
	granted  []laburnumlever.BackendID
	returned []laburnumconcurrency.Release
}

func (k *leaseKeeper) Reserve(context.Context, laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error) {
	return laburnumlimit.SlotAnswer{}, &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
}

func (k *leaseKeeper) Report(laburnumlimit.Report) {}

func (k *leaseKeeper) Lease(_ context.Context, q laburnumconcurrency.Request) (laburnumconcurrency.Answer, string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.silent {
		return laburnumconcurrency.Answer{}, "", &laburnumlever.PeerLostError{Address: "10.0.0.9:7000"}
	}
	if k.refuses {
		return laburnumconcurrency.Answer{RetryIn: laburnumlever.Duration(time.Second), Limit: q.Limit}, "10.0.0.9:7000", nil
	}
	k.granted = append(k.granted, q.Backend)
	return laburnumconcurrency.Answer{Granted: true, Lease: laburnumconcurrency.LeaseID(len(k.granted)), Limit: q.Limit}, "10.0.0.9:7000", nil
}

func (k *leaseKeeper) Return(_ laburnumlever.Heartbeat, _ string, r laburnumconcurrency.Release) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Lease != 0 {
		k.returned = append(k.returned, r)
	}
}

func (k *leaseKeeper) counts() (granted, returned int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.granted), len(k.returned)
}

func newBrittleHarness(t *testing.T, k laburnumgateway.LimitKeepers, records ...laburnumregistry.Record) *harness {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1, laburnumgateway.WithLimitKeepers(k))
	b := newHarnessOfFleet(t, fleet, timers)
	b.fleet.HandleRoutes(testRoutes())
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: records})
	return b
}

// Guards against requests to a brittle server beyond its room, and leases that are kept after the request.
func TestRequestsToABrittleServerHoldALease(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, n int) {
		if n < 4 {
			writeAnswer(conn, a, 200, "ok", "Server-Brittle: 2")
		} else {
			writeAnswer(conn, a, 200, "ok")
		}
	})
	k := &leaseKeeper{}
	b := newBrittleHarness(t, k, server.heartbeat("booking"))
	require.Equal(t, http.StatusOK, b.send("POST", "/confirm/x", "first").status)
	granted, _ := k.counts()
	require.Zero(t, granted, "not brittle yet")
	for range 2 {
		require.Equal(t, http.StatusOK, b.send("POST", "/confirm/x", "visit").status)
	}
	granted, returned := k.counts()
	require.Equal(t, 2, granted)
	require.Equal(t, 2, returned)

	k.refuses = true
	began := time.Now()
	got := b.send("POST", "/confirm/x", "visit")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "backend-brittle\n", got.body)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Less(t, time.Since(began), time.Second)
	require.Len(t, server.requests(), 3)

	k.refuses = false
	require.Eventually(t, func() bool { return b.send("POST", "/confirm/x", "visit").status == http.StatusOK }, 10*time.Second, 10*time.Millisecond)
	before, _ := k.counts()
	require.Equal(t, http.StatusOK, b.send("POST", "/confirm/x", "visit").status)
	after, _ := k.counts()
	require.Equal(t, before, after, "the server no longer says that it is brittle")
}

// Guards against gateways that use their shares of a brittle server while its control VM pauses, on top of the leases that are out.
func TestPauseOfControlVMsIsNoLossOfThem(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, 200, "ok", "Server-Brittle: 2") })
	k := &leaseKeeper{}
	b := newBrittleHarness(t, k, server.heartbeat("booking"))
	began := time.Now()
	for range 2 { // the second one with a lease
		require.Equal(t, http.StatusOK, b.send("POST", "/confirm/x", "visit").status)
	}
	k.silent = true
	got := b.send("POST", "/confirm/x", "visit")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "backend-brittle\n", got.body)
	require.Len(t, server.requests(), 2)
	require.Eventually(t, func() bool { return b.send("POST", "/confirm/x", "visit").status == http.StatusOK }, 10*time.Second, 10*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(began), time.Second)
}

// Guards against leases for a server that has answered that it isn't brittle, each time that its heartbeat changes.
func TestServerThatIsNotBrittleNeedsNoLease(t *testing.T) {
	brittle := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, 200, "ok", "Server-Brittle: 2") })
	sound := newBackend(t, "i-2", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, 200, "ok") })
	k := &leaseKeeper{}
	b := newBrittleHarness(t, k, brittle.heartbeat("booking"), sound.heartbeat("booking"))
	require.Eventually(t, func() bool {
		_ = b.send("POST", "/confirm/x", "visit")
		return len(brittle.requests()) > 0 && len(sound.requests()) > 0
	}, 10*time.Second, time.Millisecond)
	changed := sound.heartbeat("booking")
	changed.Heartbeat.Sequence, changed.Heartbeat.Slots = 2, 7
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{changed}})
	_ = b.send("POST", "/confirm/x", "visit")
	k.mu.Lock()
	defer k.mu.Unlock()
	require.NotContains(t, k.granted, laburnumlever.BackendID("i-2"))
}
