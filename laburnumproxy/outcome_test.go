package laburnumproxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumproxy"

	"github.com/stretchr/testify/require"
)

func closeConnection(w http.ResponseWriter) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	conn.Close()
}

// Guards against reporting not-run for a call that reached the service, which callers would resend and run twice.
func TestNotRunOnlyWhenNothingWasSent(t *testing.T) {
	for name, c := range map[string]struct {
		serve   http.HandlerFunc
		closed  bool
		reason  string
		outcome string
	}{
		"connection refused":              {closed: true, reason: "backend-unreachable", outcome: "not-run"},
		"connection closed after reading": {serve: func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }, reason: "backend-unreachable", outcome: "unknown"},
		"not-run reported": {serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Laburnumlever-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, reason: "backend-busy", outcome: "not-run"},
		"truncated body": {serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			io.WriteString(w, "book")
		}, reason: "broken-stream", outcome: "unknown"},
		"body ended by connection close": {serve: func(w http.ResponseWriter, r *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\n\r\nbook")
			conn.Close()
		}, reason: "broken-stream", outcome: "unknown"},
		"wrong attempt ID": {serve: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Attempt-Id", "7") }, reason: "crossed-answer", outcome: "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, nil)
			s := b.service(c.serve)
			if c.closed {
				s.Close()
			}
			b.post("/services/booking/visits", "tuesday").requireRefusal(t, c.reason, c.outcome)
		})
	}
}

// Guards against an answer whose status is none, which ends its caller's connection or reaches the caller, and against a not-run of a call that ran.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "0x0", "+20", "1000", "20", "", "101"} {
		t.Run(status, func(t *testing.T) {
			b := newFixture(t, nil)
			b.service(func(w http.ResponseWriter, r *http.Request) {
				conn, _, _ := w.(http.Hijacker).Hijack()
				fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nX-Attempt-Id: %s\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("X-Attempt-Id"))
				conn.Close()
			})
			got := b.post("/services/booking/visits", "tuesday")
			require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, got.status)
			require.Contains(t, got.body, `"unknown"`)
			require.NotEqual(t, "ok", got.body)
		})
	}
}

// Guards against reporting not-run because the last attempt did not run, after an earlier one reached an engine.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	reachedAny := false
	for seed := range uint64(8) {
		b := newFixture(t, nil, laburnumproxy.WithSeed(seed))
		var reached atomic.Bool
		b.engine(false, func(w http.ResponseWriter, _ *http.Request) { reached.Store(true); closeConnection(w) })
		b.engine(false, nil).Close()
		got := b.post("/v1/completions", `{"model":"quote"}`)
		want := map[bool]string{false: "not-run", true: "unknown"}[reached.Load()]
		got.requireRefusal(t, "backend-unreachable", want)
		reachedAny = reachedAny || reached.Load()
	}
	require.True(t, reachedAny)
}

// Guards against net/http resending a request that has an Idempotency-Key after its kept-alive connection died.
func TestTransportDoesNotRetryWrittenRequest(t *testing.T) {
	b := newFixture(t, nil)
	var bookings atomic.Int32
	b.service(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			bookings.Add(1)
			closeConnection(w)
		}
	})
	req, _ := http.NewRequest(http.MethodGet, b.server.URL+"/services/booking/slots", nil)
	resp, err := http.DefaultClient.Do(req) // leaves a kept-alive connection
	require.NoError(t, err)
	resp.Body.Close()
	b.post("/services/booking/visits", "", "Idempotency-Key", "k").requireRefusal(t, "backend-unreachable", "unknown")
	require.EqualValues(t, 1, bookings.Load())
}

// Guards against running a call twice, or returning another caller's response, when a call is resent through another VM.
func TestResendReturnsRecordedResponse(t *testing.T) {
	first := newFixture(t, nil)
	second := newFixture(t, first.log)
	var runs atomic.Int32
	for _, b := range []*fixture{first, second} {
		b.service(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			w.WriteHeader(http.StatusCreated)
			io.WriteString(w, "for "+r.Header.Get("Authorization"))
		})
	}
	ask := func(b *fixture, body, auth string) reply {
		return b.post("/services/booking/visits", body, "Idempotency-Key", "k", "Authorization", auth)
	}
	require.Equal(t, "for anna", ask(first, "tuesday", "anna").body)
	resent := ask(second, "tuesday", "anna")
	require.Equal(t, http.StatusCreated, resent.status)
	require.Equal(t, "for anna", resent.body)
	require.EqualValues(t, 1, runs.Load())
	ask(second, "friday", "anna").requireRefusal(t, "key-mismatch", "not-run")
	// Keys are separate by caller.
	require.Equal(t, "for bert", ask(second, "tuesday", "bert").body)
}

