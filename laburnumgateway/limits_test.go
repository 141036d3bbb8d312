package laburnumgateway_test

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"laburnumlever"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"
)

const limitHeader = "X-Laburnumlever-Server-Limit"

// keepers are control VMs that give prepared answers.
type keepers struct {
	mu       sync.Mutex
	answer   func(q laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error)
	requests []laburnumlimit.SlotRequest
	reports  []laburnumlimit.Report
}

func (k *keepers) Reserve(_ context.Context, q laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests = append(k.requests, q)
	return k.answer(q)
}

func (k *keepers) Report(r laburnumlimit.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reports = append(k.reports, r)
}

func (k *keepers) asked() []laburnumlimit.SlotRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]laburnumlimit.SlotRequest(nil), k.requests...)
}

func (k *keepers) told() []laburnumlimit.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]laburnumlimit.Report(nil), k.reports...)
}

func granting(in time.Duration) func(laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error) {
	return func(q laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error) {
		return laburnumlimit.SlotAnswer{Granted: true, In: laburnumlever.Duration(in), Limit: q.Limit}, nil
	}
}

func refusing(in time.Duration) func(laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error) {
	return func(q laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error) {
		return laburnumlimit.SlotAnswer{In: laburnumlever.Duration(in), Limit: q.Limit}, nil
	}
}

// limitHarness is a gateway with prepared keepers.
type limitHarness struct {
	*harness
	keepers *keepers
	scope   tally.TestScope
	records []laburnumregistry.Record
}

func newLimitHarness(t *testing.T, answer func(laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error), records ...laburnumregistry.Record) *limitHarness {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	return newLimitHarnessWith(t, timers, answer, records...)
}

func newLimitHarnessWith(t *testing.T, timers laburnumlever.Timers, answer func(laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error), records ...laburnumregistry.Record) *limitHarness {
	b := &limitHarness{keepers: &keepers{answer: answer}, scope: tally.NewTestScope("", nil), records: records}
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1, laburnumgateway.WithLimitKeepers(b.keepers))
	b.harness = newHarnessOfFleet(t, fleet, timers, laburnumgateway.WithScope(b.scope))
	b.fleet.HandleRoutes(testRoutes())
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: records})
	return b
}

func (b *limitHarness) counter(name string) int64 { return b.scope.Snapshot().Counters()[name].Value() }

// tell publishes a limit of the backend server i-1.
func (b *limitHarness) tell(l laburnumlimit.Limit) {
	l.Backend = "i-1"
	b.fleet.HandleAnswer("a", laburnumfeed.Answer{Limits: []laburnumlimit.Limit{l}})
}

// answerWithLimit answers with a limit while it is above 0.
func answerWithLimit(limit func(n int) float64) func(net.Conn, receivedRequest, int) {
	return func(conn net.Conn, a receivedRequest, n int) {
		if l := limit(n); l > 0 {
			writeAnswer(conn, a, 200, "done", limitHeader+": "+strconv.FormatFloat(l, 'g', -1, 64))
			return
		}
		writeAnswer(conn, a, 200, "done")
	}
}

func always(limit float64) func(int) float64 { return func(int) float64 { return limit } }

// Guards against requests to an engine beyond the limit that its answers name.
func TestLimitedServerGetsOnlyRequestsWithASlot(t *testing.T) {
	server := newBackend(t, "i-1", answerWithLimit(always(2.5)))
	b := newLimitHarness(t, refusing(5*time.Second), server.heartbeat("booking"))
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit").status)
	require.Equal(t, []laburnumlimit.Report{{Limit: laburnumlimit.Limit{Backend: "i-1", PerSecond: 2.5}, Zone: "brest"}}, b.keepers.told())
	got := b.send("POST", "/confirm/x", "visit")
	require.Equal(t, 503, got.status)
	require.Equal(t, "backend-limited\n", got.body)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 0.3)
	require.Equal(t, 503, b.send("POST", "/confirm/x", "visit").status)
	require.Len(t, b.keepers.asked(), 1, "the gateway knows that there is no slot")
	require.Equal(t, int64(2), b.counter("refusals+reason=backend-limited"))
	require.Equal(t, int64(1), b.counter("limit_slots+outcome=refused"))
	require.Len(t, server.requests(), 1)
}

