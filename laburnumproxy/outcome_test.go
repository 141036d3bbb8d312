package laburnumproxy_test

import (
	"context"
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

func hangUp(w http.ResponseWriter) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	conn.Close()
}

// A booking fails and its caller is told not-run, so it books again; the first had
// reached the service. Not-run may be told only if no byte went out or the service
// said so itself.
func TestNotRunOnlyWhenNothingWasSent(t *testing.T) {
	for name, c := range map[string]struct {
		serve   http.HandlerFunc
		closed  bool
		reason  string
		outcome string
	}{
		"nobody listens":         {closed: true, reason: "backend-unreachable", outcome: "not-run"},
		"hangs up after reading": {serve: func(w http.ResponseWriter, _ *http.Request) { hangUp(w) }, reason: "backend-unreachable", outcome: "unknown"},
		"says that it did not": {serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Laburnumlever-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, reason: "backend-busy", outcome: "not-run"},
		"breaks off its answer": {serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			io.WriteString(w, "book")
		}, reason: "broken-stream", outcome: "unknown"},
		"answers without an end": {serve: func(w http.ResponseWriter, r *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\n\r\nbook")
			conn.Close()
		}, reason: "broken-stream", outcome: "unknown"},
		"echoes another's number": {serve: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Attempt-Id", "7") }, reason: "crossed-answer", outcome: "unknown"},
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

// A request is sent to an engine, which dies while it has it, and then can't be sent
// to the other. Told of the second alone, the caller would hear not-run. It hears
// unknown, as the first may have run.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	reachedAny := false
	for seed := range uint64(8) {
		b := newFixture(t, nil, laburnumproxy.WithSeed(seed))
		var reached atomic.Bool
		b.engine(false, func(w http.ResponseWriter, _ *http.Request) { reached.Store(true); hangUp(w) })
		b.engine(false, nil).Close()
		got := b.post("/v1/completions", `{"model":"quote"}`)
		want := map[bool]string{false: "not-run", true: "unknown"}[reached.Load()]
		got.requireRefusal(t, "backend-unreachable", want)
		reachedAny = reachedAny || reached.Load()
	}
	require.True(t, reachedAny)
}

// A kept-alive connection dies just as a booking is written to it. net/http sends a
// request with an Idempotency-Key again by itself on another connection, so two vans
// stand at the door. The call must be run once, and the caller told unknown.
func TestTransportDoesNotRetryWrittenRequest(t *testing.T) {
	b := newFixture(t, nil)
	var bookings atomic.Int32
	b.service(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			bookings.Add(1)
			hangUp(w)
		}
	})
	req, _ := http.NewRequest(http.MethodGet, b.server.URL+"/services/booking/slots", nil)
	resp, err := http.DefaultClient.Do(req) // leaves a kept-alive connection
	require.NoError(t, err)
	resp.Body.Close()
	b.post("/services/booking/visits", "", "Idempotency-Key", "k").requireRefusal(t, "backend-unreachable", "unknown")
	require.EqualValues(t, 1, bookings.Load())
}

// A caller loses the answer to its booking and sends it again through another VM. A
// second booking would be made. It gets the first's answer; another caller with the
// same key gets its own, and other content under the key is refused.
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
	require.Equal(t, "for bert", ask(second, "tuesday", "bert").body)
}

// The VM that sent a booking dies before its answer is recorded. The resend through
// another VM would book again; it is told unknown, and nothing is run.
func TestVMFailureAfterClaimReportsUnknown(t *testing.T) {
	log := &fakeLog{claims: map[string]*fakeClaim{}}
	b := newFixture(t, log)
	b.service(func(http.ResponseWriter, *http.Request) { t.Error("run again") })
	log.claimedBy = "vm-2"
	b.post("/services/booking/visits", "", "Idempotency-Key", "k").requireRefusal(t, "outcome-unknown", "unknown")
	log.claimedBy = "vm-1" // still alive: it may yet answer
	b.post("/services/booking/visits", "", "Idempotency-Key", "l").requireRefusal(t, "key-in-progress", "unknown")
}

// This zone is cut off from the log. A booking that is run without a claim could be
// run again elsewhere; it is refused as not run, which is true.
func TestNoQuorumRefusesClaimedCall(t *testing.T) {
	log := &fakeLog{claims: map[string]*fakeClaim{}, err: &laburnumlever.NoQuorumError{}}
	b := newFixture(t, log)
	b.service(func(http.ResponseWriter, *http.Request) { t.Error("run without a claim") })
	got := b.post("/services/booking/visits", "", "Idempotency-Key", "k")
	got.requireRefusal(t, "no-quorum", "not-run")
	require.Equal(t, "1", got.header.Get("Retry-After"))
}

// A caller hangs up while its booking runs. Cancelled, the booking would be half made
// and its outcome lost; it runs on, and the resend gets its answer.
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
	ctx, hangUpCaller := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/services/booking/visits", nil)
	req.Header.Set("Idempotency-Key", "k")
	ended := make(chan struct{})
	go func() { http.DefaultClient.Do(req); close(ended) }()
	<-started
	hangUpCaller()
	<-ended
	close(resume)
	require.Eventually(t, func() bool { return b.proxy.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, "booked", b.post("/services/booking/visits", "", "Idempotency-Key", "k").body)
}

// A service takes a booking and never answers. The caller would wait for ever; it is
// told unknown at the bound.
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
	b.timers.Advance(laburnumproxy.DefaultStall + time.Second)
	(<-got).requireRefusal(t, "deadline", "unknown")
}

// A caller stops reading its stream. Buffered here, the answers of many such callers
// would take all memory; the engine is held back, and cut off at the bound.
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
		if now := written.Load(); now != last {
			last = now // it still flows: let the sockets fill up
			return false
		}
		b.timers.Advance(laburnumproxy.DefaultStall + time.Second)
		return b.proxy.InFlight() == 0
	}, 30*time.Second, 50*time.Millisecond)
	<-ended
	const socketBuffers = 64 << 20 // of the kernel, on both connections
	require.Less(t, written.Load(), int64(socketBuffers))
}

// A VM is stopped while it streams an answer. The caller would lose the rest; the VM
// takes no new work, says so, and ends when the stream has.
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

// A zone is cut off while a booking is claimed: the claim hangs on its way to the log,
// so the caller is told not-run. After the heal the claim arrives. The caller sends
// the booking again, as told: it must run, once, and not be called in progress.
func TestDelayedClaimIsReleased(t *testing.T) {
	b := newFixture(t, nil)
	var runs atomic.Int32
	b.service(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	b.log.mu.Lock()
	b.log.delay = true
	b.log.mu.Unlock()
	b.post("/services/booking/visits", "", "Idempotency-Key", "k").requireRefusal(t, "no-quorum", "not-run")
	b.log.deliver()
	require.Eventually(t, func() bool {
		b.timers.Advance(time.Second)
		return b.post("/services/booking/visits", "", "Idempotency-Key", "k").status == http.StatusOK
	}, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 1, runs.Load())
}

// A zone is cut off and its callers send booking after booking. Each would wait for the
// log in vain; after the first they are refused at once, and the log is tried once a
// second, so that the first booking after the heal runs.
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
	b.timers.Advance(time.Second)
	b.post("/services/booking/visits", "", "Idempotency-Key", "k").requireRefusal(t, "no-quorum", "not-run")
	require.Equal(t, 2, tries())
	b.log.deliver()
	b.timers.Advance(time.Second)
	require.Equal(t, http.StatusOK, b.post("/services/booking/visits", "", "Idempotency-Key", "k2").status)
}
