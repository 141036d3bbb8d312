package laburnumgateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"
)

func answerOK(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, 200, "done") }

func resetConnection(conn net.Conn, _ receivedRequest, _ int) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Guards against a backend server that gets another request than the caller sent, or internal headers that the caller set.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b := newHarness(t, server.heartbeat("booking"))
	got := b.send("POST", "/confirm/today?x=1%2F2", "visit at ten", "X-Laburnumlever-Deadline-Ms", "1500",
		"X-Laburnumlever-Hold", "mine", "Kv-From", "10.0.0.9:80/1", "X-Other", "kept")
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)
	require.Equal(t, "done", got.body)
	require.Equal(t, "s1", got.header.Get(stampHeader))
	require.Len(t, server.requests(), 1)
	a := server.requests()[0]
	require.Equal(t, "POST", a.request.Method)
	require.Equal(t, "/confirm/today?x=1%2F2", a.request.RequestURI)
	require.Equal(t, "quotes.example", a.request.Host)
	require.Equal(t, "visit at ten", a.body)
	require.Equal(t, "r-1", a.request.Header.Get(idHeader))
	require.Equal(t, "i-1", a.request.Header.Get("X-Laburnumlever-Expect-Instance"))
	require.Equal(t, "kept", a.request.Header.Get("X-Other"))
	require.Empty(t, a.request.Header.Get("X-Laburnumlever-Hold"))
	require.Empty(t, a.request.Header.Get("Kv-From"))
	var left int
	_, err := fmt.Sscan(a.request.Header.Get("X-Laburnumlever-Deadline-Ms"), &left)
	require.NoError(t, err)
	require.LessOrEqual(t, left, 1500)
	require.Greater(t, left, 1000)
}

// Guards against running a non-idempotent request twice, by a retry or a caller invited to retry, after its connection was reset.
func TestUnansweredNonIdempotentRequestIsNeitherRetriedNorReportedNotRun(t *testing.T) {
	first, second := newBackend(t, "i-1", resetConnection), newBackend(t, "i-2", resetConnection)
	b := newHarness(t, first.heartbeat("booking"), second.heartbeat("booking"))
	got := b.send("POST", "/confirm/x", "visit")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Empty(t, got.header.Get("Retry-After"))
	require.Equal(t, 1, len(first.requests())+len(second.requests()))
}

// Guards against refusing a request that one backend server did not run while another one would.
func TestNotRunRequestIsRetriedElsewhere(t *testing.T) {
	notRun := func(conn net.Conn, a receivedRequest, _ int) {
		writeAnswer(conn, a, 503, "", "X-Laburnumlever-Not-Run: 1")
	}
	first, second := newBackend(t, "i-1", notRun), newBackend(t, "i-2", answerOK)
	b := newHarness(t, first.heartbeat("booking"), second.heartbeat("booking"))
	for range 4 {
		require.Equal(t, 200, b.send("POST", "/confirm/x", "visit").status)
	}
	only := newHarness(t, first.heartbeat("booking"))
	got := only.send("POST", "/confirm/x", "visit")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, got.header.Get(stampHeader), "a refusal by the gateway must have no server stamp")
}

// Guards against telling a caller that a request did not run, after a 503 that does not say so.
func TestUnmarked503IsNotReportedAsNotRun(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, 503, "") })
	b := newHarness(t, server.heartbeat("booking"))
	require.Equal(t, http.StatusBadGateway, b.send("POST", "/confirm/x", "visit").status)
}

// Guards against an idempotent request that is not retried, and against hiding the backend server's answer if the retry fails too.
func TestIdempotentRequestIsRetriedOnceElsewhere(t *testing.T) {
	fails := func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, 500, "broken") }
	first, second := newBackend(t, "i-1", fails), newBackend(t, "i-2", answerOK)
	b := newHarness(t, first.heartbeat("booking"), second.heartbeat("booking"))
	for range 4 {
		require.Equal(t, 200, b.send("GET", "/lookup/x", "").status)
	}
	third := newBackend(t, "i-3", fails)
	both := newHarness(t, first.heartbeat("booking"), third.heartbeat("booking"))
	got := both.send("GET", "/lookup/x", "")
	require.Equal(t, 500, got.status)
	require.Equal(t, "broken", got.body)
	require.Equal(t, "s1", got.header.Get(stampHeader))
	require.Len(t, third.requests(), 1)
}

