package laburnumroles_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

// skewedLoad sends each request on a new connection and counts the tries that were answered in whole.
type skewedLoad struct {
	*crashingFleet
	client       *http.Client
	sent, served atomic.Int64
	all          sync.WaitGroup
}

// newSkewedLoad starts gateways before engines that accept few connections, and whose streams last for most of a second.
func newSkewedLoad(t *testing.T, gateways, engines, connections int) *skewedLoad {
	limited := bytes.ReplaceAll(manifest(7, "confirm"), []byte(`"max_conns":50`), fmt.Appendf(nil, `"max_conns":%d`, connections))
	f := newCrashingFleetOn(t, gateways, engines, &crashingEngines{down: time.Second, eventPause: 200 * time.Millisecond}, limited)
	for i := range gateways {
		f.status(f.ip(firstGateway+i), "gateway knows the others", func(status laburnumlever.Status) bool { return status.Role.Gateways == gateways })
	}
	return &skewedLoad{crashingFleet: f, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// play sends requests to a gateway for a time and returns the part of the first tries that were served.
func (l *skewedLoad) play(gateway int, period, d time.Duration) float64 {
	l.sent.Store(0)
	l.served.Store(0)
	end := time.Now().Add(d)
	for ticker := time.NewTicker(period); time.Now().Before(end); <-ticker.C {
		l.all.Go(func() { l.send(gateway) })
	}
	l.all.Wait()
	return float64(l.served.Load()) / float64(l.sent.Load())
}

func (l *skewedLoad) send(gateway int) {
	n := l.sent.Add(1)
	req, err := http.NewRequestWithContext(l.t.Context(), http.MethodPost, "http://"+l.gatewayAddress(gateway)+"/quote/x", strings.NewReader("oak"))
	if err != nil {
		l.t.Error(err)
		return
	}
	req.Host = "quotes.example"
	req.Header.Set("X-Laburnumlever-Request-Id", fmt.Sprintf("skewed-%d-%d-%d", gateway, n, time.Now().UnixNano()))
	req.Header.Set("X-Laburnumlever-Model", "m0")
	resp, err := l.client.Do(req)
	if err != nil {
		return // a try that failed
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
		l.served.Add(1)
	}
}

// Guards against a gateway that has no more connections to engines while it gets the callers of all than while it gets its part of them.
func TestGatewayWithMostNewConnectionsUsesThoseOfOthers(t *testing.T) {
	const gateways, engines, connections = 12, 3, 24
	l := newSkewedLoad(t, gateways, engines, connections)
	for gateway := range 2 {
		share := l.play(gateway, 40*time.Millisecond, 6*time.Second)
		t.Logf("gateway %d, which got all new connections: %.3f of %d first tries served", gateway, share, l.sent.Load())
		require.GreaterOrEqual(t, share, 0.75)
	}
}