// Guards against a granted slot that is used before its time, or not at all.
func TestRequestWaitsForItsSlot(t *testing.T) {
	server := newBackend(t, "i-1", answerWithLimit(always(2.5)))
	b := newLimitHarness(t, granting(200*time.Millisecond), server.heartbeat("booking"))
	b.tell(laburnumlimit.Limit{PerSecond: 2.5})
	began := time.Now()
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit").status)
	require.GreaterOrEqual(t, time.Since(began), 200*time.Millisecond)
	require.Equal(t, int64(1), b.counter("limit_slots+outcome=granted"))
}

// lateTimers run what is due at a clock that is ahead by late, as after a time in which the process stood still.
type lateTimers struct {
	*laburnumtimer.Manual
	late atomic.Int64
}

func (l *lateTimers) Now() time.Time { return l.Manual.Now().Add(time.Duration(l.late.Load())) }

// Guards against a request refused as if engines were full, since the gateway stood still while its slot at a limited one was due.
func TestLapsedSlotIsRefusedAsLimited(t *testing.T) {
	server := newBackend(t, "i-1", answerWithLimit(always(2.5)))
	timers := &lateTimers{Manual: laburnumtimer.NewManual(time.Now().Add(time.Hour))}
	const in = 200 * time.Millisecond
	b := newLimitHarnessWith(t, timers, granting(in), server.heartbeat("booking"))
	b.tell(laburnumlimit.Limit{PerSecond: 2.5})
	got := make(chan callerResponse, 1)
	go func() { got <- b.send("POST", "/confirm/x", "visit") }()
	require.Eventually(t, func() bool { return b.fleet.Status().Queued == 1 }, 10*time.Second, time.Millisecond)
	timers.late.Store(int64(laburnumlimit.Grace))
	require.Eventually(t, func() bool {
		timers.Advance(in)
		return b.fleet.Status().Queued == 0
	}, 10*time.Second, time.Millisecond)
	answer := <-got
	require.Equal(t, 503, answer.status)
	require.Equal(t, "backend-limited\n", answer.body)
	require.Empty(t, server.requests())
}

// Guards against callers refused because of a limit while another engine is free.
func TestOtherServersAreUsedFirst(t *testing.T) {
	limited, other := newBackend(t, "i-1", answerWithLimit(always(1))), newBackend(t, "i-2", answerOK)
	b := newLimitHarness(t, refusing(time.Second), limited.heartbeat("booking"), other.heartbeat("booking"))
	b.tell(laburnumlimit.Limit{PerSecond: 1})
	for range 20 {
		require.Equal(t, 200, b.send("POST", "/confirm/x", "visit").status)
	}
	require.Empty(t, limited.requests())
	require.Empty(t, b.keepers.asked())
}

// Guards against a limit whose end nobody notices because the other engines are free.
func TestLimitedServerIsProbed(t *testing.T) {
	limited, other := newBackend(t, "i-1", answerWithLimit(always(0))), newBackend(t, "i-2", answerOK)
	timers := laburnumtimer.NewManual(time.Now().Add(time.Hour))
	b := newLimitHarnessWith(t, timers, granting(0), limited.heartbeat("booking"), other.heartbeat("booking"))
	b.tell(laburnumlimit.Limit{PerSecond: 1})
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit").status)
	require.Empty(t, limited.requests())
	timers.Advance(2 * time.Second)
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit").status)
	require.Len(t, limited.requests(), 1)
	require.Equal(t, []laburnumlimit.Report{{Limit: laburnumlimit.Limit{Backend: "i-1", Ended: true}, Zone: "brest"}}, b.keepers.told())
}

