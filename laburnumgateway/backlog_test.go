package laburnumgateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"laburnumlever"
	"laburnumlever/laburnumbacklog"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"
)

const (
	bigEvents     = 300
	bigEventBytes = 2 << 10
	slowTimeout   = 30 * time.Second // of the routes
)

// slowCaller is a caller whose kernel takes little, so that what it does not read stays at the gateway.
type slowCaller struct {
	t testing.TB
	net.Conn
	taken bytes.Buffer
}

func newSlowCaller(t testing.TB, b *harness, path string) *slowCaller {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp", b.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: quotes.example\r\n%s: r-1\r\nX-Laburnumlever-Model: m0\r\n\r\n", path, idHeader)
	require.NoError(t, err)
	return &slowCaller{t: t, Conn: conn}
}

// take reads some bytes, which readAnswer returns as well.
func (c *slowCaller) take(n int64) {
	_, err := io.CopyN(&c.taken, c, n)
	assert.NoError(c.t, err)
}

// readAnswer reads the answer. The error says that it was cut.
func (c *slowCaller) readAnswer() (string, error) {
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(&c.taken, c)), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// newBacklogHarness starts a gateway whose routes give callers a lot of time.
func newBacklogHarness(t testing.TB, timers laburnumlever.Timers, budget int64, records ...laburnumregistry.Record) *harness {
	b := newUnconfiguredHarnessWith(t, timers, laburnumgateway.WithBufferBudget(budget),
		laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Slack: 50}))
	routes := testRoutes()
	for i := range routes.Routes {
		routes.Routes[i].Timeout = laburnumlever.Duration(slowTimeout)
	}
	b.fleet.HandleRoutes(routes)
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: records})
	return b
}

func bigEvent(i int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", bigEventBytes))
}

func bigStream(first, last int) string {
	var text strings.Builder
	for i := first; i <= last; i++ {
		text.WriteString(bigEvent(i))
	}
	return text.String()
}

// writeBigEvents writes the rest of a stream after the caller's last event, up to one.
func writeBigEvents(conn net.Conn, a receivedRequest, last int) {
	from, _ := strconv.Atoi(a.request.Header.Get("Last-Event-Id"))
	writeEvents(conn, a, 1, 0)
	for i := from + 1; i <= last; i++ {
		writeChunk(conn, bigEvent(i))
	}
}

func answerBigStream(conn net.Conn, a receivedRequest, _ int) {
	writeBigEvents(conn, a, bigEvents)
	writeLastChunk(conn)
}

// awaitHeld waits until the gateway has no request in flight and holds something, or nothing.
func awaitHeld(t testing.TB, b *harness, held bool) {
	require.Eventually(t, func() bool { return b.gateway.InFlight() == 0 && b.gateway.HeldBytes() > 0 == held }, 10*time.Second, time.Millisecond)
}

// Guards against answers that engines cut off, and slots that stay taken, since their callers read later.
func TestEngineIsDoneBeforeASlowCallerReads(t *testing.T) {
	whole, long := strings.Repeat("w", 900<<10), strings.Repeat("l", laburnumbacklog.MaxAnswer+1)
	for name, answer := range map[string]struct {
		path, service, want string
		answer              func(net.Conn, receivedRequest, int)
	}{
		"whole":  {"/lookup/x", "booking", whole, func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, http.StatusOK, whole) }},
		"long":   {"/lookup/x", "booking", long, func(conn net.Conn, a receivedRequest, _ int) { writeAnswer(conn, a, http.StatusOK, long) }},
		"stream": {"/draft/x", "quotes", bigStream(1, bigEvents), answerBigStream},
	} {
		t.Run(name, func(t *testing.T) {
			timers := laburnumtimer.New()
			t.Cleanup(timers.Close)
			server := newBackend(t, "i-1", answer.answer)
			b := newBacklogHarness(t, timers, 8<<20, server.heartbeat(answer.service, "m0"))
			caller := newSlowCaller(t, b, answer.path)
			awaitHeld(t, b, true)
			body, err := caller.readAnswer()
			require.NoError(t, err)
			require.True(t, body == answer.want)
			awaitHeld(t, b, false)
		})
	}
}

