package laburnumgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumpace"
	"laburnumlever/laburnumtimer"
)

const (
	loadHeader = "X-Laburnumlever-Server-Load: "
	longPrompt = "a1:3000" // 100 ms to read at the usual pace
)

// newPacedEngine returns a fake engine that tells a load with its answers, and another at its health path.
func newPacedEngine(t *testing.T, id, load, atLook string) *backend {
	return newBackend(t, id, func(conn net.Conn, a receivedRequest, _ int) {
		switch a.request.URL.Path {
		case "/v1/hold-take":
			writeAnswer(conn, a, http.StatusOK, `{"hold":"h-7"}`)
		case "/health":
			if atLook != "" {
				writeAnswer(conn, a, http.StatusOK, "", loadHeader+atLook)
			}
		default:
			writeAnswer(conn, a, http.StatusOK, "id: 1\ndata: word\n\n", loadHeader+load, "Content-Type: text/event-stream")
		}
	})
}

// newLookHarness starts a gateway that has heard from the first engine, which is the nearer one, some time ago.
func newLookHarness(t *testing.T, on bool, near, far *backend) *harness {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1,
		laburnumgateway.WithSharedMachines(laburnumlever.SharedMachines{Looks: on}))
	b := newHarnessOfFleet(t, fleet, timers, laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{Window: 10 * time.Second, Slack: 50}))
	table := testRoutes()
	table.Services[1].HealthPath, table.Services[1].Engine.ReserveLimit = "/health", laburnumlever.Duration(2*time.Second)
	table.Routes[2].PauseTarget = laburnumlever.Duration(200 * time.Millisecond)
	b.fleet.HandleRoutes(table)
	first, second := near.heartbeat("quotes", "m0"), far.heartbeat("quotes", "m0")
	second.Heartbeat.Zone = "lyon"
	b.announce(first, second)
	require.Equal(t, http.StatusOK, b.send("POST", "/quote/first", "oak", "X-Laburnumlever-Model", "m0").status)
	time.Sleep(laburnumpace.FreshTime + 10*time.Millisecond)
	return b
}

// Guards against long prompts on a machine that has turned slow, and against prompts lost with an engine that answers no look.
func TestLongPromptIsSentAfterALook(t *testing.T) {
	for _, c := range []struct {
		name      string
		on        bool
		load      string
		near, far string // at the health path
		wantNear  string
		wantFar   string
	}{
		{"slow engine", true, "1,0,8,300", "4,0,8,300", "4,0,8,100", "/health", "/health /quote/x"},
		{"full engine", true, "1,0,8,300", "8,0,8,100", "4,0,8,100", "/health", "/v1/hold-take /quote/x"},
		{"usual engine, no reservation", true, "4,0,8,300", "4,0,8,100", "4,0,8,100", "/health /quote/x", ""},
		{"all are slow, the second less", true, "1,0,8,300", "4,0,8,400", "4,0,8,250", "/health", "/health /quote/x"},
		{"no answer", true, "1,0,8,300", "", "4,0,8,100", "/health", "/v1/hold-take /quote/x"},
		{"unreadable load", true, "4,0,8,300", "4,x,8", "4,0,8,100", "/health /v1/hold-take /quote/x", ""},
		{"switched off", false, "1,0,8,300", "4,0,8,300", "4,0,8,100", "/quote/x", ""},
		{"no pace told", true, "1,0,8", "4,0,8", "4,0,8", "/quote/x", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := newPacedEngine(t, "i-1", c.load, c.near), newPacedEngine(t, "i-2", c.load, c.far)
			b := newLookHarness(t, c.on, near, far)
			before := len(near.requests())
			got := b.send("POST", "/quote/x", "oak floor", "X-Laburnumlever-Model", "m0", "X-Laburnumlever-Prefix-Hash", longPrompt)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, c.wantNear, strings.Join(strings.Fields(requestPaths(near))[before:], " "))
			require.Equal(t, c.wantFar, requestPaths(far))
			require.Equal(t, c.near == "", len(near.closed()) > 0, "connections are reused")
		})
	}
}

// Guards against engines that are asked, or read a prompt, for a caller that has left during the first look.
func TestNothingIsSentForACallerThatLeftDuringALook(t *testing.T) {
	looked, left := make(chan struct{}), make(chan struct{})
	near := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		if a.request.URL.Path == "/health" {
			close(looked)
			<-left
		}
		writeAnswer(conn, a, http.StatusOK, "id: 1\ndata: word\n\n", loadHeader+"1,0,8,300", "Content-Type: text/event-stream")
	})
	far := newPacedEngine(t, "i-2", "1,0,8,300", "4,0,8,100")
	b := newLookHarness(t, true, near, far)
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "GET /quote/x HTTP/1.1\r\nHost: quotes.example\r\n%s: r-2\r\nX-Laburnumlever-Model: m0\r\nX-Laburnumlever-Prefix-Hash: %s\r\n\r\n", idHeader, longPrompt)
	require.NoError(t, err)
	<-looked
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return b.gateway.InFlight() == 0 }, callerPatience, time.Millisecond)
	close(left)
	require.NotContains(t, requestPaths(near)+requestPaths(far), "/quote/x")
	require.Empty(t, far.requests())
}
