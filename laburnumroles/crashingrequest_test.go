package laburnumroles_test

import (
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
	var controls []string
	for i := range e.deployment.controls {
		controls = append(controls, e.deployment.control(i))
	}
	var engine *laburnumstandin.PlatformServer
	engine = laburnumstandin.NewPlatformServer(fmt.Sprintf("i-%d", e.starts), "devis", ln.Addr().String(), controls, []string{"m0"},
		laburnumstandin.PlatformBehaviour{
			CrashText: crashText,
			OnRun:     e.requestRan,
			Crash: func() {
				if crashed.CompareAndSwap(false, true) {
					_ = server.Close()
					engine.Close()
					e.engineCrashed()
					time.AfterFunc(time.Second, func() { e.start(ln.Addr().String()) })
				}
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

func (e *crashingEngines) engineCrashed() {
	e.mu.Lock()
	defer e.mu.Unlock()
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

// Guards against a request that crashes engine after engine because each gateway takes every repeat of it for a new request.
func TestRepeatsOfACrashingRequestAreStoppedOnAllGateways(t *testing.T) {
	const gateways, engines, innocentCallers = 3, 6, 6
	s := newDeployment(t, 3, 1)
	for i := 1; i < gateways; i++ {
		s.startGatewayAt(i)
	}
	s.until(200, "first manifest", func() (int, []byte) {
		return s.call("PUT", "http://"+s.control(0)+"/v1/config", manifest(7, "confirm"))
	})
	e := &crashingEngines{deployment: s}
	for range engines {
		e.start(s.ip(firstEngine) + ":0")
	}
	quote := func(gateway int, id, body string) (int, []byte) {
		return s.call("POST", "http://"+s.gatewayAddress(gateway)+"/quote/x", []byte(body), "X-Laburnumlever-Request-Id", id, "X-Laburnumlever-Model", "m0")
	}
	for i := range gateways {
		s.until(200, "served before any crash", func() (int, []byte) { return quote(i, "first", "oak") })
	}

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
				status, body := quote(n%gateways, id, id)
				if status == http.StatusOK {
					served.Add(1)
				}
				if strings.Contains(string(body), "quarantined") {
					condemned.Add(1)
				}
			}
		})
	}
	var last []byte
	pause := time.NewTicker(50 * time.Millisecond)
	defer pause.Stop()
	for n := 0; e.borneSince() < contactTime+2*time.Second; n++ {
		_, last = quote(n%gateways, fmt.Sprintf("%s-%d", crashText, n), crashText)
		<-pause.C
	}
	close(done)
	innocents.Wait()
	require.LessOrEqual(t, e.lateArrivals(), repeatsBorne, "crashes: %d", len(e.crashes))
	require.Contains(t, string(last), "quarantined")
	require.Zero(t, condemned.Load(), "innocent requests were refused as well")
	require.Positive(t, served.Load())
	status, _ := quote(0, "last", "oak")
	require.Equal(t, http.StatusOK, status)
}
