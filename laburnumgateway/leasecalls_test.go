package laburnumgateway_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumconcurrency"
)

// waitingKeeper is a control VM that has no lease free. It lets a number of calls wait until they are let go, and refuses
// all others.
type waitingKeeper struct {
	leaseKeeper
	places int
	letGo  chan struct{}

	calls                   sync.Mutex
	probes, waiting, denied int
}

func (k *waitingKeeper) Lease(ctx context.Context, q laburnumconcurrency.Request) (laburnumconcurrency.Answer, string, error) {
	refusal := laburnumconcurrency.Answer{RetryIn: 1, Limit: q.Limit}
	k.calls.Lock()
	switch {
	case q.Wait == 0:
		k.probes++
	case k.waiting == k.places:
		k.denied++
	default:
		k.waiting++
		k.calls.Unlock()
		<-k.letGo
		return k.leaseKeeper.Lease(ctx, q)
	}
	k.calls.Unlock()
	return refusal, "10.0.0.9:7000", nil
}

func (k *waitingKeeper) counts() (probes, waiting, denied int) {
	k.calls.Lock()
	defer k.calls.Unlock()
	return k.probes, k.waiting, k.denied
}

// newWaitingHarness starts a gateway before a brittle server, and requests that wait in all places at its keeper.
func newWaitingHarness(t *testing.T, places int) (*harness, *waitingKeeper) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, 200, "ok", "Server-Brittle: 2") })
	k := &waitingKeeper{places: places, letGo: make(chan struct{})}
	b := newBrittleHarness(t, k, server.heartbeat("booking"))
	require.Equal(t, http.StatusOK, b.send("POST", "/confirm/x", "first").status)
	var callers sync.WaitGroup
	t.Cleanup(callers.Wait)
	t.Cleanup(func() { close(k.letGo) })
	for i := range places {
		callers.Go(func() { b.send("POST", "/confirm/x", "visit") })
		require.Eventually(t, func() bool {
			_, waiting, _ := k.counts()
			return waiting == i+1
		}, 10*time.Second, time.Millisecond)
	}
	return b, k
}

// Guards against calls for a lease that can't be free, since other requests of the gateway wait for one.
func TestNoLeaseIsProbedForWhileRequestsWait(t *testing.T) {
	_, k := newWaitingHarness(t, 8)
	probes, _, _ := k.counts()
	require.Equal(t, 1, probes)
}

// Guards against a call for a lease by each request at a keeper that has refused one while others of the gateway wait.
func TestGatewayThatIsRefusedALeaseLetsItsCallsWait(t *testing.T) {
	b, k := newWaitingHarness(t, 4)
	for range 10 {
		got := b.send("POST", "/confirm/x", "visit")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Equal(t, "backend-brittle\n", got.body)
		require.NotEmpty(t, got.header.Get("Retry-After"))
	}
	_, _, denied := k.counts()
	require.Equal(t, 1, denied)
}
