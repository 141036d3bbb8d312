package laburnumroles_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
)

const (
	// contactTime is the shortest time in which the users expect a fact to be known on all VMs.
	contactTime = 3 * time.Second
	// crashesBorne is the number of crashes after which a request counts as one that crashes
	// engines, and repeatsBorne that of its arrivals at engines later than contactTime after them.
	crashesBorne, repeatsBorne = 3, 3
	crashText                  = "poison"
	firstEngine                = 90 // number of the engines' address
)

// crashingEngines are stand-ins for engines that crash at each request whose body contains
// crashText, and start again at the same address a second later with another identity.
type crashingEngines struct {
	deployment *deployment
	mu         sync.Mutex
	starts     int
	// crashes and arrivals are the times of crashes, and of requests whose id begins with crashText.
	crashes, arrivals []time.Time
	closed            bool
	// down is how long a crashed engine is down, delay how long a request runs before the engine crashes: further copies of
	// it begin to run meanwhile.
	down, delay time.Duration
	// parts are those at which engines crash as well, eventPause the time between two events of a stream.
	parts      []string
	eventPause time.Duration
	// kills end the engines that run, by their identities.
	kills map[string]func()
}

// killAll ends all engines that run at once.
func (e *crashingEngines) killAll() {
	e.mu.Lock()
	kills := slices.Collect(maps.Values(e.kills))
	e.mu.Unlock()
	var all sync.WaitGroup
	for _, kill := range kills {
		all.Go(kill)
	}
	all.Wait()
}

func (e *crashingEngines) start(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.starts++
	var cfg net.ListenConfig
	ln, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		e.deployment.t.Errorf("listen on %s again: %v", address, err)
		return
	}
	server := &http.Server{ReadHeaderTimeout: time.Second}
	var crashed atomic.Bool
	gone := make(chan struct{})
	var controls []string
	for i := range e.deployment.controls {
		controls = append(controls, e.deployment.control(i))
	}
	var engine *laburnumstandin.PlatformServer
	id := fmt.Sprintf("i-%d", e.starts)
	end := func() {
		_ = server.Close()
		engine.Close()
		e.engineCrashed(id)
		close(gone)
		time.AfterFunc(e.down, func() { e.start(ln.Addr().String()) })
	}
	if e.kills == nil {
		e.kills = map[string]func(){}
	}
	e.kills[id] = func() {
		if crashed.CompareAndSwap(false, true) {
			end()
		}
	}
	engine = laburnumstandin.NewPlatformServer(id, "devis", ln.Addr().String(), controls, []string{"m0"},
		laburnumstandin.PlatformBehaviour{
			CrashText: crashText, CrashParts: e.parts, EventPause: e.eventPause,
			OnRun: func(run laburnumstandin.PlatformRun) { e.requestRan(run.ID) },
			Crash: func() {
				if !crashed.CompareAndSwap(false, true) {
					<-gone
					return
				}
				<-time.After(e.delay)
				end()
			},
		})
	server.Handler = engine
	go func() { _ = server.Serve(ln) }()
	engine.Start(200 * time.Millisecond)
	e.deployment.t.Cleanup(func() {
		e.mu.Lock()
		e.closed = true
		e.mu.Unlock()
		if crashed.CompareAndSwap(false, true) {
			_ = server.Close()
			engine.Close()
			close(gone)
		}
	})
}

func (e *crashingEngines) requestRan(id string) {
	if !strings.HasPrefix(id, crashText) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, time.Now())
}

func (e *crashingEngines) engineCrashed(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.kills, id)
	e.crashes = append(e.crashes, time.Now())
}

// borneSince returns how long ago the last crash that may be borne was; 0 before it.
func (e *crashingEngines) borneSince() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.crashes) < crashesBorne {
		return 0
	}
	return time.Since(e.crashes[crashesBorne-1])
}

// lateArrivals returns the number of arrivals later than contactTime after that crash.
func (e *crashingEngines) lateArrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.arrivals {
		if at.Sub(e.crashes[crashesBorne-1]) > contactTime {
			n++
		}
	}
	return n
}

// crashingFleet is a deployment of several gateways before engines that crash.
type crashingFleet struct {
	*deployment
	engines *crashingEngines
	repeats int
}

func newCrashingFleet(t *testing.T, gateways, engines int) *crashingFleet {
	return newCrashingFleetWith(t, gateways, engines, time.Second, 0)
}

func newCrashingFleetWith(t *testing.T, gateways, engines int, down, delay time.Duration) *crashingFleet {
	return newCrashingFleetOf(t, gateways, engines, &crashingEngines{down: down, delay: delay})
}

func newCrashingFleetOf(t *testing.T, gateways, engines int, crashing *crashingEngines) *crashingFleet {
	return newCrashingFleetOn(t, gateways, engines, crashing, manifest(7, "confirm"))
}

// newCrashingFleetOn is newCrashingFleetOf with a manifest.
func newCrashingFleetOn(t *testing.T, gateways, engines int, crashing *crashingEngines, manifest []byte) *crashingFleet {
	s := newDeployment(t, 3, 1)
	crashing.deployment = s
	for i := 1; i < gateways; i++ {
		s.startGatewayAt(i)
	}
	s.until(200, "first manifest", func() (int, []byte) {
		return s.call("PUT", "http://"+s.control(0)+"/v1/config", manifest)
	})
	f := &crashingFleet{deployment: s, engines: crashing}
	for range engines {
		f.engines.start(s.ip(firstEngine) + ":0")
	}
	for i := range gateways {
		f.awaitServed(i)
	}
	return f
}

func (f *crashingFleet) quote(gateway int, id, body string) (int, []byte) {
	return f.call("POST", "http://"+f.gatewayAddress(gateway)+"/quote/x", []byte(body), "X-Laburnumlever-Request-Id", id, "X-Laburnumlever-Model", "m0")
}