// Guards against sending to an address that another backend server has taken over, after late heartbeats of the old one.
func TestReplacedBackendGetsNoMoreRequests(t *testing.T) {
	replaced := newBackend(t, "i-old", func(conn net.Conn, a receivedRequest, _ int) {
		writeAnswer(conn, a, 421, "", "X-Laburnumlever-Instance-Id: i-new")
	})
	b := newHarness(t, replaced.heartbeat("booking"))
	require.Equal(t, http.StatusServiceUnavailable, b.send("POST", "/confirm/x", "visit").status)
	require.Equal(t, http.StatusServiceUnavailable, b.send("POST", "/confirm/x", "visit").status)
	require.Len(t, replaced.requests(), 1)
	require.Equal(t, []laburnumlever.BackendID{"i-old"}, b.fleet.GatewayReport().Replaced, "must be reported to the control VMs")
	require.Empty(t, b.fleet.GatewayReport().Replaced, "must be reported once")
}

// Guards against events lost or sent twice, and two engines at work at once, when an engine closes the connection within an event.
func TestBrokenStreamResumesElsewhere(t *testing.T) {
	breaks := func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 3)
		writeChunk(conn, "id: 4\ndata: wo")
		time.Sleep(20 * time.Millisecond) // the caller reads the first three meanwhile
		_ = conn.Close()
	}
	breaksOrResumes := func(conn net.Conn, a receivedRequest, _ int) {
		var last int
		_, _ = fmt.Sscan(a.request.Header.Get("Last-Event-Id"), &last)
		if last == 0 {
			breaks(conn, a, 0)
			return
		}
		writeEvents(conn, a, last+1, 6)
		writeLastChunk(conn)
	}
	first, second := newBackend(t, "i-1", breaksOrResumes), newBackend(t, "i-2", breaksOrResumes)
	b := newHarness(t, first.heartbeat("quotes", "m0"), second.heartbeat("quotes", "m0"))
	got := b.send("POST", "/quote/x", "oak floor", "X-Laburnumlever-Model", "m0")
	require.NoError(t, got.err)
	var want strings.Builder
	for i := 1; i <= 6; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: word-%d\n\n", i, i)
	}
	require.Equal(t, want.String(), got.body)
	require.Len(t, first.requests(), 1)
	require.Len(t, second.requests(), 1)
}

// A broken stream on a route that is not resumable must not look complete to the caller.
func TestBrokenNonResumableStreamIsReportedBroken(t *testing.T) {
	breaks := func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 2)
		_ = conn.Close()
	}
	first, second := newBackend(t, "i-1", breaks), newBackend(t, "i-2", breaks)
	b := newHarness(t, first.heartbeat("quotes", "m0"), second.heartbeat("quotes", "m0"))
	got := b.send("POST", "/draft/x", "oak floor", "X-Laburnumlever-Model", "m0")
	require.Error(t, got.err)
	require.Equal(t, 1, len(first.requests())+len(second.requests()))
}

// Guards against joining two generations into one stream: the engine that resumes it skips an event.
func TestEventGapAfterResumeEndsTheStream(t *testing.T) {
	skips := func(conn net.Conn, a receivedRequest, _ int) {
		if a.request.Header.Get("Last-Event-Id") == "" {
			writeEvents(conn, a, 1, 2)
			_ = conn.Close()
			return
		}
		writeEvents(conn, a, 4, 6)
		writeLastChunk(conn)
	}
	first, second := newBackend(t, "i-1", skips), newBackend(t, "i-2", skips)
	b := newHarness(t, first.heartbeat("quotes", "m0"), second.heartbeat("quotes", "m0"))
	got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
	require.Error(t, got.err)
	require.NotContains(t, got.body, "word-4")
}

