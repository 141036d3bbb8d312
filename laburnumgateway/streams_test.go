package laburnumgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumstream"
	"laburnumlever/laburnumtimer"
)

// fakeStreamKeepers are control VMs that keep all records and answer with fixed opinions.
type fakeStreamKeepers struct {
	opinions []laburnumstream.Opinion
	// keeping is called before records are kept.
	keeping func()

	mu   sync.Mutex
	kept []laburnumstream.Record
	// at are the records kept at one control VM.
	at map[string][]laburnumstream.Record
}

func (k *fakeStreamKeepers) Keep(_ context.Context, records []laburnumstream.Record) int {
	if k.keeping != nil {
		k.keeping()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept = append(k.kept, records...)
	return 2
}

func (k *fakeStreamKeepers) KeepAt(_ context.Context, address string, records []laburnumstream.Record) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.at == nil {
		k.at = map[string][]laburnumstream.Record{}
	}
	k.at[address] = append(k.at[address], records...)
	return true
}

func (k *fakeStreamKeepers) Ask(context.Context, string, laburnumlever.ServiceName) []laburnumstream.Opinion {
	return k.opinions
}

func (k *fakeStreamKeepers) records() []laburnumstream.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]laburnumstream.Record(nil), k.kept...)
}

// newStreamHarness starts a gateway that keeps records at the keepers and knows engines of model m0.
func newStreamHarness(t *testing.T, keepers *fakeStreamKeepers, records ...laburnumregistry.Record) *harness {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	return newStreamHarnessWith(t, timers, keepers, records...)
}

func newStreamHarnessWith(t *testing.T, timers laburnumlever.Timers, keepers *fakeStreamKeepers, records ...laburnumregistry.Record) *harness {
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1,
		laburnumgateway.WithStreamKeepers(keepers), laburnumgateway.WithFirstStart(true))
	b := newHarnessOfFleet(t, fleet, timers, laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}))
	b.fleet.HandleRoutes(testRoutes())
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: records})
	return b
}

// engineOf returns the record of an engine with a software version.
func engineOf(b *backend, software laburnumlever.SoftwareVersion) laburnumregistry.Record {
	r := b.heartbeat("quotes", "m0")
	r.Heartbeat.Software = software
	return r
}

// resumes answers with the events from the caller's last one to the sixth.
func resumes(conn net.Conn, a receivedRequest, _ int) {
	last := 0
	_, _ = fmt.Sscan(a.request.Header.Get("Last-Event-Id"), &last)
	writeEvents(conn, a, last+1, 6)
	writeLastChunk(conn)
}

func quote(b *harness, id string, headers ...string) callerResponse {
	return b.send("POST", "/quote/x", "oak", append([]string{"X-Laburnumlever-Model", "m0", idHeader, id}, headers...)...)
}

// Guards against a gateway that dies after a stream's first event and before anyone else knows the version that began it.
func TestRecordIsKeptBeforeTheFirstEventLeaves(t *testing.T) {
	var kept atomic.Bool
	keepers := &fakeStreamKeepers{keeping: func() { kept.Store(true) }}
	old, changed := newBackend(t, "i-1", resumes), newBackend(t, "i-2", resumes)
	b := newStreamHarness(t, keepers, engineOf(old, "v1"), engineOf(changed, "v2"))
	openQuote(t, b, "r-1")
	require.True(t, kept.Load())
	require.Len(t, keepers.records(), 1)
	require.Equal(t, "r-1", keepers.records()[0].Stream)
}

// Guards against messages for streams of services that have one version only.
func TestStreamsOfOneVersionNeedNoRecord(t *testing.T) {
	keepers := &fakeStreamKeepers{}
	server := newBackend(t, "i-1", resumes)
	b := newStreamHarness(t, keepers, engineOf(server, "v1"))
	require.Equal(t, 200, quote(b, "r-1").status)
	require.Empty(t, keepers.records())
}

