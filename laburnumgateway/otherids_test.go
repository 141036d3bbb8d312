package laburnumgateway_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against healthy servers of routes that are no streams which lose work for events that the format allows.
func TestEventsOfOtherRoutesAreTheirServersOwn(t *testing.T) {
	for name, text := range map[string]string{
		"control":                  "data: one\n\n",
		"id that is no number":     "id: evt_a1\ndata: one\n\n",
		"id alone":                 "id: 1\n\n",
		"unknown field":            "data: one\nmeta: x\n\n",
		"control character":        "data: \x1b[1mone\n\n",
		"no empty line at the end": "data: one\n\ndata: two\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
				writeAnswer(conn, a, http.StatusOK, text, "Content-Type: text/event-stream")
			})
			b := newHarness(t, server.heartbeat("booking"))
			got := b.send("POST", "/confirm/x", "visit")
			assert.NoError(t, got.err)
			assert.Equal(t, http.StatusOK, got.status)
			assert.Equal(t, text, got.body)
			assert.Zero(t, failures(b))
		})
	}
}
