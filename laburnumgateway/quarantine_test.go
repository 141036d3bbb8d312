package laburnumgateway_test

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"
)

// reports records a gateway's reports on crashing requests.
type reports struct {
	mu  sync.Mutex
	all laburnumquarantine.Report
	to  map[string]laburnumquarantine.Report
}

func (r *reports) ReportToAll(report laburnumquarantine.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = r.all.Merged(report)
}

func (r *reports) ReportTo(address string, report laburnumquarantine.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to[address] = report
}

func (r *reports) sent() laburnumquarantine.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all
}

func (r *reports) sentTo(address string) laburnumquarantine.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.to[address]
}

func newQuarantineHarness(t *testing.T, records ...laburnumregistry.Record) (*harness, *reports, tally.TestScope) {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	return newQuarantineHarnessWith(t, timers, records...)
}

func newQuarantineHarnessWith(t *testing.T, timers laburnumlever.Timers, records ...laburnumregistry.Record) (*harness, *reports, tally.TestScope) {
	r := &reports{to: map[string]laburnumquarantine.Report{}}
	scope := tally.NewTestScope("", nil)
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1, laburnumgateway.WithQuarantineReporter(r))
	b := newHarnessOfFleet(t, fleet, timers, laburnumgateway.WithScope(scope),
		laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}))
	b.fleet.HandleRoutes(testRoutes())
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: records})
	return b, r, scope
}

// stillClock returns timers that do not fire, so that a request's time in the queue does not end.
func stillClock() laburnumlever.Timers { return laburnumtimer.NewManual(time.Now().Add(time.Hour)) }

func digestOf(method, path, body string) laburnumlever.RequestDigest {
	return laburnumlever.NewRequestDigest(method, "quotes.example", path, []byte(body))
}

func (b *harness) list(address string, state laburnumquarantine.State, digest laburnumlever.RequestDigest) {
	b.fleet.HandleAnswer(address, laburnumfeed.Answer{Quarantine: []laburnumquarantine.Entry{{Digest: digest, State: state}}})
}

// crashAtOnce is a backend server that ends at the first request that reaches it.
func crashAtOnce(ln func() net.Listener) func(net.Conn, receivedRequest, int) {
	return func(conn net.Conn, a receivedRequest, _ int) {
		_ = ln().Close()
		writeEvents(conn, a, 1, 0)
		_ = conn.Close()
	}
}

// Guards against gateways that cannot tell who was on a crashed backend server.
func TestRequestsOnACrashedServerAreReported(t *testing.T) {
	var first, second *backend
	first = newBackend(t, "i-1", crashAtOnce(func() net.Listener { return first.ln }))
	second = newBackend(t, "i-2", crashAtOnce(func() net.Listener { return second.ln }))
	b, reports, scope := newQuarantineHarness(t, first.heartbeat("quotes", "m0"), second.heartbeat("quotes", "m0"))
	require.Equal(t, http.StatusBadGateway, b.send("POST", "/quote/x", "poison", "X-Laburnumlever-Model", "m0").status)
	require.Eventually(t, func() bool { return len(reports.sent().Sightings) == 2 }, 10*time.Second, time.Millisecond)
	digest := digestOf("POST", "/quote/x", "poison")
	var servers []laburnumlever.BackendID
	for _, s := range reports.sent().Sightings {
		require.Equal(t, digest, s.Digest)
		servers = append(servers, s.Backend)
	}
	require.ElementsMatch(t, []laburnumlever.BackendID{"i-1", "i-2"}, servers)
	require.Equal(t, int64(2), scope.Snapshot().Counters()["backend_crashes+"].Value())
}

// Guards against suspecting requests whose connection broke although the backend server still runs.
func TestBrokenConnectionToARunningServerIsNoCrash(t *testing.T) {
	breaks := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 1)
		_ = conn.Close()
	})
	var crashes *backend
	crashes = newBackend(t, "i-2", crashAtOnce(func() net.Listener { return crashes.ln }))
	b, reports, _ := newQuarantineHarness(t, breaks.heartbeat("quotes", "m0"), crashes.heartbeat("quotes", "m1"))
	require.Error(t, b.send("POST", "/quote/x", "innocent", "X-Laburnumlever-Model", "m0").err)
	require.Equal(t, http.StatusBadGateway, b.send("POST", "/quote/x", "poison", "X-Laburnumlever-Model", "m1").status)
	require.Eventually(t, func() bool { return len(reports.sent().Sightings) > 0 }, 10*time.Second, time.Millisecond)
	for _, s := range reports.sent().Sightings {
		require.Equal(t, digestOf("POST", "/quote/x", "poison"), s.Digest)
	}
}

