package laburnumroles

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumtimer"
	"laburnumlever/platform"
)

// Guards against orders and reports to an engine that has asked this VM for rest.
func TestControlVMSendsARestingEngineNothing(t *testing.T) {
	var calls atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer engine.Close()
	timers := laburnumtimer.NewManual(time.Unix(1_790_000_000, 0))
	e := newRestingEngines(platform.NewEngines(), timers)
	to := laburnumlever.Heartbeat{Backend: "i-1", Incarnation: 1, Address: strings.TrimPrefix(engine.URL, "http://")}
	ctx := context.Background()
	_, err := e.State(ctx, to)
	var rests *laburnumlever.BackendRestsError
	require.ErrorAs(t, err, &rests)
	for _, wait := range []time.Duration{0, time.Second, 1900 * time.Millisecond} {
		timers.Advance(wait)
		_, err = e.Order(ctx, to, laburnumlever.EngineOrder{})
		var notSent *laburnumlever.NotSentError
		require.ErrorAs(t, err, &notSent)
		_, err = e.State(ctx, to)
		require.ErrorAs(t, err, &notSent)
	}
	require.Equal(t, int64(1), calls.Load())
	restarted := to
	restarted.Incarnation = 2
	_, _ = e.State(ctx, restarted)
	require.Equal(t, int64(2), calls.Load(), "another incarnation")
	timers.Advance(200 * time.Millisecond)
	_, _ = e.Order(ctx, to, laburnumlever.EngineOrder{})
	require.Equal(t, int64(3), calls.Load(), "after the rest")
}
