package laburnumgateway_test

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"
)

// returnsHarness is a gateway that tells refused callers when they can be served, and an engine that has told its pace.
type returnsHarness struct {
	*harness
	engine *backend
	logged *bytes.Buffer
	scope  tally.TestScope
	ended  chan callerResponse
}

func newReturnsHarness(t *testing.T, on bool) *returnsHarness {
	engine := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeStream(conn, a, "X-Laburnumlever-Server-Load: 0,0,8,100")
	})
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	logged, scope := &bytes.Buffer{}, tally.NewTestScope("", nil)
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1,
		laburnumgateway.WithSharedMachines(laburnumlever.SharedMachines{KnownReturns: on}))
	b := newHarnessOfFleet(t, fleet, timers, laburnumgateway.WithLogger(log.NewLogfmtLogger(log.NewSyncWriter(logged))), laburnumgateway.WithScope(scope))
	table := testRoutes()
	table.Routes[3].Timeout = laburnumlever.Duration(20 * time.Second)
	fleet.HandleRoutes(table)
	h := &returnsHarness{harness: b, engine: engine, logged: logged, scope: scope, ended: make(chan callerResponse, 1)}
	b.announce(engine.heartbeat("quotes", "m0"))
	require.Equal(t, http.StatusOK, h.ask("m0", "first").status)
	return h
}

func (h *returnsHarness) ask(model, body string) callerResponse {
	return h.send("POST", "/draft/x", body, "X-Laburnumlever-Model", model)
}

// load tells the gateway that the engine loads a model.
func (h *returnsHarness) load(model string, in time.Duration) {
	h.fleet.HandleAnswer("", laburnumfeed.Answer{Overlays: []laburnumregistry.Overlay{{
		Backend: h.engine.id, Fence: 1, Loading: []laburnumregistry.ModelLoad{{Model: laburnumlever.ModelName(model), ReadyIn: laburnumlever.Duration(in)}},
	}}})
}

func (h *returnsHarness) loaded(models ...string) {
	r := h.engine.heartbeat("quotes", models...)
	r.Heartbeat.Sequence = 2
	h.announce(r)
}

func retryAfter(t *testing.T, got callerResponse) time.Duration {
	t.Helper()
	require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	return time.Duration(after * float64(time.Second))
}

// Guards against refusing requests whose model is there before their callers lose patience.
func TestModelUnderLoadIsAwaited(t *testing.T) {
	h := newReturnsHarness(t, true)
	h.load("m1", 700*time.Millisecond)
	began := time.Now()
	go func() { h.ended <- h.ask("m1", "oak") }()
	time.AfterFunc(800*time.Millisecond, func() { h.loaded("m0", "m1") })
	require.Equal(t, http.StatusOK, (<-h.ended).status)
	require.Greater(t, time.Since(began), 700*time.Millisecond, "longer than the queue's own deadline of 400 ms")
}

// Guards against requests that wait in vain for a load, and against callers that return before its end.
func TestRequestForAModelUnderALongLoadIsRefusedAtOnce(t *testing.T) {
	h := newReturnsHarness(t, true)
	h.load("m1", 30*time.Second)
	began := time.Now()
	got := h.send("POST", "/draft/x", "oak", "X-Laburnumlever-Model", "m1")
	require.Less(t, time.Since(began), 300*time.Millisecond)
	require.Equal(t, "no-backend\n", got.body)
	require.InDelta(t, 6.6, retryAfter(t, got).Seconds(), 0.2, "as much of the caller's time as it is told at most")
	require.Contains(t, h.logged.String(), "expected=model-load")
}

// Guards against a request that waits for ever, or is refused at once, by a load that has not ended when it was expected to.
func TestOverdueLoadIsNotExpected(t *testing.T) {
	h := newReturnsHarness(t, true)
	h.load("m1", 10*time.Millisecond) // overdue after a heartbeat's period more
	require.Eventually(t, func() bool {
		began := time.Now()
		got := h.ask("m1", "oak")
		return got.status == http.StatusServiceUnavailable && time.Since(began) < 600*time.Millisecond
	}, 10*time.Second, time.Millisecond)
	require.Contains(t, h.logged.String(), "expected=default")
}