// Guards against suspecting requests that were cut off by a backend server's planned end.
func TestPlannedEndOfAServerIsNoCrash(t *testing.T) {
	var leaving, crashing *backend
	end := make(chan struct{})
	leaving = newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 1)
		<-end
		_ = leaving.ln.Close()
		_ = conn.Close()
	})
	crashing = newBackend(t, "i-2", crashAtOnce(func() net.Listener { return crashing.ln }))
	record := leaving.heartbeat("quotes", "m0")
	b, reports, _ := newQuarantineHarness(t, record, crashing.heartbeat("quotes", "m1"))
	ended := make(chan callerResponse, 1)
	go func() { ended <- b.send("POST", "/draft/x", "innocent", "X-Laburnumlever-Model", "m0") }()
	require.Eventually(t, func() bool { return len(leaving.requests()) == 1 }, 10*time.Second, time.Millisecond)
	record.Heartbeat.Leaving, record.Heartbeat.Sequence = true, 2
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{record}})
	close(end)
	require.Error(t, (<-ended).err)
	require.Equal(t, http.StatusBadGateway, b.send("POST", "/draft/x", "poison", "X-Laburnumlever-Model", "m1").status)
	require.Eventually(t, func() bool { return len(reports.sent().Sightings) > 0 }, 10*time.Second, time.Millisecond)
	for _, s := range reports.sent().Sightings {
		require.Equal(t, laburnumlever.BackendID("i-2"), s.Backend)
	}
}

// Guards against sending a request that crashes servers once more, and against refusing others with it.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, reports, scope := newQuarantineHarness(t, server.heartbeat("booking"))
	b.list("a", laburnumquarantine.Quarantined, digestOf("GET", "/lookup/x", "poison"))
	got := b.send("GET", "/lookup/x", "poison")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "quarantined\n", got.body)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, laburnumquarantine.Retention.Seconds(), after, 1)
	require.Empty(t, server.requests())
	require.Equal(t, int64(1), scope.Snapshot().Counters()["refusals+reason=quarantined"].Value())
	require.Equal(t, []laburnumlever.RequestDigest{digestOf("GET", "/lookup/x", "poison")}, reports.sent().Refused)
	require.Equal(t, 200, b.send("GET", "/lookup/x", "other").status)

	busy, _, _ := newQuarantineHarnessWith(t, stillClock())
	busy.list("a", laburnumquarantine.Quarantined, digestOf("GET", "/lookup/x", "poison"))
	require.Equal(t, "quarantined\n", busy.send("GET", "/lookup/x", "poison").body, "not after a time in the queue")

	b.list("a", laburnumquarantine.Held, digestOf("GET", "/lookup/x", "held"))
	after, err = strconv.ParseFloat(b.send("GET", "/lookup/x", "held").header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, laburnumquarantine.HoldTime.Seconds(), after, 1)
}

// Guards against a request that waits for a slot although it is known by now that it will not be sent.
func TestQueuedRequestIsRefusedWhenItIsQuarantined(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, _, _ := newQuarantineHarnessWith(t, stillClock(), server.heartbeat("quotes", "m0"))
	ended := make(chan callerResponse, 1)
	go func() { ended <- b.send("POST", "/quote/x", "poison", "X-Laburnumlever-Model", "m1") }()
	require.Eventually(t, func() bool { return b.fleet.Status().Queued == 1 }, 10*time.Second, time.Millisecond)
	b.list("a", laburnumquarantine.Held, digestOf("POST", "/quote/x", "other"))
	b.list("a", laburnumquarantine.Held, digestOf("POST", "/quote/x", "poison"))
	got := <-ended
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "quarantined\n", got.body)
	require.Empty(t, server.requests())
}