// Guards against forwarding an answer that belongs to another request.
func TestCrossedAnswerIsNotForwarded(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		a.request.Header.Set(idHeader, "someone-elses")
		writeAnswer(conn, a, 200, "another's quote")
	})
	b := newHarness(t, server.heartbeat("booking"))
	got := b.send("POST", "/confirm/x", "visit")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.NotContains(t, got.body, "another's")
}

// Guards against taking an extra answer on an idle connection for the answer to the next request.
func TestExtraAnswerOnIdleConnectionIsDiscarded(t *testing.T) {
	sendExtra, sent := make(chan struct{}), make(chan net.Conn, 1)
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, n int) {
		writeAnswer(conn, a, 200, fmt.Sprintf("answer-%d", n))
		if n == 1 {
			<-sendExtra
			writeAnswer(conn, a, 200, "answer-1-again")
			sent <- conn
		}
	})
	b := newHarness(t, server.heartbeat("booking"))
	require.Equal(t, "answer-1", b.send("POST", "/confirm/x", "visit").body)
	close(sendExtra)
	awaitDelivery(t, <-sent)
	require.Equal(t, "answer-2", b.send("POST", "/confirm/x", "visit", idHeader, "r-2").body)
}

// Guards against forwarding an extra answer, or those after it, that arrives once the next request has been sent.
func TestExtraAnswerOnConnectionInUseIsDiscarded(t *testing.T) {
	var first receivedRequest
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, n int) {
		if n == 1 {
			first = a
		}
		if n == 2 {
			writeAnswer(conn, first, 200, "answer-1-again")
		}
		writeAnswer(conn, a, 200, fmt.Sprintf("answer-%d", n))
	})
	b := newHarness(t, server.heartbeat("booking"))
	require.Equal(t, "answer-1", b.send("POST", "/confirm/x", "visit").body)
	crossed := b.send("POST", "/confirm/x", "visit", idHeader, "r-2")
	require.Equal(t, http.StatusBadGateway, crossed.status)
	require.NotContains(t, crossed.body, "answer-")
	require.Equal(t, "answer-3", b.send("POST", "/confirm/x", "visit", idHeader, "r-3").body)
}

// Guards against forwarding a truncated answer as a complete one.
func TestTruncatedAnswerIsAFailure(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nhalf", idHeader, a.request.Header.Get(idHeader))
		_ = conn.Close()
	})
	b := newHarness(t, server.heartbeat("booking"))
	require.Equal(t, http.StatusBadGateway, b.send("POST", "/confirm/x", "visit").status)
}

// A backend server that never answers: the caller must get a 504 at the route's timeout.
func TestUnresponsiveBackendTimesOut(t *testing.T) {
	server := newBackend(t, "i-1", func(net.Conn, receivedRequest, int) { time.Sleep(5 * time.Second) })
	b := newHarness(t, server.heartbeat("booking"))
	start := time.Now()
	got := b.send("POST", "/confirm/x", "visit")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.InDelta(t, 2.0, time.Since(start).Seconds(), 0.6)
}

// Guards against a backend server that continues to work for a caller that has disconnected.
func TestCallerDisconnectClosesTheBackendConnection(t *testing.T) {
	closed := make(chan struct{})
	server := newBackend(t, "i-1", func(conn net.Conn, _ receivedRequest, _ int) {
		_, _ = conn.Read(make([]byte, 1)) // returns when the connection ends
		close(closed)
	})
	b := newHarness(t, server.heartbeat("booking"))
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/confirm/x", strings.NewReader("visit"))
	require.NoError(t, err)
	req.Host = "quotes.example"
	req.Header.Set(idHeader, "r-1")
	go func() {
		for len(server.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = b.client.Do(req)
	require.Error(t, err)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the backend server is still open")
	}
}

// Guards against bad requests that reach a backend server, or whose status does not tell what is wrong.
func TestBadRequests(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b := newHarness(t, server.heartbeat("booking"))
	for _, tt := range []struct {
		name, path, body string
		headers          []string
		want             int
	}{
		{"no route", "/none/x", "", nil, 404},
		{"no id", "/confirm/x", "", []string{idHeader, ""}, 400},
		{"deadline header is not a number", "/confirm/x", "", []string{"X-Laburnumlever-Deadline-Ms", "soon"}, 400},
		{"body too large", "/confirm/x", strings.Repeat("x", 1001), nil, 413},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, b.send("POST", tt.path, tt.body, tt.headers...).status)
		})
	}
	require.Empty(t, server.requests())
}

