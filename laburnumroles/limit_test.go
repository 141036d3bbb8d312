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
		laburnumstandin.PlatformBehaviour{OnRun: func(string) {
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
}

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

func (f *limitedFleet) quote(gateway int, id string) int {
	status, _ := f.call("POST", "http://"+f.gatewayAddress(gateway)+"/quote/x", []byte(id), "X-Laburnumlever-Request-Id", id, "X-Laburnumlever-Model", "m0")
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
	refusedBefore := f.refused[0].Load() + f.refused[1].Load() + f.refused[2].Load()
	f.pass(2 * limitWindow)
	require.LessOrEqual(t, limited.busiestWindow(known), allowedBy(limit))
	require.Greater(t, other.arrivalsSince(known), limited.arrivalsSince(known), "the other engine takes the rest")
	refused := f.refused[0].Load() + f.refused[1].Load() + f.refused[2].Load() - refusedBefore
	require.Zero(t, refused, "nobody is refused while another engine has room")
}