// Guards against a stream that goes on at another engine although nobody knows the version that began it.
func TestStreamOfAnUnknownVersionDoesNotGoOn(t *testing.T) {
	breaks := func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 2)
		_ = conn.Close()
	}
	first, second := newBackend(t, "i-1", breaks), newBackend(t, "i-2", breaks)
	b := newStreamHarness(t, &fakeStreamKeepers{}, engineOf(first, ""), engineOf(second, ""))
	require.Error(t, quote(b, "r-1").err)
	require.Len(t, append(first.requests(), second.requests()...), 1)
}

// Guards against a stream that is taken up at a version that is guessed, and against one that is refused although it is known.
func TestTakingUpAStream(t *testing.T) {
	opinion := func(software laburnumlever.SoftwareVersion, versions ...laburnumlever.SoftwareVersion) laburnumstream.Opinion {
		return laburnumstream.Opinion{Known: laburnumstream.Known{Software: software}, Versions: versions, Current: true, Complete: true, Controls: 1}
	}
	const changed = "i-v2"
	for name, tt := range map[string]struct {
		versions []laburnumlever.SoftwareVersion
		opinions []laburnumstream.Opinion
		headers  []string
		status   int
		reason   string
		retry    bool
		// by is the engine that goes on with the stream.
		by string
	}{
		"recorded":              {opinions: []laburnumstream.Opinion{opinion("v2", "v1", "v2")}, headers: []string{"Resumes", "r-0"}, status: 200, by: changed},
		"recorded, prefixed":    {opinions: []laburnumstream.Opinion{opinion("v2", "v1", "v2")}, headers: []string{"X-Laburnumlever-Resumes", "r-0"}, status: 200, by: changed},
		"unknown id":            {opinions: []laburnumstream.Opinion{opinion("", "v1", "v2")}, headers: []string{"Resumes", "r-0"}, status: 503, reason: "stream-unknown"},
		"nobody answers":        {headers: []string{"Resumes", "r-0"}, status: 503, reason: "stream-unknown", retry: true},
		"no id, two versions":   {opinions: []laburnumstream.Opinion{opinion("", "v1", "v2")}, status: 503, reason: "stream-unknown"},
		"no id, one version":    {versions: []laburnumlever.SoftwareVersion{"v2"}, opinions: []laburnumstream.Opinion{opinion("", "v2")}, status: 200, by: changed},
		"no id, nobody answers": {versions: []laburnumlever.SoftwareVersion{"v2"}, status: 503, reason: "stream-unknown", retry: true},
		"no id, minority":       {versions: []laburnumlever.SoftwareVersion{"v2"}, opinions: []laburnumstream.Opinion{{Versions: []laburnumlever.SoftwareVersion{"v2"}, Current: true, Complete: true, Controls: 3}}, status: 503, reason: "stream-unknown", retry: true},
		"no id, all restarted":  {versions: []laburnumlever.SoftwareVersion{"v2"}, opinions: []laburnumstream.Opinion{{Versions: []laburnumlever.SoftwareVersion{"v2"}, Retained: true, Controls: 1}}, status: 200, by: changed},
		"no id, all knew v1":    {versions: []laburnumlever.SoftwareVersion{"v2"}, opinions: []laburnumstream.Opinion{{Versions: []laburnumlever.SoftwareVersion{"v1", "v2"}, Retained: true, Controls: 1}}, status: 503, reason: "stream-unknown"},
		"no id, others know v1": {versions: []laburnumlever.SoftwareVersion{"v2"}, opinions: []laburnumstream.Opinion{opinion("", "v1")}, status: 503, reason: "stream-unknown"},
		"version gone":          {opinions: []laburnumstream.Opinion{opinion("v0", "v0", "v1", "v2")}, headers: []string{"Resumes", "r-0"}, status: 503, reason: "stream-version-gone"},
		"others know of v0":     {versions: []laburnumlever.SoftwareVersion{"v2"}, opinions: []laburnumstream.Opinion{opinion("", "v0", "v2")}, headers: []string{"Resumes", "r-0"}, status: 503, reason: "stream-unknown"},
		"a version not named":   {versions: []laburnumlever.SoftwareVersion{"", "v2"}, opinions: []laburnumstream.Opinion{opinion("", "v2")}, headers: []string{"Resumes", "r-0"}, status: 503, reason: "stream-unknown"},
		"this gateway knows it": {headers: []string{"Resumes", "own"}, status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			keepers := &fakeStreamKeepers{opinions: tt.opinions}
			versions := tt.versions
			if versions == nil {
				versions = []laburnumlever.SoftwareVersion{"v1", "v2"}
			}
			var records []laburnumregistry.Record
			engines := map[string]*backend{}
			for _, v := range versions {
				id := "i-" + string(v)
				engines[id] = newBackend(t, id, resumes)
				records = append(records, engineOf(engines[id], v))
			}
			b := newStreamHarness(t, keepers, records...)
			by := tt.by
			if len(tt.headers) > 0 && tt.headers[1] == "own" {
				require.Equal(t, 200, quote(b, "own").status)
				by = "i-" + string(keepers.records()[0].Software)
			}
			before := map[string]int{}
			for id, e := range engines {
				before[id] = len(e.requests())
			}
			got := quote(b, "r-9", append([]string{"Last-Event-Id", "2"}, tt.headers...)...)
			require.Equal(t, tt.status, got.status, got.body)
			require.Contains(t, got.body, tt.reason)
			if got.status != 200 && !tt.retry {
				require.Contains(t, got.body, "request the stream anew, without Last-Event-Id")
			}
			require.Equal(t, tt.retry, got.header.Get("Retry-After") != "")
			for id, e := range engines {
				want := before[id]
				if id == by {
					want++
				}
				require.Len(t, e.requests(), want, id)
			}
			if by != "" {
				require.True(t, strings.HasPrefix(got.body, "id: 3\n"), got.body)
			}
		})
	}
}