// Guards against a 404, after which callers do not retry, from a gateway that has no routes yet.
func TestGatewayWithoutRoutesIsNotReady(t *testing.T) {
	b := newUnconfiguredHarness(t)
	got := b.send("POST", "/confirm/x", "visit")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.False(t, b.gateway.Ready())
}

// Guards against refusing requests for the moment between the start of a gateway and its first routes.
func TestRequestsAreQueuedUntilTheFirstRoutes(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b := newUnconfiguredHarness(t)
	got := make(chan callerResponse, 1)
	go func() { got <- b.send("POST", "/confirm/x", "visit") }()
	require.Eventually(t, func() bool { return b.gateway.InFlight() == 1 }, 5*time.Second, time.Millisecond)
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{server.heartbeat("booking")}})
	b.fleet.HandleRoutes(testRoutes())
	require.Equal(t, 200, (<-got).status)
}

// Guards against answers cut off by a drain, and against refusals before the load balancer has noticed it.
func TestDrainingGatewayRefusesRequestsThatMayOutlastIt(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b := newHarness(t, server.heartbeat("booking"))
	require.True(t, b.gateway.Ready())
	ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		b.gateway.Drain(ctx)
	}()
	require.Eventually(t, func() bool { return !b.gateway.Ready() }, 5*time.Second, time.Millisecond)
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit").status)
	require.Eventually(t, func() bool {
		got := b.send("POST", "/confirm/x", "visit")
		return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != ""
	}, 5*time.Second, 10*time.Millisecond)
	<-drained
}

// Guards against cutting off requests that arrive just before a drain ends.
func TestRequestAtTheEndOfADrainCompletes(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, n int) {
		arrived <- struct{}{}
		<-release
		answerOK(conn, a, n)
	})
	timers := laburnumtimer.NewManual(time.Now())
	b := newUnconfiguredHarnessWith(t, timers)
	b.fleet.HandleRoutes(testRoutes())
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{server.heartbeat("booking")}})
	idle := timers.Pending()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		b.gateway.Drain(t.Context())
	}()
	awaitCheck := func() { // the drain waits for its next check
		require.Eventually(t, func() bool { return timers.Pending() > idle }, 5*time.Second, time.Millisecond)
	}
	passChecks := func(n int) {
		for range n {
			awaitCheck()
			timers.Advance(50 * time.Millisecond)
		}
	}
	awaitCheck()
	timers.Advance(3 * time.Second) // the load balancer has noticed
	passChecks(9)
	awaitCheck()
	got := make(chan callerResponse, 1)
	go func() { got <- b.send("POST", "/confirm/x", "visit") }()
	<-arrived
	passChecks(2)
	awaitCheck()
	close(release)
	require.Equal(t, http.StatusOK, (<-got).status)
	require.Eventually(t, func() bool { return b.gateway.InFlight() == 0 }, 5*time.Second, time.Millisecond)
	passChecks(10)
	awaitCheck()
	require.Equal(t, http.StatusServiceUnavailable, b.send("POST", "/confirm/x", "visit").status, "new requests must be refused")
	require.Eventually(t, func() bool { return b.gateway.InFlight() == 0 }, 5*time.Second, time.Millisecond)
	passChecks(2)
	<-drained
}