// Guards against slots asked for in vain after the limit has ended.
func TestEndOfALimitThatAControlVMTells(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	over := func(q laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error) {
		return laburnumlimit.SlotAnswer{Granted: true, Limit: laburnumlimit.Limit{Backend: q.Backend, Ended: true}}, nil
	}
	b := newLimitHarness(t, over, server.heartbeat("booking"))
	b.tell(laburnumlimit.Limit{PerSecond: 1})
	for range 5 {
		require.Equal(t, 200, b.send("POST", "/confirm/x", "visit").status)
	}
	require.Len(t, b.keepers.asked(), 1)
}

// Guards against a gateway that sends as much as it likes while no control VM answers.
func TestLimitWithoutControlVMs(t *testing.T) {
	server := newBackend(t, "i-1", answerWithLimit(always(1)))
	lost := func(laburnumlimit.SlotRequest) (laburnumlimit.SlotAnswer, error) {
		return laburnumlimit.SlotAnswer{}, errors.New("no connection")
	}
	b := newLimitHarness(t, lost, server.heartbeat("booking"))
	b.tell(laburnumlimit.Limit{PerSecond: 1})
	for range 20 {
		require.Equal(t, "backend-limited\n", b.send("POST", "/confirm/x", "visit").body)
	}
	require.Len(t, b.keepers.asked(), 1)
	require.Empty(t, server.requests())
}

// Guards against requests that wait in the queue for a server that names a limit in the meantime.
func TestQueuedRequestLearnsOfALimit(t *testing.T) {
	hangs := make(chan struct{})
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		<-hangs
		writeAnswer(conn, a, 200, "done")
	})
	record := server.heartbeat("booking")
	record.Heartbeat.Slots = 1
	b := newLimitHarnessWith(t, stillClock(), refusing(time.Second), record)
	first := make(chan callerResponse, 1)
	go func() { first <- b.send("POST", "/confirm/x", "visit") }()
	require.Eventually(t, func() bool { return len(server.requests()) == 1 }, 10*time.Second, time.Millisecond)
	second := make(chan callerResponse, 1)
	go func() { second <- b.send("POST", "/confirm/x", "visit") }()
	require.Eventually(t, func() bool { return b.fleet.Status().Queued == 1 }, 10*time.Second, time.Millisecond)
	b.tell(laburnumlimit.Limit{PerSecond: 1})
	close(hangs)
	require.Equal(t, 200, (<-first).status)
	require.Equal(t, "backend-limited\n", (<-second).body)
}

// Guards against a limit that is kept after the server that named it has restarted or left.
func TestLimitEndsWithItsServer(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	record := server.heartbeat("booking")
	record.Heartbeat.Incarnation = 7
	b := newLimitHarness(t, refusing(time.Second), record)
	b.tell(laburnumlimit.Limit{Incarnation: 7, PerSecond: 1})
	require.Equal(t, 503, b.send("POST", "/confirm/x", "visit").status)
	record.Heartbeat.Incarnation, record.Heartbeat.Sequence = 8, 1
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{record}})
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit").status)
}

// Guards against garbage in a server's answer that is taken for a limit, or keeps the answer from its caller.
func TestGarbageIsNoLimit(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeAnswer(conn, a, 200, "done", limitHeader+": as many as you like")
	})
	b := newLimitHarness(t, refusing(time.Second), server.heartbeat("booking"))
	for range 3 {
		require.Equal(t, "done", b.send("POST", "/confirm/x", "visit").body)
	}
	require.Empty(t, b.keepers.told())
	b.tell(laburnumlimit.Limit{PerSecond: 1})
	require.Equal(t, 503, b.send("POST", "/confirm/x", "visit").status)
}

func (k *keepers) Lease(context.Context, laburnumconcurrency.Request) (laburnumconcurrency.Answer, string, error) {
	return laburnumconcurrency.Answer{}, "", &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
}

func (k *keepers) Return(laburnumlever.Heartbeat, string, laburnumconcurrency.Release) {}
