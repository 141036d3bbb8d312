package laburnumgateway_test

import (
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
	"laburnumlever/laburnumupstream"
	"laburnumlever/platform"
)

// slowDialect stands for a gateway that gets no processor while it reads the first event of a stream.
type slowDialect struct {
	platform.Dialect
	once    sync.Once
	parsing chan struct{}
	resume  chan struct{}
}

func (d *slowDialect) Event(block []byte) (laburnumlever.StreamEvent, error) {
	d.once.Do(func() { close(d.parsing); <-d.resume })
	return d.Dialect.Event(block)
}

// Guards against a first event that never left, after which the stream went on elsewhere: its attempt was ended as the event came.
func TestEventOfAnEndedAttemptIsNotSkipped(t *testing.T) {
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		if !strings.HasPrefix(a.request.URL.Path, "/quote/") {
			writeAnswer(conn, a, http.StatusNotFound, "")
			return
		}
		writeEvents(conn, a, 1, 1)
	})
	other, reached := newBackend(t, "i-2", resumeStream), newBackend(t, "i-1", resumeStream)
	address := server.ln.Addr().String()
	dialect := &slowDialect{parsing: make(chan struct{}), resume: make(chan struct{})}
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1, laburnumgateway.WithQuarantineReporter(&reports{}))
	b := &harness{t: t, fleet: fleet, client: &http.Client{}, gateway: laburnumgateway.New(fleet, dialect, timers,
		laburnumgateway.WithPool(laburnumupstream.New(laburnumupstream.WithTunnels(&fakeTunnels{real: map[string]string{address: reached.ln.Addr().String()}}))),
		laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}))}
	b.start()
	b.gateway.Start()
	b.fleet.HandleRoutes(patientRoutes())
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{server.heartbeat("quotes", "m0", "m1"), answers("i-3")(t).heartbeat("booking")}})
	ended := make(chan callerResponse, 1)
	go func() { ended <- b.send("POST", "/quote/x", "text", "X-Laburnumlever-Model", "m0") }()
	<-dialect.parsing
	b.announce(other.heartbeat("quotes", "m0"))
	require.NoError(t, server.ln.Close())
	<-time.After(600 * time.Millisecond)
	var others sync.WaitGroup
	defer others.Wait()
	require.Eventually(t, func() bool {
		others.Go(func() { _ = b.send("POST", "/draft/x", "text", "X-Laburnumlever-Model", "m1", idHeader, "r-new") })
		return !b.gateway.CanReach(address)
	}, 10*time.Second, 100*time.Millisecond)
	<-time.After(100 * time.Millisecond)
	close(dialect.resume)
	got := <-ended
	for _, r := range append(other.streams(), reached.streams()...) {
		t.Logf("sent again with Last-Event-Id %q", r.request.Header.Get("Last-Event-Id"))
	}
	require.NoError(t, got.err)
	require.Equal(t, eventsUpTo(4), got.body)
}
