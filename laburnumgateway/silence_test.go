package laburnumgateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"laburnumlever"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtunnel"
)

// silentServer is a fake backend server that can fall silent for everybody: it answers nothing and the kernel no new connection.
type silentServer struct {
	*backend
	t testing.TB

	mu    sync.Mutex
	awake chan struct{}
	begun int
	// silenced is closed once the silence has begun.
	silenced chan struct{}
	// again is closed once the last silence is over, if there are several.
	again chan struct{}
}

// nextEventTime is how long the server works on the next event of a stream once it goes on.
const nextEventTime = 500 * time.Millisecond

// newSilentServer returns a server that streams two events, falls silent when all the streams have got that far, and goes on with
// two more.
func newSilentServer(t testing.TB, id string, streams int) *silentServer {
	s := &silentServer{t: t, awake: make(chan struct{}), silenced: make(chan struct{}), again: make(chan struct{})}
	close(s.awake)
	close(s.again)
	s.backend = newBackendOn(t, id, &pausingListener{Listener: shortQueueListener(t), server: s}, func(conn net.Conn, a receivedRequest, _ int) {
		<-s.silence()
		if !strings.HasPrefix(a.request.URL.Path, "/quote/") {
			writeAnswer(conn, a, http.StatusNotFound, "")
			return
		}
		writeEvents(conn, a, 1, 2)
		s.mu.Lock()
		if s.begun++; s.begun == streams {
			s.awake = make(chan struct{})
			s.fillQueue()
			close(s.silenced)
		}
		s.mu.Unlock()
		<-s.silenced
		<-s.silence()
		<-s.again
		<-time.After(nextEventTime)
		for i := 3; i <= 4; i++ {
			writeChunk(conn, "id: "+strconv.Itoa(i)+"\ndata: word-"+strconv.Itoa(i)+"\n\n")
		}
		writeLastChunk(conn)
	})
	t.Cleanup(s.wake)
	return s
}

// silence returns a channel that is closed once the server is awake.
func (s *silentServer) silence() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.awake
}

// streams returns the number of streams that have begun.
func (s *silentServer) streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

func (s *silentServer) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.awake:
	default:
		close(s.awake)
	}
}

// sleepAgain has the server fall silent once more for a time.
func (s *silentServer) sleepAgain(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awake = make(chan struct{})
	s.fillQueue()
	time.AfterFunc(d, func() { s.wake(); close(s.again) })
}

// fillQueue has the kernel drop further connections until the server is awake.
func (s *silentServer) fillQueue() {
	for range 2 * acceptQueue {
		go func() {
			if conn, err := net.Dial("tcp", s.ln.Addr().String()); err == nil {
				s.t.Cleanup(func() { _ = conn.Close() })
			}
		}()
	}
}

// pausingListener accepts nothing while its server is silent.
type pausingListener struct {
	net.Listener
	server *silentServer
}

func (l *pausingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		<-l.server.silence()
	}
	return conn, err
}

// maxBufferedAnswer is the length of an answer up to which a broken one is sent again.
const maxBufferedAnswer = 1 << 20

// acceptQueue is the number of connections that the kernel completes before a silent server accepts them.
const acceptQueue = 8

// shortQueueListener listens with a short queue of connections to be accepted.
func shortQueueListener(t testing.TB) net.Listener {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, acceptQueue))
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	ln, err := net.FileListener(f)
	require.NoError(t, err)
	return ln
}

// patientRoutes are the usual routes with more time than a silence takes.
func patientRoutes() laburnumlever.RouteTable {
	routes := testRoutes()
	routes.Version++
	for i := range routes.Routes {
		routes.Routes[i].Timeout = laburnumlever.Duration(10 * time.Second)
	}
	return routes
}

// streams returns the streams among the requests that the server received.
func (b *backend) streams() []receivedRequest {
	return slices.DeleteFunc(b.requests(), func(a receivedRequest) bool { return !strings.HasPrefix(a.request.URL.Path, "/quote/") })
}