// Guards against a resumed stream that reaches an engine which restarted with another version while its slot was reserved.
func TestServerThatRestartsBeforeTheSendGetsNoStream(t *testing.T) {
	var b *harness
	var server *backend
	server = newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, n int) {
		if a.request.URL.Path == "/v1/hold-take" {
			restarted := engineOf(server, "v2")
			restarted.Heartbeat.Incarnation, restarted.Heartbeat.Sequence = 2, 1
			b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{restarted}})
			writeAnswer(conn, a, 200, `{"hold":"h1"}`)
			return
		}
		resumes(conn, a, n)
	})
	first := engineOf(server, "v1")
	first.Heartbeat.Incarnation = 1
	keepers := &fakeStreamKeepers{opinions: []laburnumstream.Opinion{{Known: laburnumstream.Known{Software: "v1"}}}}
	b = newStreamHarness(t, keepers, first)
	table := testRoutes()
	table.Version++
	table.Services[1].Engine.ReserveLimit = laburnumlever.Duration(time.Second)
	b.fleet.HandleRoutes(table)
	got := quote(b, "r-9", "Last-Event-Id", "2", "Resumes", "r-0")
	require.Equal(t, 503, got.status)
	require.Contains(t, got.body, "stream-version-gone")
	for _, a := range server.requests() {
		require.Equal(t, "/v1/hold-take", a.request.URL.Path)
	}
}

// slowStream begins a stream that lasts until the test ends.
func slowStream(t *testing.T) func(net.Conn, receivedRequest, int) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	return func(conn net.Conn, a receivedRequest, _ int) {
		writeEvents(conn, a, 1, 1)
		<-release
		writeLastChunk(conn)
	}
}

// openQuote sends a request and reads the first line of its stream.
func openQuote(t *testing.T, b *harness, id string) {
	req, err := http.NewRequest(http.MethodPost, b.server.URL+"/quote/x", strings.NewReader("oak"))
	require.NoError(t, err)
	req.Host = "quotes.example"
	req.Header.Set(idHeader, id)
	req.Header.Set("X-Laburnumlever-Model", "m0")
	resp, err := b.client.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
}

