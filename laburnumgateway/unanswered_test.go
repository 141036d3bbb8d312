package laburnumgateway_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"
	"laburnumlever/platform"
)

// Guards against an empty success for a caller that closes its side of the connection for writing and waits for the answer.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	arrived := make(chan struct{}, 1)
	server := newBackend(t, "i-1", func(conn net.Conn, _ receivedRequest, _ int) {
		arrived <- struct{}{}
		_, _ = io.Copy(io.Discard, conn) // until the gateway closes it
	})
	b := newHarness(t, server.heartbeat("booking"))
	c := b.dialRaw()
	c.writeHead("/confirm/x", "Content-Length: 0")
	<-arrived
	require.NoError(t, c.conn.(*net.TCPConn).CloseWrite())
	require.Equal(t, http.StatusBadGateway, c.read().StatusCode)
}

// Guards against a cut stream that looks complete to a caller that has closed its side of the connection for writing.
func TestStreamOfAHalfClosedCallerDoesNotLookComplete(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 2)
		_, _ = io.Copy(io.Discard, conn)
	})
	b := newHarness(t, server.heartbeat("quotes", "m0"))
	c := b.dialRaw()
	c.writeHead("/draft/x", "X-Laburnumlever-Model: m0", "Content-Length: 0")
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(t, c.conn.(*net.TCPConn).CloseWrite())
	_, err = io.Copy(io.Discard, resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// panickingDialect panics at a request or at its answer.
type panickingDialect struct {
	platform.Dialect
	atRequest bool
}

func (d panickingDialect) Request(h http.Header) (laburnumlever.CallerRequest, error) {
	if d.atRequest {
		panic("no such request")
	}
	return d.Dialect.Request(h)
}

func (d panickingDialect) Answer(int, http.Header) laburnumlever.AnswerHeaders {
	panic("no such answer")
}

// Guards against requests that end with their connection, and without a line, since the gateway panics.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	for name, tt := range map[string]struct {
		atRequest bool
		want      int
		line      string
	}{
		"before it is sent": {true, http.StatusServiceUnavailable, "event=request-panicked"},
		"after it is sent":  {false, http.StatusBadGateway, "event=request-panicked request-id=r-1"},
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, "i-1", answerOK)
			timers := laburnumtimer.New()
			t.Cleanup(timers.Close)
			lines := &lockedBuffer{}
			fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1)
			b := &harness{t: t, fleet: fleet, client: &http.Client{}, gateway: laburnumgateway.New(fleet, panickingDialect{atRequest: tt.atRequest}, timers,
				laburnumgateway.WithLogger(log.NewLogfmtLogger(lines)))}
			b.start()
			b.fleet.HandleRoutes(testRoutes())
			b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{server.heartbeat("booking")}})
			got := b.send("POST", "/confirm/x", "visit")
			require.NoError(t, got.err)
			require.Equal(t, tt.want, got.status)
			require.Contains(t, lines.String(), tt.line)
			require.Contains(t, lines.String(), "reason=internal-error")
			require.Eventually(t, func() bool { return b.gateway.InFlight() == 0 }, callerPatience, time.Millisecond)
		})
	}
}

type lockedBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// droppedRoutes are routes without those to the booking service.
func droppedRoutes() laburnumlever.RouteTable {
	routes := testRoutes()
	routes.Version = 2
	routes.Services, routes.Routes = routes.Services[1:], routes.Routes[2:]
	return routes
}

// Guards against a request that is queued for a service which new routes drop, and ends with its connection.
func TestQueuedRequestOfADroppedServiceIsAnswered(t *testing.T) {
	b := newHarness(t)
	got := make(chan callerResponse, 1)
	go func() { got <- b.send("POST", "/confirm/x", "visit", "X-Laburnumlever-Deadline-Ms", "1000") }()
	require.Eventually(t, func() bool { return b.fleet.Status().Queued == 1 }, callerPatience, time.Millisecond)
	b.fleet.HandleRoutes(droppedRoutes())
	answer := <-got
	require.NoError(t, answer.err)
	require.Equal(t, http.StatusServiceUnavailable, answer.status)
}

// Guards against a request whose route is dropped between its head and its body, and that ends with its connection.
func TestRequestWhoseRouteIsDroppedBeforeItsBodyIsAnswered(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b := newHarness(t, server.heartbeat("booking"))
	c := b.dialRaw()
	c.writeHead("/confirm/x", "Content-Length: 5")
	require.Eventually(t, func() bool { return b.gateway.InFlight() == 1 }, callerPatience, time.Millisecond)
	b.fleet.HandleRoutes(droppedRoutes())
	c.write("visit")
	require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, c.read().StatusCode)
	c.writeHead("/confirm/x", "Content-Length: 0")
	require.Equal(t, http.StatusNotFound, c.read().StatusCode)
}

// Guards against a reset of callers whose headers are over the limit of the server.
func TestHeadersOverTheServersLimitAreRefused(t *testing.T) {
	b := newHarness(t)
	c := b.dialRaw()
	c.writeHead("/confirm/x", "X-Long: "+strings.Repeat("x", 128<<10))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, c.read().StatusCode)
}

// Guards against refusals that no line links to their request.
func TestRefusalBeforeTheFirstRoutesIsLoggedWithItsRequest(t *testing.T) {
	lines := &lockedBuffer{}
	b := newUnconfiguredHarness(t, laburnumgateway.WithLogger(log.NewLogfmtLogger(lines)))
	require.Equal(t, http.StatusServiceUnavailable, b.send("POST", "/confirm/x", "visit", "X-Laburnumlever-Deadline-Ms", "100").status)
	require.Contains(t, lines.String(), "event=request-refused request-id=r-1")
}
