package laburnumgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumintake"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"
)

// Guards against room for bodies that is lost at one of the ways in which a request can end.
func TestRoomOfABodyIsGivenBack(t *testing.T) {
	const size = 64 << 10
	length, body := fmt.Sprintf("Content-Length: %d", size), strings.Repeat("x", size)
	for name, play := range map[string]func(b *harness, c *rawCaller){
		"served": func(_ *harness, c *rawCaller) {
			c.writeHead("/confirm/x", length)
			c.write(body)
			require.Equal(c.t, http.StatusOK, c.read().StatusCode)
		},
		"refused after the body": func(_ *harness, c *rawCaller) {
			c.writeHead("/quote/x", length, "X-Laburnumlever-Deadline-Ms: 200")
			c.write(body)
			require.Equal(c.t, http.StatusServiceUnavailable, c.read().StatusCode)
		},
		"too long": func(_ *harness, c *rawCaller) {
			c.writeHead("/confirm/x", "Transfer-Encoding: chunked")
			c.write(fmt.Sprintf("%x\r\n%s\r\n", 2*size, body+body))
			require.Equal(c.t, http.StatusRequestEntityTooLarge, c.read().StatusCode)
		},
		"caller leaves": func(b *harness, c *rawCaller) {
			c.writeHead("/confirm/x", length)
			c.write(body[1:])
			require.Eventually(c.t, func() bool { return b.gateway.InFlight() == 1 }, callerPatience, time.Millisecond)
		},
		"deadline": func(_ *harness, c *rawCaller) {
			c.writeHead("/confirm/x", length, "X-Laburnumlever-Deadline-Ms: 200")
			c.write(body[1:])
			require.Equal(c.t, http.StatusServiceUnavailable, c.read().StatusCode)
		},
		"drain": func(b *harness, c *rawCaller) {
			c.writeHead("/confirm/x", length)
			c.write(body[1:])
			require.Eventually(c.t, func() bool { return b.gateway.InFlight() == 1 }, callerPatience, time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			go b.gateway.Drain(ctx)
			require.Equal(c.t, http.StatusServiceUnavailable, c.read().StatusCode)
		},
	} {
		t.Run(name, func(t *testing.T) {
			timers := laburnumtimer.New()
			t.Cleanup(timers.Close)
			in := laburnumintake.New(timers, laburnumintake.NewLimits(0, 0))
			server := newBackend(t, "i-1", answerOK)
			b := newUnconfiguredHarnessWith(t, timers, laburnumgateway.WithIntake(in))
			routes := testRoutes()
			routes.Callers.BodyBytes = size
			b.fleet.HandleRoutes(routes)
			b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{server.heartbeat("booking")}})
			c := b.dialRaw()
			play(b, c)
			require.NoError(t, c.conn.Close())
			require.Eventually(t, func() bool { return in.Stats().Held == 0 && b.gateway.InFlight() == 0 }, callerPatience, time.Millisecond)
		})
	}
}
