package laburnumgateway_test

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumstandin"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumtunnel"
	"laburnumlever/laburnumupstream"
)

// fakeTunnels connects to servers at other addresses than they announce: the direct way is down, that through another VM
// is not.
type fakeTunnels struct {
	real   map[string]string
	dialed atomic.Int64
	err    error
	// unanswered has other VMs answer nothing until the context ends, gaveUp counts how often it did.
	unanswered atomic.Bool
	gaveUp     atomic.Int64
	// delay is the time that connections through the other VM take.
	delay time.Duration
	// onDial is called first, and may wait.
	onDial func(ctx context.Context)
}

func (f *fakeTunnels) Dial(ctx context.Context, address string) (net.Conn, error) {
	f.dialed.Add(1)
	if f.onDial != nil {
		f.onDial(ctx)
	}
	if f.unanswered.Load() {
		<-ctx.Done()
		f.gaveUp.Add(1)
		return nil, &laburnumtunnel.NoHelperError{Cause: ctx.Err()}
	}
	if f.err != nil {
		return nil, f.err
	}
	if f.delay > 0 {
		select {
		case <-time.After(f.delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", cmp.Or(f.real[address], address))
	if err != nil {
		return nil, &laburnumtunnel.ServerUnreachableError{Address: address, Helper: "10.0.0.2:7000", Refused: true}
	}
	return conn, nil
}

// behindLostLinks returns records of the servers with addresses that refuse connections, and tunnels to the servers.
func behindLostLinks(t *testing.T, service string, servers ...*backend) ([]laburnumregistry.Record, *fakeTunnels) {
	tunnels := &fakeTunnels{real: map[string]string{}}
	var records []laburnumregistry.Record
	for _, b := range servers {
		closed, err := laburnumstandin.NewClosedPort()
		require.NoError(t, err)
		t.Cleanup(func() { _ = closed.Close() })
		r := b.heartbeat(service)
		tunnels.real[closed.Address()] = r.Heartbeat.Address
		r.Heartbeat.Address = closed.Address()
		records = append(records, r)
	}
	return records, tunnels
}

// answersOnce returns a server that ends each connection after one answer, so that each request needs a new one.
func answersOnce(t *testing.T, id string) *backend {
	return newBackend(t, id, func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, 200, "ok", "Connection: close") })
}

func newLinksHarness(t *testing.T, tunnels laburnumupstream.Tunnels, r *reports, records []laburnumregistry.Record, opts ...laburnumgateway.Option) *harness {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1, laburnumgateway.WithQuarantineReporter(r))
	b := newHarnessOfFleet(t, fleet, timers, append([]laburnumgateway.Option{
		laburnumgateway.WithPool(laburnumupstream.New(laburnumupstream.WithTunnels(tunnels))),
		laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}),
	}, opts...)...)
	b.gateway.Start()
	b.fleet.HandleRoutes(testRoutes())
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: records})
	return b
}

func answers(id string) func(t *testing.T) *backend {
	return func(t *testing.T) *backend {
		return newBackend(t, id, func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, 200, "ok") })
	}
}

// Guards against a gateway that tells others of servers which only it can't reach, and refuses what they could serve.
func TestLostLinksAreNoFailureOfTheServers(t *testing.T) {
	records, tunnels := behindLostLinks(t, "booking", answers("i-1")(t), answers("i-2")(t), answers("i-3")(t))
	b := newLinksHarness(t, tunnels, &reports{}, records)
	require.Eventually(t, func() bool { return b.send("POST", "/confirm/x", "visit").status == http.StatusOK }, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, b.send("GET", "/lookup/x", "slots").status)
	require.Empty(t, b.fleet.GatewayReport().Unreachable)
	require.False(t, b.gateway.CanHelp(), "it can't open connections for others")
	require.True(t, b.gateway.Ready())
}

// Guards against a gateway whose links are lost unnoticed since others reach the servers late, as on a busy machine.
func TestServersThatAnswerOthersLateAreReached(t *testing.T) {
	records, tunnels := behindLostLinks(t, "booking", answers("i-1")(t), answers("i-2")(t), answers("i-3")(t))
	tunnels.delay = 400 * time.Millisecond
	b := newLinksHarness(t, tunnels, &reports{}, records)
	require.Eventually(t, func() bool { return b.send("POST", "/confirm/x", "visit").status == http.StatusOK }, 10*time.Second, time.Millisecond)
}