// resumeStream answers with the events after the last one that the caller has.
func resumeStream(conn net.Conn, a receivedRequest, _ int) {
	if !strings.HasPrefix(a.request.URL.Path, "/quote/") {
		writeAnswer(conn, a, http.StatusNotFound, "")
		return
	}
	last, _ := strconv.Atoi(a.request.Header.Get("Last-Event-Id"))
	writeEvents(conn, a, last+1, 4)
	writeLastChunk(conn)
}

// quotes are the answers to streams that were sent at the same time.
func (b *harness) quotes(n int) []callerResponse {
	answers := make([]callerResponse, n)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() {
			answers[i] = b.send("POST", "/quote/x", "text", "X-Laburnumlever-Model", "m0", idHeader, "r-"+strconv.Itoa(i))
		})
	}
	all.Wait()
	return answers
}

// Guards against answers cut under a server that was silent for everybody, since it answered another VM first when it went on.
func TestServerThatWakesBetweenTwoProbesIsReached(t *testing.T) {
	const streams = 3
	silent := newSilentServer(t, "i-1", streams)
	other := newBackend(t, "i-2", resumeStream)
	// The other VM's connections must not meet the queue that the silence has filled.
	elsewhere := answers("i-1")(t)
	tunnels := &fakeTunnels{real: map[string]string{silent.ln.Addr().String(): elsewhere.ln.Addr().String()}, onDial: func(ctx context.Context) {
		// A new direct connection has 200 ms, which are over by then.
		time.AfterFunc(250*time.Millisecond, silent.wake)
		select {
		case <-silent.silence():
		case <-ctx.Done():
		}
	}}
	b := newLinksHarness(t, tunnels, &reports{}, []laburnumregistry.Record{
		silent.heartbeat("quotes", "m0"), answers("i-3")(t).heartbeat("booking"),
	})
	b.fleet.HandleRoutes(patientRoutes())
	ended := make(chan []callerResponse, 1)
	go func() { ended <- b.quotes(streams) }()
	require.Eventually(t, func() bool { return silent.streams() == streams }, 10*time.Second, time.Millisecond)
	b.announce(other.heartbeat("quotes", "m0"))
	for i, got := range <-ended {
		require.NoError(t, got.err, "stream %d", i)
		require.Equal(t, http.StatusOK, got.status)
		require.Contains(t, got.body, "word-4")
	}
	require.Positive(t, tunnels.dialed.Load(), "another VM was asked")
	require.Equal(t, streams, silent.streams())
	require.Empty(t, other.requests(), "nothing was sent again")
	require.True(t, b.gateway.CanReach(silent.ln.Addr().String()))
	require.True(t, b.gateway.CanHelp())
}

