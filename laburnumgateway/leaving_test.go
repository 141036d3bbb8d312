package laburnumgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumupstream"
)

// goneTime is how long after its caller has left a server may work on.
const goneTime = 500 * time.Millisecond

// leavers is the number of callers that leave while the gateway stands still.
const leavers = 100

// sendAndLeave has callers send a request and leave, by close or by reset, while nobody accepts their connections.
func sendAndLeave(t *testing.T, address string, request string) {
	t.Helper()
	for i := range leavers {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, request, i)
		require.NoError(t, err)
		awaitDelivery(t, conn)
		if i%2 == 1 {
			require.NoError(t, conn.(*net.TCPConn).SetLinger(0))
		}
		require.NoError(t, conn.Close())
	}
}

// testLeaversAreNotServed has a gateway find requests and their callers' closes together as it goes on.
func testLeaversAreNotServed(t *testing.T, request string) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, 200, "done") })
	b := newHarness(t, server.heartbeat("booking"))
	still := httptest.NewUnstartedServer(b.gateway)
	still.Config = b.gateway.Server()
	sendAndLeave(t, still.Listener.Addr().String(), request)
	still.Start()
	t.Cleanup(still.Close)
	after, err := net.Dial("tcp", still.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = after.Close() }()
	_, err = fmt.Fprintf(after, request, leavers)
	require.NoError(t, err)
	last := fmt.Sprintf("r-%d", leavers)
	require.Eventually(t, func() bool {
		for _, r := range server.requests() {
			if r.request.Header.Get(idHeader) == last {
				return true
			}
		}
		return false
	}, callerPatience, time.Millisecond, "the caller that stays is served")
	require.Eventually(t, func() bool { return b.gateway.InFlight() == 0 }, callerPatience, time.Millisecond)
	var ids []string
	for _, r := range server.requests() {
		ids = append(ids, r.request.Header.Get(idHeader))
	}
	require.Equal(t, []string{last}, ids, "the others have left")
}

// Guards against requests that are sent on although their callers left while the gateway stood still.
func TestRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	t.Run("without-body", func(t *testing.T) {
		testLeaversAreNotServed(t, "GET /lookup/x HTTP/1.1\r\nHost: quotes.example\r\n"+idHeader+": r-%d\r\n\r\n")
	})
	t.Run("with-body", func(t *testing.T) {
		testLeaversAreNotServed(t, "POST /confirm/x HTTP/1.1\r\nHost: quotes.example\r\n"+idHeader+": r-%d\r\nContent-Length: 5\r\n\r\nvisit")
	})
	t.Run("with-a-next-request", func(t *testing.T) {
		testLeaversAreNotServed(t, "GET /lookup/x HTTP/1.1\r\nHost: quotes.example\r\n"+idHeader+": r-%d\r\n\r\nGET /lo")
	})
}

// Guards against engines that work on for callers who have sent a part of a next request and left: the HTTP server doesn't watch them.
func TestCallerThatLeavesBehindANextRequestEndsItsAnswer(t *testing.T) {
	begun := make(chan struct{})
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 1)
		close(begun)
		_, _ = conn.Read(make([]byte, 1)) // works until its caller ends the connection
	})
	b := newHarness(t, server.heartbeat("quotes", "m0"))
	callers := httptest.NewUnstartedServer(b.gateway)
	callers.Config = b.gateway.Server()
	callers.Listener = laburnumgateway.NewCallers(callers.Listener)
	callers.Start()
	t.Cleanup(callers.Close)
	conn, err := net.Dial("tcp", callers.Listener.Addr().String())
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "GET /quote/x HTTP/1.1\r\nHost: quotes.example\r\n%s: r-1\r\nX-Laburnumlever-Model: m0\r\n\r\n", idHeader)
	require.NoError(t, err)
	<-begun
	_, err = fmt.Fprint(conn, "GET /next")
	require.NoError(t, err)
	awaitDelivery(t, conn)
	require.Empty(t, server.closed(), "the caller is still there")
	left := time.Now()
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return len(server.closed()) == 1 }, callerPatience, time.Millisecond)
	require.Less(t, server.closed()[0].Sub(left), goneTime)
}

// Guards against requests that waited in the kernel while the gateway stood still, and count as new: engines get more time than is left.
func TestRequestsAreAsOldAsTheirLastBytes(t *testing.T) {
	const waited = 300 * time.Millisecond
	server := newBackend(t, "i-1", answerOK)
	b := newHarness(t, server.heartbeat("booking"))
	still := httptest.NewUnstartedServer(b.gateway)
	still.Config = b.gateway.Server()
	callers := map[string]net.Conn{}
	for _, timeout := range []string{"200", "1500"} {
		conn, err := net.Dial("tcp", still.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "GET /lookup/x HTTP/1.1\r\nHost: quotes.example\r\n%s: r-1\r\nX-Laburnumlever-Deadline-Ms: %s\r\n\r\n", idHeader, timeout)
		require.NoError(t, err)
		callers[timeout] = conn
	}
	<-time.After(waited)
	still.Start()
	t.Cleanup(still.Close)
	status := func(conn net.Conn) int {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusServiceUnavailable, status(callers["200"]), "its time is over, and it has not run")
	require.Equal(t, http.StatusOK, status(callers["1500"]))
	require.Len(t, server.requests(), 1)
	left, err := strconv.Atoi(server.requests()[0].request.Header.Get("X-Laburnumlever-Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 1200)
}

// leaveInDial has the caller leave while a connection to the backend server is opened.
type leaveInDial struct{ caller chan net.Conn }

func (d leaveInDial) Dial(ctx context.Context, address string) (net.Conn, error) {
	if err := (<-d.caller).Close(); err != nil {
		return nil, err
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Guards against requests that are sent although their callers left while a connection was opened.
func TestRequestsOfCallersThatLeaveDuringTheDialAreNotSent(t *testing.T) {
	const times = 50
	server := newBackend(t, "i-1", answerOK)
	tunnels := leaveInDial{caller: make(chan net.Conn, 1)}
	pool := laburnumupstream.New(laburnumupstream.WithTunnels(tunnels))
	pool.UseTunnels(true)
	b := newUnconfiguredHarness(t, laburnumgateway.WithPool(pool))
	b.fleet.HandleRoutes(testRoutes())
	b.announce(server.heartbeat("booking"))
	for range times {
		conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
		require.NoError(t, err)
		tunnels.caller <- conn
		_, err = fmt.Fprintf(conn, "GET /lookup/x HTTP/1.1\r\nHost: quotes.example\r\n%s: r-1\r\n\r\n", idHeader)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return len(tunnels.caller) == 0 && b.gateway.InFlight() == 0 }, callerPatience, time.Millisecond)
	}
	require.Empty(t, server.requests())
}