// Guards against a gateway that refuses what a single server could serve, which only other VMs reach, and tells others that it is down.
func TestServerThatOnlyOthersReachIsServedThroughThem(t *testing.T) {
	records, tunnels := behindLostLinks(t, "booking", answers("i-1")(t))
	near := newBackend(t, "i-2", func(conn net.Conn, a receivedRequest, _ int) { writeStream(conn, a) })
	earlier := records[0] // is remembered for a while after it has left the address to another
	earlier.Heartbeat.Backend, earlier.Gone = "i-0", true
	b := newLinksHarness(t, tunnels, &reports{}, append(records, earlier, near.heartbeat("quotes", "m0")))
	quote := func() int { return b.send("POST", "/draft/x", "text", "X-Laburnumlever-Model", "m0").status }
	require.Eventually(t, func() bool {
		return quote() == http.StatusOK && b.send("POST", "/confirm/x", "visit").status == http.StatusOK
	}, 10*time.Second, time.Millisecond)
	for range 10 {
		require.Equal(t, http.StatusOK, b.send("POST", "/confirm/x", "visit").status)
		require.Equal(t, http.StatusOK, quote())
	}
	require.Empty(t, b.fleet.GatewayReport().Unreachable)
	address := records[0].Heartbeat.Address
	require.False(t, b.gateway.CanReach(address), "requests would go in a circle")
	require.True(t, b.gateway.CanReach(near.ln.Addr().String()))

	ln, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go forwardTo(ln, tunnels.real[address])
	require.Eventually(t, func() bool { return b.gateway.CanReach(address) }, 10*time.Second, time.Millisecond, "it answers directly")
	require.Equal(t, http.StatusOK, b.send("POST", "/confirm/x", "visit").status)
}

// forwardTo forwards connections to an address.
func forwardTo(ln net.Listener, address string) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer near.Close()
			far, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer far.Close()
			go func() { _, _ = io.Copy(far, near) }()
			_, _ = io.Copy(near, far)
		}()
	}
}

// Guards against servers reported as unreachable to the director before it is known whose fault that is.
func TestServersAreNotReportedWhileLinksAreDoubted(t *testing.T) {
	records, tunnels := behindLostLinks(t, "booking", answers("i-1")(t), answers("i-2")(t), answers("i-3")(t))
	checked := make(chan struct{})
	defer close(checked)
	tunnels.onDial = func(context.Context) { <-checked } // the verification outlasts the request
	b := newLinksHarness(t, tunnels, &reports{}, records)
	ended := make(chan callerResponse, 1)
	go func() { ended <- b.send("POST", "/confirm/x", "visit") }()
	for {
		select {
		case got := <-ended:
			require.NoError(t, got.err)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			return
		case <-time.After(time.Millisecond):
			require.Less(t, len(b.fleet.GatewayReport().Unreachable), 2, "one may have failed itself")
		}
	}
}

// Guards against requests that wait for their deadline although it is known that no server can be reached.
func TestLostLinksWithoutHelpersAreRefusedAtOnce(t *testing.T) {
	records, tunnels := behindLostLinks(t, "booking", answers("i-1")(t), answers("i-2")(t), answers("i-3")(t), answers("i-4")(t))
	tunnels.err = &laburnumtunnel.NoHelperError{}
	b := newLinksHarness(t, tunnels, &reports{}, records)
	require.Eventually(t, func() bool { return b.send("POST", "/confirm/x", "visit").body == "links-lost\n" }, 10*time.Second, time.Millisecond)
	began := time.Now()
	got := b.send("POST", "/confirm/x", "visit")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Less(t, time.Since(began), 300*time.Millisecond)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Less(t, after, 0.5, "another gateway can serve it")
	require.False(t, b.gateway.Ready(), "the load balancer prefers other gateways")
}

// Guards against a gateway that refuses everybody, or leaves the load balancer, since one caller left while another VM was asked.
func TestCallerThatLeavesSaysNothingOfHelpers(t *testing.T) {
	records, tunnels := behindLostLinks(t, "booking", answersOnce(t, "i-1"), answersOnce(t, "i-2"), answersOnce(t, "i-3"))
	b := newLinksHarness(t, tunnels, &reports{}, records)
	require.Eventually(t, func() bool { return b.send("POST", "/confirm/x", "visit").status == http.StatusOK }, 10*time.Second, time.Millisecond)
	tunnels.unanswered.Store(true)
	require.Eventually(t, func() bool {
		ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer leave()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/confirm/x", nil)
		require.NoError(t, err)
		req.Host = "quotes.example"
		req.Header.Set(idHeader, "r-1")
		if resp, err := b.client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		return tunnels.gaveUp.Load() > 0
	}, 10*time.Second, time.Millisecond)
	require.Never(t, func() bool { return !b.gateway.Ready() }, 300*time.Millisecond, time.Millisecond)
}