// Guards against answers that are given up on a link that hangs although the request has nowhere else to go on.
func TestAnswerThatCanGoOnNowhereElseIsNotEnded(t *testing.T) {
	const streams = 3
	for _, tt := range []struct {
		name     string
		attempts int
		others   bool
		budget   float64
		slots    int
		// wantElsewhere and wantThroughOthers are the numbers of streams that go on at another server, and at the same one.
		wantElsewhere, wantThroughOthers int
	}{
		{name: "all slots are taken", attempts: 2, budget: 50, slots: streams},
		{name: "the route allows one server", attempts: 1, others: true, budget: 50, slots: 8},
		{name: "the retry budget is used up", attempts: 2, others: true, slots: 8},
		{name: "another server is free", attempts: 2, others: true, budget: 50, slots: 8, wantElsewhere: streams},
		{name: "others reach the server itself", attempts: 2, budget: 50, slots: 8, wantThroughOthers: streams},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			hanging, other, reached := newSilentServer(t, "i-1", streams), newBackend(t, "i-2", resumeStream), newBackend(t, "i-1", resumeStream)
			record := hanging.heartbeat("quotes", "m0")
			record.Heartbeat.Slots = tt.slots
			address := hanging.ln.Addr().String()
			b := newLinksHarness(t, &fakeTunnels{real: map[string]string{address: reached.ln.Addr().String()}}, &reports{}, []laburnumregistry.Record{
				record, answers("i-3")(t).heartbeat("booking"),
			}, laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Slack: tt.budget}))
			routes := patientRoutes()
			for i := range routes.Routes {
				routes.Routes[i].MaxAttempts = tt.attempts
			}
			b.fleet.HandleRoutes(routes)
			ended := make(chan []callerResponse, 1)
			go func() { ended <- b.quotes(streams) }()
			require.Eventually(t, func() bool { return hanging.streams() == streams }, 10*time.Second, time.Millisecond)
			if tt.others {
				b.announce(other.heartbeat("quotes", "m0"))
			}
			require.Eventually(t, func() bool { return !b.gateway.CanReach(address) }, 10*time.Second, time.Millisecond, "only others reach it")
			hanging.wake()
			for i, got := range <-ended {
				require.NoError(t, got.err, "stream %d", i)
				require.Equal(t, 4, strings.Count(got.body, "word-"), "stream %d", i)
			}
			require.Len(t, other.streams(), tt.wantElsewhere)
			require.Len(t, reached.streams(), tt.wantThroughOthers)
		})
	}
}

// Guards against answers cut since all servers were silent at once and no other VM could be asked whose fault that is.
func TestAnswersAreKeptWhileNobodyConfirmsLostLinks(t *testing.T) {
	const servers = 4
	var silent [servers]*silentServer
	var records []laburnumregistry.Record
	for i := range silent {
		silent[i] = newSilentServer(t, "i-"+strconv.Itoa(i), 1)
		records = append(records, silent[i].heartbeat("quotes", "m"+strconv.Itoa(i)))
	}
	b := newLinksHarness(t, &fakeTunnels{err: &laburnumtunnel.NoHelperError{}}, &reports{}, records)
	b.fleet.HandleRoutes(patientRoutes())
	var ended sync.WaitGroup
	for i := range silent {
		ended.Go(func() {
			got := b.send("POST", "/quote/x", "text", "X-Laburnumlever-Model", "m"+strconv.Itoa(i))
			assert.NoError(t, got.err)
			assert.Equal(t, 4, strings.Count(got.body, "word-"))
		})
	}
	require.Eventually(t, func() bool { return !b.gateway.Ready() }, 10*time.Second, time.Millisecond, "the links count as lost")
	for _, s := range silent {
		s.wake()
	}
	ended.Wait()
	for _, s := range silent {
		require.Equal(t, 1, s.streams(), "nothing was sent again")
	}
	require.Eventually(t, b.gateway.Ready, 10*time.Second, time.Millisecond)
}