// Guards against running a call twice when the VM that claimed it dies before its response is recorded.
func TestVMFailureAfterClaimReportsUnknown(t *testing.T) {
	log := &fakeLog{claims: map[string]*fakeClaim{}}
	b := newFixture(t, log)
	b.service(func(http.ResponseWriter, *http.Request) { t.Error("run again") })
	log.claimedBy = "vm-2"
	b.post("/services/booking/visits", "", "Idempotency-Key", "k").requireRefusal(t, "outcome-unknown", "unknown")
	log.claimedBy = "vm-1" // still alive: it may yet record the response
	b.post("/services/booking/visits", "", "Idempotency-Key", "l").requireRefusal(t, "key-in-progress", "unknown")
}

// Guards against running a call without a claim in a zone that is cut off from the log; it could run again elsewhere.
func TestNoQuorumRefusesClaimedCall(t *testing.T) {
	log := &fakeLog{claims: map[string]*fakeClaim{}, err: &laburnumlever.NoQuorumError{}}
	b := newFixture(t, log)
	b.service(func(http.ResponseWriter, *http.Request) { t.Error("run without a claim") })
	got := b.post("/services/booking/visits", "", "Idempotency-Key", "k")
	got.requireRefusal(t, "no-quorum", "not-run")
	require.Equal(t, "1", got.header.Get("Retry-After"))
}

// Guards against cancelling a non-idempotent call when its caller disconnects, which would lose its outcome.
func TestNonIdempotentCallSurvivesCallerDisconnect(t *testing.T) {
	b := newFixture(t, nil)
	started, resume := make(chan struct{}), make(chan struct{})
	b.service(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		select {
		case <-resume:
			io.WriteString(w, "booked")
		case <-r.Context().Done():
		}
	})
	ctx, disconnectCaller := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/services/booking/visits", nil)
	req.Header.Set("Idempotency-Key", "k")
	ended := make(chan struct{})
	go func() { http.DefaultClient.Do(req); close(ended) }()
	<-started
	disconnectCaller()
	<-ended
	close(resume)
	require.Eventually(t, func() bool { return b.proxy.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, "booked", b.post("/services/booking/visits", "", "Idempotency-Key", "k").body)
}

// Guards against waiting forever for a service that accepts a call and never responds.
func TestSilentBackendTimesOut(t *testing.T) {
	b := newFixture(t, nil)
	started := make(chan struct{})
	b.service(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	})
	got := make(chan reply)
	go func() { got <- b.post("/services/booking/visits", "") }()
	<-started
	b.timers.Advance(laburnumproxy.DefaultStallTimeout + time.Second)
	(<-got).requireRefusal(t, "deadline", "unknown")
}

// Guards against buffering the streams of callers that stop reading, which would exhaust memory.
func TestSlowCallerAppliesBackpressure(t *testing.T) {
	b := newFixture(t, nil)
	var written atomic.Int64
	ended := make(chan struct{})
	line := "data: {\"choices\":[{\"text\":\"" + strings.Repeat("x", 1<<16) + "\"}]}\n\n"
	b.engine(false, func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		w.Header().Set("Content-Type", "text/event-stream")
		for r.Context().Err() == nil {
			n, err := io.WriteString(w, line)
			if err != nil {
				return
			}
			written.Add(int64(n))
		}
	})
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	body := `{"model":"quote","stream":true}`
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 31\r\n\r\n"+body)
	require.NoError(t, err)
	last := int64(-1)
	require.Eventually(t, func() bool {
		if now := written.Load(); now == 0 || now != last {
			last = now // not begun, or still flowing: let the socket buffers fill up
			return false
		}
		b.timers.Advance(laburnumproxy.DefaultStallTimeout + time.Second)
		return b.proxy.InFlight() == 0
	}, 30*time.Second, 50*time.Millisecond)
	<-ended
	const socketBuffers = 64 << 20 // the kernel's, for both connections
	require.Less(t, written.Load(), int64(socketBuffers))
}