// Guards against keeping a request under suspicion that a backend server answers.
func TestAnswerToASuspectIsReported(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, reports, _ := newQuarantineHarness(t, server.heartbeat("booking"))
	b.list("a", laburnumquarantine.Suspect, digestOf("GET", "/lookup/x", "polled"))
	require.Equal(t, 200, b.send("GET", "/lookup/x", "polled").status)
	require.Equal(t, 200, b.send("GET", "/lookup/x", "other").status)
	require.Equal(t, []laburnumlever.RequestDigest{digestOf("GET", "/lookup/x", "polled")}, reports.sent().Completed)
}

// Guards against crashing a second server with the gateway's own retry of a suspect.
func TestSuspectIsNotRetriedAfterACrash(t *testing.T) {
	var first, second *backend
	first = newBackend(t, "i-1", crashAtOnce(func() net.Listener { return first.ln }))
	second = newBackend(t, "i-2", crashAtOnce(func() net.Listener { return second.ln }))
	b, _, _ := newQuarantineHarness(t, first.heartbeat("quotes", "m0"), second.heartbeat("quotes", "m0"))
	b.list("a", laburnumquarantine.Suspect, digestOf("POST", "/quote/x", "poison"))
	require.Equal(t, http.StatusBadGateway, b.send("POST", "/quote/x", "poison", "X-Laburnumlever-Model", "m0").status)
	require.Equal(t, 1, len(first.requests())+len(second.requests()))
}

// Guards against a quarantine that is forgotten when the control VMs are restarted.
func TestRestartedControlVMLearnsTheQuarantineFromGateways(t *testing.T) {
	b, reports, _ := newQuarantineHarness(t)
	digest := digestOf("GET", "/lookup/x", "poison")
	b.list("a", laburnumquarantine.Quarantined, digest)
	restarted := laburnumfeed.Answer{}
	restarted.Boot = 2
	b.fleet.HandleAnswer("a", restarted)
	require.Equal(t, http.StatusServiceUnavailable, b.send("GET", "/lookup/x", "poison").status)
	require.Eventually(t, func() bool { return len(reports.sentTo("a").Listed) == 1 }, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, laburnumquarantine.Entry{Digest: digest, State: laburnumquarantine.Quarantined}, reports.sentTo("a").Listed[0])
}

// Guards against refusing a request that many callers send because several servers crashed together while they ran it.
func TestRequestThatWasAnsweredIsNotSuspected(t *testing.T) {
	var server *backend
	crashed := make(chan struct{})
	server = newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		if a.body == "poison" {
			crashAtOnce(func() net.Listener { return server.ln })(conn, a, 0)
			close(crashed)
			return
		}
		if a.request.Header.Get(idHeader) == "hangs" {
			<-crashed
			_ = conn.Close()
			return
		}
		writeAnswer(conn, a, 200, "done")
	})
	b, reports, _ := newQuarantineHarness(t, server.heartbeat("booking"))
	require.Equal(t, 200, b.send("GET", "/lookup/x", "popular").status)
	go func() { b.send("GET", "/lookup/x", "popular", idHeader, "hangs") }()
	require.Eventually(t, func() bool { return len(server.requests()) == 2 }, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusBadGateway, b.send("GET", "/lookup/x", "poison").status)
	require.Eventually(t, func() bool { return len(reports.sent().Sightings) > 0 }, 10*time.Second, time.Millisecond)
	for _, s := range reports.sent().Sightings {
		require.Equal(t, digestOf("GET", "/lookup/x", "poison"), s.Digest)
	}
}

// Guards against refusing a request that other gateways answer all the time because one gateway saw it on crashed servers only.
func TestAnswerBeforeTheSuspicionIsReported(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, reports, _ := newQuarantineHarness(t, server.heartbeat("booking"))
	require.Equal(t, 200, b.send("GET", "/lookup/x", "popular").status)
	b.list("a", laburnumquarantine.Suspect, digestOf("GET", "/lookup/x", "poison"))
	b.list("a", laburnumquarantine.Held, digestOf("GET", "/lookup/x", "popular"))
	require.Equal(t, []laburnumlever.RequestDigest{digestOf("GET", "/lookup/x", "popular")}, reports.sent().Completed)
}