// Guards against answers cut in the middle that can't be resumed, since only events of streams counted as heard and as begun.
func TestAnswersInPartsAreNotEnded(t *testing.T) {
	const size = maxBufferedAnswer + 30*1000
	event := "data: word\n\n"
	for _, tt := range []struct {
		name string
		head func(conn net.Conn)
		part string
		// parts follow the head, each after a pause.
		parts int
		pause time.Duration
		want  int
	}{
		{
			name: "longer than is buffered",
			head: func(conn net.Conn) {
				fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", maxBufferedAnswer))
			},
			part: strings.Repeat("y", 1000), parts: 30, pause: 100 * time.Millisecond, want: size,
		},
		{
			name: "events on a route that is no stream",
			head: func(conn net.Conn) {
				fmt.Fprintf(conn, "Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", 2*len(event), event)
			},
			part: event, parts: 1, pause: 2500 * time.Millisecond, want: 2 * len(event),
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{}, 1)
			flowing := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
				if a.request.Header.Get(idHeader) != "r-flow" {
					writeAnswer(conn, a, http.StatusOK, "ok")
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r-flow\r\n%s: s1\r\n", idHeader, stampHeader)
				tt.head(conn)
				begun <- struct{}{}
				for range tt.parts {
					<-time.After(tt.pause)
					_, _ = io.WriteString(conn, tt.part)
				}
			})
			address := flowing.ln.Addr().String()
			b := newLinksHarness(t, &fakeTunnels{real: map[string]string{address: answers("i-1")(t).ln.Addr().String()}}, &reports{},
				[]laburnumregistry.Record{flowing.heartbeat("booking")})
			b.fleet.HandleRoutes(patientRoutes())
			ended := make(chan callerResponse, 1)
			go func() { ended <- b.send("GET", "/lookup/x", "", idHeader, "r-flow") }()
			<-begun
			require.NoError(t, flowing.ln.Close())
			var others sync.WaitGroup
			defer others.Wait()
			require.Eventually(t, func() bool {
				others.Go(func() { _ = b.send("GET", "/lookup/x", "") })
				return !b.gateway.CanReach(address) || !b.gateway.CanHelp()
			}, 10*time.Second, 30*time.Millisecond, "new connections are refused")
			got := <-ended
			require.NoError(t, got.err)
			require.Len(t, got.body, tt.want)
		})
	}
}

// Guards against two silences, with a moment between them in which another VM is answered, taken for a lost link.
func TestServerThatIsSilentTwiceIsReached(t *testing.T) {
	const streams = 3
	silent, other, elsewhere := newSilentServer(t, "i-1", streams), newBackend(t, "i-2", resumeStream), answers("i-1")(t)
	silent.again = make(chan struct{})
	var dials atomic.Int64
	tunnels := &fakeTunnels{real: map[string]string{silent.ln.Addr().String(): elsewhere.ln.Addr().String()}, onDial: func(ctx context.Context) {
		first := dials.Add(1) == 1
		if first {
			time.AfterFunc(250*time.Millisecond, silent.wake)
		}
		select {
		case <-silent.silence():
		case <-ctx.Done():
		}
		if first {
			silent.sleepAgain(660 * time.Millisecond)
		}
	}}
	b := newLinksHarness(t, tunnels, &reports{}, []laburnumregistry.Record{
		silent.heartbeat("quotes", "m0"), answers("i-3")(t).heartbeat("booking"),
	})
	b.fleet.HandleRoutes(patientRoutes())
	ended := make(chan []callerResponse, 1)
	go func() { ended <- b.quotes(streams) }()
	require.Eventually(t, func() bool { return silent.streams() == streams }, 10*time.Second, time.Millisecond)
	b.announce(other.heartbeat("quotes", "m0"))
	for i, got := range <-ended {
		require.NoError(t, got.err, "stream %d", i)
	}
	require.Positive(t, dials.Load(), "another VM was asked")
	require.Empty(t, other.requests(), "nothing was sent again")
}

// Guards against answers ended on links that nobody has shown to be lost, since a helper that reaches nobody was found later.
func TestHelperThatReachesNobodyEndsNoAnswer(t *testing.T) {
	const servers = 4
	var silent [servers]*silentServer
	var records []laburnumregistry.Record
	for i := range silent {
		silent[i] = newSilentServer(t, "i-"+strconv.Itoa(i), 1)
		records = append(records, silent[i].heartbeat("quotes", "m"+strconv.Itoa(i)))
	}
	tunnels := &helperlessTunnels{}
	b := newLinksHarness(t, tunnels, &reports{}, records)
	b.fleet.HandleRoutes(patientRoutes())
	var ended sync.WaitGroup
	for i := range silent {
		ended.Go(func() {
			got := b.send("POST", "/quote/x", "text", "X-Laburnumlever-Model", "m"+strconv.Itoa(i))
			assert.NoError(t, got.err)
			assert.Equal(t, 4, strings.Count(got.body, "word-"))
		})
	}
	require.Eventually(t, func() bool { return !b.gateway.Ready() }, 10*time.Second, time.Millisecond, "the links count as lost")
	tunnels.helps.Store(true)
	require.Eventually(t, b.gateway.Ready, 10*time.Second, time.Millisecond, "another VM helps")
	<-time.After(100 * time.Millisecond)
	for _, s := range silent {
		s.wake()
	}
	ended.Wait()
}