// Guards against cutting off streams, or accepting new requests, while a VM is stopped.
func TestDrainWaitsForInFlightRequests(t *testing.T) {
	b := newFixture(t, nil)
	started, resume := make(chan struct{}), make(chan struct{})
	b.engine(false, func(w http.ResponseWriter, _ *http.Request) {
		writeTokens(w, 0, 1)
		close(started)
		<-resume
		writeTokens(w, 1, 4)
		writeDone(w)
	})
	got := make(chan reply)
	go func() { got <- b.stream() }()
	<-started
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	var timeout *laburnumproxy.DrainTimeoutError
	require.ErrorAs(t, b.proxy.Drain(cancelled), &timeout)
	require.Equal(t, 1, timeout.InFlight)
	b.stream().requireRefusal(t, "draining", "not-run")
	resp, err := http.Get(b.server.URL + "/readyz")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	close(resume)
	require.NoError(t, b.proxy.Drain(context.Background()))
	require.Contains(t, (<-got).body, "[DONE]")
}

// Guards against refusing a resend as in progress, after a partition delayed the claim of a call reported as not-run.
func TestDelayedClaimIsReleased(t *testing.T) {
	b := newFixture(t, nil)
	var runs atomic.Int32
	b.service(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	b.refusedByDelay()
	b.log.deliver()
	require.Eventually(t, func() bool {
		b.timers.Advance(time.Second)
		return b.post("/services/booking/visits", "", "Idempotency-Key", "k").status == http.StatusOK
	}, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against refusing a resend as in progress, after a second copy of a delayed claim arrived once the first was released.
func TestDelayedCopyOfAReleasedClaimIsReleased(t *testing.T) {
	b := newFixture(t, nil)
	var runs atomic.Int32
	b.service(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	b.refusedByDelay()
	claim := b.log.delayedClaim(t)
	b.log.deliver()
	require.Eventually(t, func() bool {
		b.timers.Advance(time.Second)
		return b.log.openClaims() == 0
	}, 10*time.Second, time.Millisecond)
	_, err := b.log.Propose(t.Context(), claim)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		b.timers.Advance(time.Second)
		return b.post("/services/booking/visits", "", "Idempotency-Key", "k").status == http.StatusOK
	}, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a claim that is released again every second for as long as a later claim holds its key.
func TestReleasesEndWhileALaterClaimHoldsTheKey(t *testing.T) {
	b := newFixture(t, nil)
	b.service(func(http.ResponseWriter, *http.Request) {})
	b.refusedByDelay()
	b.log.deliver()
	require.Eventually(t, func() bool {
		b.timers.Advance(time.Second)
		return b.post("/services/booking/visits", "", "Idempotency-Key", "k").status == http.StatusOK
	}, 10*time.Second, time.Millisecond)
	before := b.log.releases.Load()
	for range 600 {
		b.timers.Advance(time.Second)
		time.Sleep(time.Millisecond) // the release is proposed by another goroutine
	}
	require.LessOrEqual(t, b.log.releases.Load()-before, int32(10), "in ten minutes")
}

// Guards against every call in a partitioned zone waiting for its claim to time out, and refusals after it heals.
func TestClaimsFailFastWhileLogIsUnreachable(t *testing.T) {
	b := newFixture(t, nil)
	b.service(func(http.ResponseWriter, *http.Request) {})
	b.log.mu.Lock()
	b.log.delay = true
	b.log.mu.Unlock()
	tries := func() int {
		b.log.mu.Lock()
		defer b.log.mu.Unlock()
		claims := 0
		for _, cmd := range b.log.delayed {
			if cmd.Claim != nil {
				claims++
			}
		}
		return claims
	}
	for range 10 {
		b.post("/services/booking/visits", "", "Idempotency-Key", "k").requireRefusal(t, "no-quorum", "not-run")
	}
	require.Equal(t, 1, tries())
	// One claim a second probes the log.
	b.timers.Advance(time.Second)
	b.post("/services/booking/visits", "", "Idempotency-Key", "k").requireRefusal(t, "no-quorum", "not-run")
	require.Equal(t, 2, tries())
	b.log.deliver()
	b.timers.Advance(time.Second)
	require.Equal(t, http.StatusOK, b.post("/services/booking/visits", "", "Idempotency-Key", "k2").status)
}