// Guards against ending a broken stream at once since its wait for a slot is counted from the arrival of the request.
func TestBrokenStreamWaitsForASlotToResume(t *testing.T) {
	broken := make(chan struct{})
	var first *backend
	breaks := func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 2)
		time.Sleep(time.Second) // longer than a new request may wait for a slot
		_ = first.ln.Close()
		_ = conn.Close()
		close(broken)
	}
	busy := func(conn net.Conn, a receivedRequest, _ int) {
		if a.request.Header.Get("Last-Event-Id") != "" {
			writeEvents(conn, a, 3, 4)
			writeLastChunk(conn)
			return
		}
		writeEvents(conn, a, 1, 1)
		<-broken
		time.Sleep(300 * time.Millisecond)
		writeLastChunk(conn)
	}
	first = newBackend(t, "i-1", breaks)
	second := newBackend(t, "i-2", busy)
	oneSlot := second.heartbeat("quotes", "m0", "m1")
	oneSlot.Heartbeat.Slots = 1
	b := newHarness(t, first.heartbeat("quotes", "m0"), oneSlot)
	full := make(chan callerResponse, 1)
	go func() { full <- b.send("POST", "/draft/x", "fir", "X-Laburnumlever-Model", "m1", idHeader, "r-2") }()
	require.Eventually(t, func() bool { return len(second.requests()) == 1 }, 5*time.Second, time.Millisecond)
	got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
	require.NoError(t, got.err)
	require.Contains(t, got.body, "word-4")
	require.NoError(t, (<-full).err)
}

// fakeAdapterLoader records requests for adapters and answers that holder has loaded them.
type fakeAdapterLoader struct {
	requests chan laburnumlever.AdapterRequest
	holder   laburnumlever.BackendID
}

func (a fakeAdapterLoader) EnsureLoaded(_ context.Context, adapterRequest laburnumlever.AdapterRequest) ([]laburnumlever.BackendID, error) {
	a.requests <- adapterRequest
	return []laburnumlever.BackendID{a.holder}, nil
}

// Guards against a request that waits until its deadline for the only engine with the adapter, which this gateway cannot reach.
func TestRequestForUnreachableAdapterIsRefusedInTime(t *testing.T) {
	server := newBackend(t, "i-1", func(net.Conn, receivedRequest, int) {})
	loader := fakeAdapterLoader{requests: make(chan laburnumlever.AdapterRequest, 10_000), holder: "i-9"}
	b := newUnconfiguredHarness(t, laburnumgateway.WithAdapterLoader(loader))
	b.fleet.HandleRoutes(testRoutes())
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{server.heartbeat("quotes", "m0")}})
	start := time.Now()
	got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0/a1")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Less(t, time.Since(start), 1500*time.Millisecond, "two thirds of the timeout of 2 s, and some slack")
}

// Guards against failures that stay unknown to the other gateways.
func TestBackendErrorsAreReported(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, 500, "broken") })
	b := newHarness(t, server.heartbeat("booking"))
	require.Equal(t, 500, b.send("POST", "/confirm/x", "visit").status)
	require.Equal(t, []laburnumlever.BackendOutcome{{Backend: "i-1", Failed: 1}}, b.fleet.GatewayReport().Outcomes)
	require.Empty(t, b.fleet.GatewayReport().Outcomes)
}

// Guards against requests lost again and again on connections that a server closes sooner than it announces.
func TestConnectionsThatAreClosedEarlyAreNotReusedForLong(t *testing.T) {
	const allowed, pause, requests = 50 * time.Millisecond, 100 * time.Millisecond, 20
	var mu sync.Mutex
	last := map[net.Conn]time.Time{}
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, n int) {
		mu.Lock()
		at, reused := last[conn]
		last[conn] = time.Now()
		mu.Unlock()
		if reused && time.Since(at) > allowed {
			resetConnection(conn, a, n)
			return
		}
		writeAnswer(conn, a, http.StatusOK, "done", "Keep-Alive: timeout=5")
	})
	b := newHarness(t, server.heartbeat("booking"))
	lost := 0
	for range requests {
		if b.send("POST", "/confirm/x", "visit").status != http.StatusOK {
			lost++
		}
		<-time.After(pause)
	}
	require.LessOrEqual(t, lost, 2)
}