// helperlessTunnels find no helper at first, then one that reaches no server.
type helperlessTunnels struct{ helps atomic.Bool }

func (h *helperlessTunnels) Dial(_ context.Context, address string) (net.Conn, error) {
	if h.helps.Load() {
		return nil, &laburnumtunnel.ServerUnreachableError{Address: address}
	}
	return nil, &laburnumtunnel.NoHelperError{}
}

// Guards against a request ended at a server that works on it, while another answer flows over the same link.
func TestRequestBesideAnAnswerThatFlowsIsNotEnded(t *testing.T) {
	begun := make(chan struct{}, 2)
	server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		id := a.request.Header.Get(idHeader)
		if id != "r-flow" && id != "r-work" {
			writeAnswer(conn, a, http.StatusNotFound, "")
			return
		}
		begun <- struct{}{}
		if id == "r-work" {
			<-time.After(3 * time.Second)
			writeEvents(conn, a, 1, 4)
			writeLastChunk(conn)
			return
		}
		writeEvents(conn, a, 1, 1)
		for i := 2; i <= 35; i++ {
			<-time.After(100 * time.Millisecond)
			writeChunk(conn, fmt.Sprintf("id: %d\ndata: word-%d\n\n", i, i))
		}
		writeLastChunk(conn)
	})
	other, reached := newBackend(t, "i-2", resumeStream), newBackend(t, "i-1", resumeStream)
	address := server.ln.Addr().String()
	b := newLinksHarness(t, &fakeTunnels{real: map[string]string{address: reached.ln.Addr().String()}}, &reports{}, []laburnumregistry.Record{
		server.heartbeat("quotes", "m0", "m1"), answers("i-3")(t).heartbeat("booking"),
	})
	b.fleet.HandleRoutes(patientRoutes())
	var all sync.WaitGroup
	for _, id := range []string{"r-flow", "r-work"} {
		all.Go(func() {
			got := b.send("POST", "/quote/x", "text", "X-Laburnumlever-Model", "m0", idHeader, id)
			assert.NoError(t, got.err)
			assert.Contains(t, got.body, "word-4")
		})
	}
	<-begun
	<-begun
	b.announce(other.heartbeat("quotes", "m0"))
	<-time.After(nextEventTime + 100*time.Millisecond) // the request counts as silent by then
	require.NoError(t, server.ln.Close())
	require.Eventually(t, func() bool {
		all.Go(func() { _ = b.send("POST", "/draft/x", "text", "X-Laburnumlever-Model", "m1", idHeader, "r-new") })
		return !b.gateway.CanReach(address)
	}, 10*time.Second, 100*time.Millisecond, "only others reach it")
	all.Wait()
	require.Empty(t, other.streams(), "the request was not sent again")
	require.Empty(t, reached.streams(), "the request was not sent again")
}

// Guards against a success that no server gave, for a caller that has only stopped sending.
func TestCallerThatStopsSendingGetsNoFalseSuccess(t *testing.T) {
	slow := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		<-time.After(300 * time.Millisecond)
		writeAnswer(conn, a, http.StatusOK, "ok")
	})
	b := newHarness(t, slow.heartbeat("booking"))
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /confirm/x HTTP/1.1\r\nHost: quotes.example\r\n"+idHeader+": r-1\r\nContent-Length: 2\r\n\r\nhi")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(slow.requests()) == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	got, _ := io.ReadAll(conn) // a reset is as good
	require.False(t, strings.HasPrefix(string(got), "HTTP/1.1 200") && !strings.Contains(string(got), stampHeader), "%q", got)
}
