package laburnumroles_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
)

const (
	// limitWindow is the window in which an engine gets limitFactor times its limit at most, and
	// limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedEngine is a stand-in for an engine that names a limit.
type limitedEngine struct {
	*laburnumstandin.PlatformServer
	mu       sync.Mutex
	arrivals []time.Time
}

func (s *deployment) startLimitedEngine(id string) *limitedEngine {
	e := &limitedEngine{}
	ln, err := net.Listen("tcp", s.ip(firstEngine)+":0")
	require.NoError(s.t, err)
	var controls []string
	for i := range s.controls {
		controls = append(controls, s.control(i))
	}
	e.PlatformServer = laburnumstandin.NewPlatformServer(id, "devis", ln.Addr().String(), controls, []string{"m0"},
		laburnumstandin.PlatformBehaviour{OnRun: func(laburnumstandin.PlatformRun) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.arrivals = append(e.arrivals, time.Now())
		}})
	server := &http.Server{Handler: e.PlatformServer, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	e.Start(200 * time.Millisecond)
	s.t.Cleanup(func() {
		_ = server.Close()
		e.Close()
	})
	return e
}

// busiestWindow returns the largest number of arrivals in one limitWindow after a time.
func (e *limitedEngine) busiestWindow(since time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most, first := 0, 0
	for i, at := range e.arrivals {
		for e.arrivals[first].Before(since) && first < i || at.Sub(e.arrivals[first]) > limitWindow {
			first++
		}
		if !e.arrivals[first].Before(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func (e *limitedEngine) arrivalsSince(since time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.arrivals {
		if at.After(since) {
			n++
		}
	}
	return n
}

func allowedBy(limit float64) int {
	return int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
}

// limitedFleet is a deployment of several gateways with callers that send all the time.
type limitedFleet struct {
	*deployment
	served, refused []atomic.Int64
	// wrong counts refusals for other reasons than a limit, or without a Retry-After; slow those that
	// took longer than a request may wait for a slot.
	wrong, slow atomic.Int64
}

// slowRefusal is longer than a fifth of the route's timeout, for which a request may be queued.
const slowRefusal = 1500 * time.Millisecond

func newLimitedFleet(t *testing.T, gateways int) *limitedFleet {
	f := &limitedFleet{deployment: newDeployment(t, 3, 1), served: make([]atomic.Int64, gateways), refused: make([]atomic.Int64, gateways)}
	for i := 1; i < gateways; i++ {
		f.startGatewayAt(i)
	}
	f.until(200, "first manifest", func() (int, []byte) {
		return f.call("PUT", "http://"+f.control(0)+"/v1/config", manifest(7, "confirm"))
	})
	return f
}

// quote sends a request and checks its refusal.
func (f *limitedFleet) quote(gateway int, id string) int {
	began := time.Now()
	status, body := f.call("POST", "http://"+f.gatewayAddress(gateway)+"/quote/x", []byte(id), "X-Laburnumlever-Request-Id", id, "X-Laburnumlever-Model", "m0")
	if status != http.StatusOK && string(body) != "backend-limited\n" {
		f.wrong.Add(1)
	}
	if status != http.StatusOK && time.Since(began) > slowRefusal {
		f.slow.Add(1)
	}
	return status
}

// startCallers has callers at each gateway send a request every 100 ms until the test ends.
func (f *limitedFleet) startCallers(each int) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	f.t.Cleanup(func() { close(done); callers.Wait() })
	for gateway := range f.served {
		f.until(200, "served", func() (int, []byte) { return f.quote(gateway, "first"), nil })
		for caller := range each {
			callers.Go(func() {
				pause := time.NewTicker(100 * time.Millisecond)
				defer pause.Stop()
				for n := 0; ; n++ {
					select {
					case <-done:
						return
					case <-pause.C:
					}
					if f.quote(gateway, fmt.Sprintf("oak-%d-%d-%d", gateway, caller, n)) == http.StatusOK {
						f.served[gateway].Add(1)
					} else {
						f.refused[gateway].Add(1)
					}
				}
			})
		}
	}
}

// pass waits for the given time while callers send.
func (f *limitedFleet) pass(d time.Duration) {
	<-time.After(d)
}

// Guards against an engine that gets its limit from each gateway, or several times as much from one.
func TestLimitOfAnEngineHoldsForAllGatewaysTogether(t *testing.T) {
	const gateways, limit = 3, 3.0
	f := newLimitedFleet(t, gateways)
	limited, other := f.startLimitedEngine("i-limited"), f.startLimitedEngine("i-other")
	f.startCallers(4)
	require.Eventually(t, func() bool { return limited.arrivalsSince(time.Time{}) > 0 && other.arrivalsSince(time.Time{}) > 0 }, eventuallyTimeout, 10*time.Millisecond)
	limited.SetLimit("3")
	f.pass(contactTime)
	known := time.Now()
	refusedBefore := total(f.refused)
	f.pass(limitWindow + time.Second)
	t.Logf("%d requests in %v, %d in the busiest %v", limited.arrivalsSince(known), time.Since(known), limited.busiestWindow(known), limitWindow)
	require.LessOrEqual(t, limited.busiestWindow(known), allowedBy(limit))
	require.Greater(t, other.arrivalsSince(known), limited.arrivalsSince(known), "the other engine takes the rest")
	require.Zero(t, total(f.refused)-refusedBefore, "nobody is refused while another engine has room")
	limited.SetLimit("")
	require.Eventually(t, func() bool { return limited.arrivalsSince(time.Now().Add(-time.Second)) > 20 }, eventuallyTimeout, 10*time.Millisecond,
		"the end of the limit is noticed")
}

func total(counts []atomic.Int64) int64 {
	sum := int64(0)
	for i := range counts {
		sum += counts[i].Load()
	}
	return sum
}

// Guards against a limit that is exceeded where no other engine holds the model, wasted, used by one gateway alone, or kept after its end.
func TestLimitHoldsWithoutAnotherEngine(t *testing.T) {
	const gateways, limit = 3, 3.0
	f := newLimitedFleet(t, gateways)
	limited := f.startLimitedEngine("i-limited")
	f.startCallers(4)
	limited.SetLimit("3")
	f.pass(contactTime)
	known := time.Now()
	var before [gateways]int64
	for gateway := range gateways {
		before[gateway] = f.served[gateway].Load()
	}
	f.pass(limitWindow + time.Second)
	t.Logf("%d requests in %v, %d in the busiest %v", limited.arrivalsSince(known), time.Since(known), limited.busiestWindow(known), limitWindow)
	require.LessOrEqual(t, limited.busiestWindow(known), allowedBy(limit))
	require.GreaterOrEqual(t, limited.arrivalsSince(known), int(limit*limitWindow.Seconds()/2), "half of the limit is used")
	for gateway := range gateways {
		require.Greater(t, f.served[gateway].Load(), before[gateway], "gateway %d", gateway)
	}
	require.Zero(t, f.wrong.Load(), "refused for another reason")
	require.Zero(t, f.slow.Load(), "refused too late")
	limited.SetLimit("")
	f.recovers()
}

// recovers waits until no request is refused for a while.
func (f *limitedFleet) recovers() {
	require.Eventually(f.t, func() bool {
		refused, served := total(f.refused), total(f.served)
		f.pass(500 * time.Millisecond)
		return total(f.refused) == refused && total(f.served) > served+20
	}, eventuallyTimeout, 10*time.Millisecond)
}

// Guards against a limit that is exceeded when control VMs and gateways restart, or when the engine names another.
func TestLimitHoldsWhileVMsRestart(t *testing.T) {
	const gateways, limit = 3, 3.0
	f := newLimitedFleet(t, gateways)
	limited, _ := f.startLimitedEngine("i-limited"), f.startLimitedEngine("i-other")
	f.startCallers(4)
	limited.SetLimit("6")
	f.pass(contactTime)
	limited.SetLimit("3")
	f.pass(contactTime)
	known := time.Now()
	for i := range f.controls {
		f.stop(i)
		f.pass(time.Second)
		f.startControl(i, 1, false)
		f.status(f.ip(i), "control VM knows the gateways", func(status laburnumlever.Status) bool { return status.Role.Gateways == gateways })
	}
	f.startGatewayAt(gateways)
	for n := range 10 {
		f.quote(gateways, fmt.Sprint("new-", n))
	}
	f.pass(limitWindow)
	t.Logf("%d requests in %v, %d in the busiest %v", limited.arrivalsSince(known), time.Since(known), limited.busiestWindow(known), limitWindow)
	require.LessOrEqual(t, limited.busiestWindow(known), allowedBy(limit))
	require.Positive(t, limited.arrivalsSince(known))
	limited.SetLimit("")
	f.recovers()
}