func (f *crashingFleet) awaitServed(gateway int) {
	f.until(200, "served", func() (int, []byte) { return f.quote(gateway, "first", "oak") })
}

// repeat sends the crashing request once more, from another address of its caller each time.
func (f *crashingFleet) repeat(gateway int) (status int, body string, retryAfter string) {
	f.repeats++
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("127.200.0.%d", 1+f.repeats%250))}}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.gatewayAddress(gateway)+"/quote/x", strings.NewReader(crashText))
	require.NoError(f.t, err)
	req.Host = "quotes.example"
	req.Header.Set("X-Laburnumlever-Request-Id", fmt.Sprintf("%s-%d", crashText, f.repeats))
	req.Header.Set("X-Laburnumlever-Model", "m0")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header.Get("Retry-After")
}

// Guards against a request that crashes engine after engine because each gateway takes every repeat of it for a new request.
func TestRepeatsOfACrashingRequestAreStoppedOnAllGateways(t *testing.T) {
	const gateways, engines, innocentCallers = 3, 6, 6
	f := newCrashingFleet(t, gateways, engines)
	var innocents sync.WaitGroup
	var served, condemned atomic.Int64
	done := make(chan struct{})
	for caller := range innocentCallers {
		innocents.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("oak-%d-%d", caller, n)
				status, body := f.quote(n%gateways, id, id)
				if status == http.StatusOK {
					served.Add(1)
				}
				if strings.Contains(string(body), "quarantined") {
					condemned.Add(1)
				}
			}
		})
	}
	var status int
	var body, retryAfter string
	pause := time.NewTicker(50 * time.Millisecond)
	defer pause.Stop()
	for n := 0; f.engines.borneSince() < contactTime+2*time.Second; n++ {
		status, body, retryAfter = f.repeat(n % gateways)
		<-pause.C
	}
	close(done)
	innocents.Wait()
	t.Logf("%d crashes, %d innocent requests served", len(f.engines.crashes), served.Load())
	require.LessOrEqual(t, f.engines.lateArrivals(), repeatsBorne, "crashes: %d", len(f.engines.crashes))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "quarantined\n", body)
	require.NotEmpty(t, retryAfter)
	require.Zero(t, condemned.Load(), "innocent requests were refused as well")
	require.Positive(t, served.Load())
	f.awaitServed(0)
}

// Guards against a crashing request that is served again once the control VMs were restarted, or by a gateway that has just started.
func TestQuarantineOutlivesRestartsOfAllControlVMs(t *testing.T) {
	f := newCrashingFleet(t, 2, 4)
	refusedBy := func(gateway int) func() bool {
		return func() bool {
			_, body, _ := f.repeat(gateway)
			return body == "quarantined\n"
		}
	}
	require.Eventually(t, refusedBy(0), eventuallyTimeout, 50*time.Millisecond)
	require.Eventually(t, refusedBy(1), eventuallyTimeout, 50*time.Millisecond)
	arrivals := len(f.engines.arrivals)
	for i := range f.controls {
		f.stop(i)
		f.startControl(i, 1, false)
		f.status(f.ip(i), "control VM knows the gateways", func(status laburnumlever.Status) bool { return status.Role.Gateways == 2 })
	}
	// Longer than a gateway waits before it tells a restarted control VM.
	require.Eventually(t, func() bool {
		status, metrics := f.call("GET", fmt.Sprintf("http://%s:%d/metrics", f.ip(0), metricsPort), nil)
		return status == http.StatusOK && strings.Contains(string(metrics), "laburnumlever_quarantined_requests 1")
	}, eventuallyTimeout, 50*time.Millisecond)
	f.startGatewayAt(2)
	f.awaitServed(2)
	for gateway := range 3 {
		require.True(t, refusedBy(gateway)(), "gateway %d", gateway)
	}
	require.Len(t, f.engines.arrivals, arrivals)
}

// endedSince returns how long ago the last of its copies that may be borne reached an engine; 0 before it.
func (e *crashingEngines) endedSince() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.arrivals) < crashesBorne {
		return 0
	}
	return time.Since(e.arrivals[crashesBorne-1])
}

// lateCopies returns the number of copies later than contactTime after that one.
func (e *crashingEngines) lateCopies() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.arrivals {
		if at.Sub(e.arrivals[crashesBorne-1]) > contactTime {
			n++
		}
	}
	return n
}

// Guards against copies of a crashing request that wait on all gateways and are sent together to the next engine with its model.
func TestCopiesOfACrashingRequestAreSentOneAtATime(t *testing.T) {
	const gateways, callers, down = 3, 12, contactTime + time.Second
	f := newCrashingFleetWith(t, gateways, 1, down, 100*time.Millisecond)
	var all sync.WaitGroup
	var refused atomic.Int64
	done := make(chan struct{})
	for caller := range callers {
		all.Go(func() {
			pause := time.NewTicker(100 * time.Millisecond)
			defer pause.Stop()
			for n := 0; ; n++ {
				if _, body := f.quote(caller%gateways, fmt.Sprintf("%s-%d-%d", crashText, caller, n), crashText); string(body) == "under-trial\n" {
					refused.Add(1)
				}
				select {
				case <-done:
					return
				case <-pause.C:
				}
			}
		})
	}
	require.Eventually(t, func() bool { return f.engines.endedSince() > 3*down }, time.Minute, 50*time.Millisecond)
	close(done)
	all.Wait()
	t.Logf("%d crashes, %d copies, %d refused beside another", len(f.engines.crashes), len(f.engines.arrivals), refused.Load())
	require.LessOrEqual(t, f.engines.lateCopies(), repeatsBorne)
	f.awaitServed(0)
}