// Guards against events that are lost or repeated when a stream breaks while earlier ones are still held.
func TestBrokenStreamResumesBehindWhatIsHeld(t *testing.T) {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	answer := func(conn net.Conn, a receivedRequest, _ int) {
		if a.request.Header.Get("Last-Event-Id") == "" {
			writeBigEvents(conn, a, bigEvents/2)
			_ = conn.Close()
			return
		}
		answerBigStream(conn, a, 0)
	}
	first, second := newBackend(t, "i-1", answer), newBackend(t, "i-2", answer)
	b := newBacklogHarness(t, timers, 8<<20, first.heartbeat("quotes", "m0"), second.heartbeat("quotes", "m0"))
	caller := newSlowCaller(t, b, "/quote/x")
	awaitHeld(t, b, true)
	body, err := caller.readAnswer()
	require.NoError(t, err)
	require.True(t, body == bigStream(1, bigEvents))
}

// Guards against a cut answer that a slow caller takes for a whole one.
func TestBrokenAnswerStaysBrokenForASlowCaller(t *testing.T) {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeBigEvents(conn, a, bigEvents)
		_ = conn.Close()
	})
	b := newBacklogHarness(t, timers, 8<<20, server.heartbeat("quotes", "m0"))
	caller := newSlowCaller(t, b, "/draft/x")
	awaitHeld(t, b, true)
	body, err := caller.readAnswer()
	require.Error(t, err)
	require.True(t, body == bigStream(1, bigEvents), "what came is delivered")
}

// Guards against memory that stays taken by callers who have left.
func TestCallerThatLeavesFreesWhatIsHeld(t *testing.T) {
	server := newBackend(t, "i-1", answerBigStream)
	b := newBacklogHarness(t, laburnumtimer.NewManual(time.Now()), 8<<20, server.heartbeat("quotes", "m0"))
	caller := newSlowCaller(t, b, "/draft/x")
	awaitHeld(t, b, true)
	require.NoError(t, caller.Close())
	awaitHeld(t, b, false)
}

// Guards against callers that take nothing and hold memory for ever.
func TestCallerThatTakesNothingIsEndedAfterItsTime(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Now())
	server := newBackend(t, "i-1", answerBigStream)
	b := newBacklogHarness(t, timers, 8<<20, server.heartbeat("quotes", "m0"))
	caller := newSlowCaller(t, b, "/draft/x")
	awaitHeld(t, b, true)
	silence, taken := time.Duration(0), b.gateway.DeliveredBytes()
	for ended := false; !ended; {
		timers.Advance(time.Second)
		silence += time.Second
		ended = b.gateway.HeldBytes() == 0
		if now := b.gateway.DeliveredBytes(); !ended && now != taken {
			silence, taken = 0, now // what the caller's kernel has still taken for it starts the time anew
		}
		if ended {
			require.GreaterOrEqual(t, silence, slowTimeout-time.Second, "the budget has room")
		} else {
			require.LessOrEqual(t, silence, slowTimeout+time.Second, "held for a caller that has taken nothing")
		}
	}
	awaitHeld(t, b, false)
	_, err := caller.readAnswer()
	require.Error(t, err)
}

// Guards against one caller that takes nothing and keeps the memory from those that read.
func TestShortBudgetEndsTheCallerThatTakesNothing(t *testing.T) {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	server := newBackend(t, "i-1", answerBigStream)
	b := newBacklogHarness(t, timers, 600<<10, server.heartbeat("quotes", "m0"))
	silent := newSlowCaller(t, b, "/draft/x")
	awaitHeld(t, b, true)
	reading := newSlowCaller(t, b, "/draft/x")
	require.Eventually(t, func() bool {
		reading.take(bigEventBytes)
		return len(server.requests()) == 2 && b.gateway.InFlight() == 0
	}, 10*time.Second, 100*time.Millisecond)
	_, err := silent.readAnswer()
	require.Error(t, err)
	body, err := reading.readAnswer()
	require.NoError(t, err)
	require.True(t, body == bigStream(1, bigEvents))
}