// Guards against changes for deployments that have not switched the part on.
func TestReturnsAreNotToldWhenOff(t *testing.T) {
	h := newReturnsHarness(t, false)
	h.load("m1", 700*time.Millisecond)
	began := time.Now()
	got := h.ask("m1", "oak")
	require.InDelta(t, 400, time.Since(began).Milliseconds(), 200, "the queue's own deadline")
	require.Positive(t, retryAfter(t, got))
	require.NotContains(t, h.logged.String(), "expected=model-load")
}

// Guards against callers that wait for a slot which almost surely does not come, and against never trying again whether one does.
func TestRequestBehindADrainThatStandsStillIsRefusedAtOnce(t *testing.T) {
	h := newReturnsHarness(t, true)
	full := h.engine.heartbeat("quotes", "m0")
	full.Heartbeat.Sequence, full.Heartbeat.Slots = 2, 1
	release := make(chan struct{})
	h.engine.answer = func(conn net.Conn, a receivedRequest, _ int) {
		<-release
		writeStream(conn, a, "X-Laburnumlever-Server-Load: 0,0,1,100")
	}
	h.announce(full)
	go func() { h.ended <- h.ask("m0", "held") }()
	require.Eventually(t, func() bool { return len(h.engine.requests()) == 2 }, 5*time.Second, time.Millisecond)
	told := func() bool {
		c, ok := h.scope.Snapshot().Counters()["returns_told+expected=drain,waited=false"]
		return ok && c.Value() > 0
	}
	for n := 0; n < 20 && !told(); n++ {
		first := make(chan callerResponse, 1)
		go func() { first <- h.ask("m0", "first") }()
		require.Eventually(t, func() bool { return h.fleet.Status().Queued == 1 }, 5*time.Second, time.Millisecond, "the first always waits")
		require.Equal(t, "queue-full\n", h.ask("m0", strconv.Itoa(n)).body)
		require.Equal(t, "queue-full\n", (<-first).body)
	}
	require.True(t, told())
	close(release)
	<-h.ended
	require.Equal(t, http.StatusOK, h.ask("m0", "after").status, "a free slot is taken whatever is expected")
}

// arrivalGap is between two requests whose arrivals a gateway must tell apart. It takes an arrival to be earlier than it was by up to a tick
// of the kernel's clock (10 ms at most), and by what the process stands still while it asks the kernel.
const arrivalGap = 200 * time.Millisecond

// Guards against a caller that returns as it was told to and waits behind those that came meanwhile.
func TestReturnedCallerKeepsItsPlace(t *testing.T) {
	h := newReturnsHarness(t, true)
	patient := testRoutes()
	patient.Version, patient.Routes[3].Timeout = 2, laburnumlever.Duration(20*time.Second)
	patient.Routes[3].Target = laburnumlever.Duration(5 * time.Second) // both are still queued when the process has stood still
	h.fleet.HandleRoutes(patient)
	h.load("m1", 30*time.Second)
	retryAfter(t, h.ask("m1", "early"))
	h.load("m1", 5*time.Second)
	one := h.engine.heartbeat("quotes", "m0", "m1")
	one.Heartbeat.Sequence, one.Heartbeat.Slots = 2, 1
	order := make(chan string, 2)
	for i, body := range []string{"new", "early"} {
		time.Sleep(arrivalGap)
		go func() {
			h.ask("m1", body)
			order <- body
		}()
		require.Eventually(t, func() bool { return h.fleet.Status().Queued == i+1 }, 5*time.Second, time.Millisecond)
	}
	h.announce(one)
	<-order
	<-order
	all := h.engine.requests()
	require.Equal(t, "early", all[len(all)-2].body)
}
