package laburnumgateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumstandin"
	"laburnumlever/laburnumtimer"
	"laburnumlever/platform"
)

const (
	idHeader    = "X-Laburnumlever-Request-Id"
	stampHeader = "X-Laburnumlever-Server-Stamp"
)

// receivedRequest is a request as a fake backend server received it.
type receivedRequest struct {
	request *http.Request
	body    string
	at      time.Time
}

// backend is a fake backend server that writes raw bytes to the connection, so that tests can
// violate the protocol in any way. The answer function gets the number of the request, from 1.
type backend struct {
	t        testing.TB
	id       laburnumlever.BackendID
	ln       net.Listener
	answer   func(conn net.Conn, a receivedRequest, n int)
	mu       sync.Mutex
	received []receivedRequest
	closedAt []time.Time
}

func newBackend(t testing.TB, id string, answer func(conn net.Conn, a receivedRequest, n int)) *backend {
	closed, err := laburnumstandin.NewClosedPort() // holds the port once the listener is closed
	require.NoError(t, err)
	t.Cleanup(func() { _ = closed.Close() })
	ln, err := net.Listen("tcp", closed.Address())
	require.NoError(t, err)
	return newBackendOn(t, id, ln, answer)
}

func newBackendOn(t testing.TB, id string, ln net.Listener, answer func(conn net.Conn, a receivedRequest, n int)) *backend {
	b := &backend{t: t, id: laburnumlever.BackendID(id), ln: ln, answer: answer}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *backend) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		b.closedAt = append(b.closedAt, time.Now())
		b.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		a := receivedRequest{request: req, body: string(body), at: time.Now()}
		b.mu.Lock()
		b.received = append(b.received, a)
		n := len(b.received)
		b.mu.Unlock()
		b.answer(conn, a, n)
	}
}

func (b *backend) requests() []receivedRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]receivedRequest(nil), b.received...)
}

// closed returns the times at which connections to the backend server were closed.
func (b *backend) closed() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.closedAt...)
}

func (b *backend) heartbeat(service string, models ...string) laburnumregistry.Record {
	h := laburnumlever.Heartbeat{Backend: b.id, Service: laburnumlever.ServiceName(service), Address: b.ln.Addr().String(), Zone: "brest", Sequence: 1, Software: "v1", Slots: 8}
	for _, m := range models {
		h.Models = append(h.Models, laburnumlever.EngineModel{Name: laburnumlever.ModelName(m)})
	}
	return laburnumregistry.Record{Heartbeat: h}
}

// writeAnswer writes a complete answer that is no stream.
func writeAnswer(conn net.Conn, a receivedRequest, status int, body string, headers ...string) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: s1\r\nContent-Length: %d\r\n", status, http.StatusText(status),
		idHeader, a.request.Header.Get(idHeader), stampHeader, len(body))
	for _, h := range headers {
		out.WriteString(h + "\r\n")
	}
	out.WriteString("\r\n" + body)
	_, _ = conn.Write(out.Bytes())
}

// awaitDelivery waits until the peer's TCP stack has acknowledged all bytes written.
func awaitDelivery(t testing.TB, conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		unacknowledged := -1
		_ = raw.Control(func(fd uintptr) { unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		return unacknowledged == 0
	}, 10*time.Second, time.Millisecond)
}

// writeEvents writes the head of a stream and the events from first to last, one per chunk.
func writeEvents(conn net.Conn, a receivedRequest, first, last int) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		idHeader, a.request.Header.Get(idHeader), stampHeader)
	for i := first; i <= last; i++ {
		writeChunk(conn, fmt.Sprintf("id: %d\ndata: word-%d\n\n", i, i))
	}
}

// writeStream writes a complete stream of one event.
func writeStream(conn net.Conn, a receivedRequest, headers ...string) {
	writeAnswer(conn, a, http.StatusOK, eventsUpTo(1), append(headers, "Content-Type: text/event-stream")...)
}

func writeChunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

func writeLastChunk(conn net.Conn) { fmt.Fprint(conn, "0\r\n\r\n") }