// Guards against streams from the time of one version that nobody can tell apart once a second one has come.
func TestStreamsInFlightAreKeptWhenASecondVersionComes(t *testing.T) {
	old, changed := newBackend(t, "i-1", slowStream(t)), newBackend(t, "i-2", resumes)
	keepers := &fakeStreamKeepers{}
	b := newStreamHarness(t, keepers, engineOf(old, "v1"))
	openQuote(t, b, "r-1")
	require.Empty(t, keepers.records())
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{engineOf(changed, "v2")}})
	require.Eventually(t, func() bool { return len(keepers.records()) == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, laburnumstream.Record{Stream: "r-1", Software: "v1"}, keepers.records()[0])
}

// bootAnswer is an answer of a control VM's feed after one of its starts.
func bootAnswer(boot uint64) laburnumfeed.Answer {
	var a laburnumfeed.Answer
	a.Boot = boot
	return a
}

// Guards against records that are lost with a control VM that restarts.
func TestStreamsInFlightAreKeptAgainAtARestartedControlVM(t *testing.T) {
	old, changed := newBackend(t, "i-1", slowStream(t)), newBackend(t, "i-2", slowStream(t))
	keepers := &fakeStreamKeepers{}
	b := newStreamHarness(t, keepers, engineOf(old, "v1"), engineOf(changed, "v2"))
	b.fleet.HandleAnswer("c-1", bootAnswer(1))
	openQuote(t, b, "r-1")
	b.fleet.HandleAnswer("c-1", bootAnswer(1))
	b.fleet.HandleAnswer("c-1", bootAnswer(2))
	require.Eventually(t, func() bool {
		keepers.mu.Lock()
		defer keepers.mu.Unlock()
		return len(keepers.at["c-1"]) == 1
	}, 5*time.Second, time.Millisecond)
}

// Guards against a gateway that stops when a control VM restarts while streams of a service with one version run.
func TestControlVMThatRestartsDoesNotStopTheGateway(t *testing.T) {
	old := newBackend(t, "i-1", slowStream(t))
	keepers := &fakeStreamKeepers{}
	b := newStreamHarness(t, keepers, engineOf(old, "v1"))
	openQuote(t, b, "r-1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.fleet.HandleAnswer("c-1", bootAnswer(1))
		b.fleet.HandleAnswer("c-1", bootAnswer(2))
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the gateway handles no answers any more")
	}
	require.Empty(t, keepers.at)
}

// settlingTimers hold the calls by which versions settle until they are released: a busy machine takes longer for the requests before.
type settlingTimers struct {
	laburnumlever.Timers
	released chan struct{}
}

func (s settlingTimers) After(d time.Duration, fn func(now time.Time)) func() {
	const settleTime = 500 * time.Millisecond
	if d != settleTime {
		return s.Timers.After(d, fn)
	}
	return s.Timers.After(d, func(now time.Time) {
		go func() {
			<-s.released
			fn(now)
		}()
	})
}

// Guards against streams at a version that other VMs have not heard of, and would take up as those of the only one.
func TestNoStreamBeginsAtAVersionThatIsNew(t *testing.T) {
	old, changed := newBackend(t, "i-1", resumes), newBackend(t, "i-2", resumes)
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	settling := settlingTimers{Timers: timers, released: make(chan struct{})}
	keepers := &fakeStreamKeepers{opinions: []laburnumstream.Opinion{{Versions: []laburnumlever.SoftwareVersion{"v1"}, Controls: 3}}}
	for range 2 {
		keepers.opinions = append(keepers.opinions, laburnumstream.Opinion{Versions: []laburnumlever.SoftwareVersion{"v1", "v2"}, Controls: 3})
	}
	b := newStreamHarnessWith(t, settling, keepers, engineOf(old, "v1"))
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{engineOf(changed, "v2")}})
	for i := range 20 {
		require.Equal(t, 200, quote(b, fmt.Sprint("r-", i)).status)
	}
	require.Empty(t, changed.requests())
	close(settling.released)
	gone := engineOf(old, "v1")
	gone.Gone, gone.Heartbeat.Sequence = true, 2
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{gone}})
	require.Eventually(t, func() bool { return quote(b, "later").status == 200 }, 5*time.Second, 10*time.Millisecond)
	require.NotEmpty(t, changed.requests())
}