// Guards against innocent requests in quarantine, since all connections of their gateway were reset.
func TestResetLinksAreNoCrash(t *testing.T) {
	var server *backend
	server = newBackend(t, "i-1", crashAtOnce(func() net.Listener { return server.ln }))
	record := server.heartbeat("quotes", "m0")
	alive := answers("i-1")(t)
	r := &reports{}
	b := newLinksHarness(t, &fakeTunnels{real: map[string]string{record.Heartbeat.Address: alive.ln.Addr().String()}}, r, []laburnumregistry.Record{record})
	require.Equal(t, http.StatusBadGateway, b.send("POST", "/draft/x", "innocent", "X-Laburnumlever-Model", "m0").status)

	var crashing *backend
	crashing = newBackend(t, "i-2", crashAtOnce(func() net.Listener { return crashing.ln }))
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{crashing.heartbeat("quotes", "m1")}})
	require.Eventually(t, func() bool {
		_ = b.send("POST", "/draft/x", "poison", "X-Laburnumlever-Model", "m1")
		return len(r.sent().Sightings) > 0
	}, 10*time.Second, 10*time.Millisecond, "a crash that another VM sees as well")
	for _, s := range r.sent().Sightings {
		require.Equal(t, laburnumlever.BackendID("i-2"), s.Backend)
	}
}

// Guards against servers whose crashes at the same moment look like lost links, so that the requests on them are never counted.
func TestServersThatCrashTogetherAreReported(t *testing.T) {
	var servers [2]*backend
	both := make(chan struct{}, len(servers))
	crash := make(chan struct{})
	for i := range servers {
		servers[i] = newBackend(t, "i-"+strconv.Itoa(i), func(conn net.Conn, a receivedRequest, _ int) {
			both <- struct{}{}
			<-crash
			_ = servers[i].ln.Close()
			writeEvents(conn, a, 1, 0)
			_ = conn.Close()
		})
	}
	r := &reports{}
	b := newLinksHarness(t, &fakeTunnels{err: &laburnumtunnel.NoHelperError{}}, r, []laburnumregistry.Record{
		servers[0].heartbeat("quotes", "m0"), servers[1].heartbeat("quotes", "m1"), answers("i-2")(t).heartbeat("booking"),
	})
	var ended sync.WaitGroup
	for i := range servers {
		ended.Go(func() { _ = b.send("POST", "/draft/x", "poison", "X-Laburnumlever-Model", "m"+strconv.Itoa(i)) })
	}
	<-both
	<-both
	close(crash)
	ended.Wait()
	require.Eventually(t, func() bool { return len(r.sent().Sightings) == len(servers) }, 10*time.Second, time.Millisecond)
}

// Guards against a crash that goes unnoticed since it broke a connection through another VM.
func TestRefusedTunnelIsACrash(t *testing.T) {
	err := &laburnumtunnel.ServerUnreachableError{Address: "10.0.0.7:80", Helper: "10.0.0.2:7000", Refused: true}
	require.ErrorIs(t, &laburnumupstream.DialError{Address: err.Address, Tunnelled: true, Cause: err}, syscall.ECONNREFUSED)
}

// Guards against ending answers of a backend server that falls silent for a second and goes on.
func TestServerThatIsSilentForASecondIsSound(t *testing.T) {
	silent := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 2)
		<-time.After(1200 * time.Millisecond)
		writeChunk(conn, "id: 3\ndata: word-3\n\n")
		writeLastChunk(conn)
	})
	other := answers("i-2")(t)
	b := newLinksHarness(t, &fakeTunnels{}, &reports{}, []laburnumregistry.Record{silent.heartbeat("quotes", "m0"), other.heartbeat("booking")})
	got := b.send("POST", "/draft/x", "text", "X-Laburnumlever-Model", "m0")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Contains(t, got.body, "word-3")
	require.Len(t, silent.requests(), 1, "not sent again")
	require.True(t, b.gateway.CanHelp())
}