// harness is a gateway behind an HTTP server, with a caller and fake backend servers.
type harness struct {
	t       testing.TB
	fleet   *laburnumgateway.Fleet
	gateway *laburnumgateway.Gateway
	server  *httptest.Server
	client  *http.Client
}

func newHarness(t testing.TB, records ...laburnumregistry.Record) *harness {
	b := newUnconfiguredHarness(t, laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}))
	b.fleet.HandleRoutes(testRoutes())
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: records})
	return b
}

// newUnconfiguredHarness starts a gateway that has no routes and no backend servers yet.
func newUnconfiguredHarness(t testing.TB, opts ...laburnumgateway.Option) *harness {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	return newUnconfiguredHarnessWith(t, timers, opts...)
}

func newUnconfiguredHarnessWith(t testing.TB, timers laburnumlever.Timers, opts ...laburnumgateway.Option) *harness {
	return newHarnessOfFleet(t, laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1), timers, opts...)
}

func newHarnessOfFleet(t testing.TB, fleet *laburnumgateway.Fleet, timers laburnumlever.Timers, opts ...laburnumgateway.Option) *harness {
	b := &harness{t: t, fleet: fleet, gateway: laburnumgateway.New(fleet, platform.Dialect{}, timers, opts...), client: &http.Client{}}
	b.start()
	return b
}

func (b *harness) start() {
	b.server = httptest.NewUnstartedServer(b.gateway)
	b.server.Config = b.gateway.Server()
	b.server.Listener = laburnumgateway.NewCallers(b.server.Listener) // as gateways do
	b.server.Start()
	b.t.Cleanup(b.server.Close)
}

func testRoutes() laburnumlever.RouteTable {
	route := func(name, prefix, service string, kind laburnumlever.RequestKind, attempts int, resumable bool) laburnumlever.Route {
		return laburnumlever.Route{
			Name: laburnumlever.RouteName(name), Host: "quotes.example", PathPrefix: prefix, Kind: kind,
			Timeout: laburnumlever.Duration(2 * time.Second), Target: laburnumlever.Duration(300 * time.Millisecond),
			Split: []laburnumlever.RouteShare{{Service: laburnumlever.ServiceName(service), Weight: 1}}, MaxAttempts: attempts, Resumable: resumable,
		}
	}
	return laburnumlever.RouteTable{
		Version: 1,
		Services: []laburnumlever.RoutedService{
			{Name: "booking"}, {Name: "quotes", Engine: &laburnumlever.EngineClass{Slots: 8}},
		},
		Routes: []laburnumlever.Route{
			route("confirm", "/confirm/", "booking", laburnumlever.KindNonIdempotent, 3, false),
			route("lookup", "/lookup/", "booking", laburnumlever.KindIdempotent, 2, false),
			route("quote", "/quote/", "quotes", laburnumlever.KindStream, 2, true),
			route("draft", "/draft/", "quotes", laburnumlever.KindStream, 2, false),
		},
		Callers: laburnumlever.CallerLimits{BodyBytes: 1000},
	}
}

// announce tells the gateway of more backend servers.
func (b *harness) announce(records ...laburnumregistry.Record) {
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: records})
}

type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

func (b *harness) send(method, path, body string, headers ...string) callerResponse {
	b.t.Helper()
	req, err := http.NewRequest(method, b.server.URL+path, bytes.NewReader([]byte(body)))
	require.NoError(b.t, err)
	req.Host = "quotes.example"
	req.Header.Set(idHeader, "r-1")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

// record returns a backend server's record of a service.
func record(b *backend, service string) []laburnumregistry.Record {
	return []laburnumregistry.Record{b.heartbeat(service)}
}

// gone returns the record of a backend server that is gone.
func gone(b *backend, service string) []laburnumregistry.Record {
	r := b.heartbeat(service)
	r.Gone, r.Heartbeat.Sequence = true, r.Heartbeat.Sequence+1
	return []laburnumregistry.Record{r}
}
