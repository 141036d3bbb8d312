package laburnumgateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumregistry"
)

// newReservingEngine returns a fake engine that supports reservations. It grants them if free is set.
func newReservingEngine(t *testing.T, id string, free bool) *backend {
	return newBackend(t, id, func(conn net.Conn, a receivedRequest, _ int) {
		switch {
		case a.request.URL.Path != "/v1/hold-take":
			writeEvents(conn, a, 1, 2)
			writeLastChunk(conn)
		case free:
			writeAnswer(conn, a, http.StatusOK, `{"hold":"h-7"}`)
		default:
			writeAnswer(conn, a, http.StatusServiceUnavailable, "")
		}
	})
}

func newReservationHarness(t *testing.T, records ...laburnumregistry.Record) *harness {
	b := newUnconfiguredHarness(t)
	table := testRoutes()
	table.Services[1].Engine.ReserveLimit = laburnumlever.Duration(2 * time.Second)
	table.Routes[2].Priority, table.Routes[3].Priority = 1, 0 // quotes, drafts
	b.fleet.HandleRoutes(table)
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: records})
	return b
}

func requestPaths(b *backend) string {
	var list []string
	for _, a := range b.requests() {
		list = append(list, a.request.URL.Path)
	}
	return strings.Join(list, " ")
}

// Guards against requests that queue at a full engine, whose known load is seconds old, while others have free slots.
func TestSlotIsReservedWhenEngineLoadIsStale(t *testing.T) {
	full, free := newReservingEngine(t, "i-1", false), newReservingEngine(t, "i-2", true)
	b := newReservationHarness(t, full.heartbeat("quotes", "m0"), free.heartbeat("quotes", "m0"))
	for range 8 {
		got := b.send("POST", "/quote/x", "oak floor", "X-Laburnumlever-Model", "m0", "X-Laburnumlever-Token-Count", "700,300")
		require.NoError(t, got.err)
		require.Equal(t, 200, got.status)
	}
	require.NotContains(t, requestPaths(full), "/quote/x")
	first := free.requests()
	require.Equal(t, "/v1/hold-take", first[0].request.URL.Path)
	require.Equal(t, "i-2", first[0].request.Header.Get("X-Laburnumlever-Expect-Instance"))
	require.JSONEq(t, `{"tokens":850,"ttl_ms":100}`, first[0].body)
	require.Equal(t, "h-7", first[1].request.Header.Get("X-Laburnumlever-Hold"))
}

// Guards against sending a request to engines that all refuse to reserve a slot, and against asking them again and again.
func TestRequestQueuesWhenReservationsAreRefused(t *testing.T) {
	full := newReservingEngine(t, "i-1", false)
	b := newReservationHarness(t, full.heartbeat("quotes", "m0"))
	got := b.send("POST", "/quote/x", "oak floor", "X-Laburnumlever-Model", "m0", "X-Laburnumlever-Deadline-Ms", "600")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.NotContains(t, requestPaths(full), "/quote/x")
	require.Less(t, len(full.requests()), 10)
	require.Empty(t, full.closed(), "the connection must be reused")
}

// Guards against the most urgent requests losing free slots to other gateways while all engines are full.
func TestMostUrgentRequestQueuesAtAnEngine(t *testing.T) {
	one, two := newReservingEngine(t, "i-1", false), newReservingEngine(t, "i-2", false)
	b := newReservationHarness(t, one.heartbeat("quotes", "m0"), two.heartbeat("quotes", "m0"))
	got := b.send("POST", "/draft/x", "oak floor", "X-Laburnumlever-Model", "m0")
	require.Equal(t, 200, got.status)
	require.Len(t, append(one.requests(), two.requests()...), 3, "two reservations and the request")
}

// Guards against refusing requests because an engine does not support reservations.
func TestEngineWithoutReservationsGetsTheRequest(t *testing.T) {
	old := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		if a.request.URL.Path == "/v1/hold-take" {
			writeAnswer(conn, a, http.StatusNotFound, "")
			return
		}
		writeEvents(conn, a, 1, 2)
		writeLastChunk(conn)
	})
	b := newReservationHarness(t, old.heartbeat("quotes", "m0"))
	got := b.send("POST", "/quote/x", "oak floor", "X-Laburnumlever-Model", "m0")
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)
}

// Guards against a request that waits until its deadline for the reservation at an engine that never answers.
func TestUnresponsiveEngineDelaysOnlyTheReservation(t *testing.T) {
	unresponsive := newBackend(t, "i-1", func(net.Conn, receivedRequest, int) {})
	healthy := newReservingEngine(t, "i-2", true)
	b := newReservationHarness(t, unresponsive.heartbeat("quotes", "m0"), healthy.heartbeat("quotes", "m0"))
	for range 4 {
		got := b.send("POST", "/quote/x", "oak floor", "X-Laburnumlever-Model", "m0")
		require.NoError(t, got.err)
		require.Equal(t, 200, got.status)
	}
	require.NotContains(t, requestPaths(unresponsive), "/quote/x")
}

// Guards against the rest of a long answer to a reservation that is taken for the answer to the request.
func TestLongAnswerToAReservationIsNotTakenForTheNext(t *testing.T) {
	const long = 6 << 10
	engine := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		if a.request.URL.Path == "/v1/hold-take" {
			writeAnswer(conn, a, http.StatusOK, `{"hold":"h-7"}`+strings.Repeat(" ", long))
			return
		}
		writeEvents(conn, a, 1, 2)
		writeLastChunk(conn)
	})
	healthy := newReservingEngine(t, "i-2", true)
	b := newReservationHarness(t, engine.heartbeat("quotes", "m0"), healthy.heartbeat("quotes", "m0"))
	for range 4 {
		require.Equal(t, 200, b.send("POST", "/draft/x", "oak floor", "X-Laburnumlever-Model", "m0").status)
	}
	require.NotContains(t, requestPaths(engine), "/draft/x")
}

// Guards against a request that is refused and runs, since another's late second answer is taken for the one to its reservation.
func TestLateAnswerIsNotTakenForAReservation(t *testing.T) {
	var first receivedRequest
	engine := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, n int) {
		switch {
		case a.request.URL.Path != "/v1/hold-take":
			first = a
			writeEvents(conn, a, 1, 2)
			writeLastChunk(conn)
		case n == 1:
			writeAnswer(conn, a, http.StatusOK, `{"hold":"h-7"}`)
		default:
			writeAnswer(conn, first, http.StatusOK, "late")
			writeAnswer(conn, a, http.StatusServiceUnavailable, "", "X-Laburnumlever-Not-Run: 1")
		}
	})
	b := newReservationHarness(t, engine.heartbeat("quotes", "m0"))
	send := func(id string) callerResponse {
		return b.send("POST", "/quote/x", "oak floor", "X-Laburnumlever-Model", "m0", "X-Laburnumlever-Deadline-Ms", "600", idHeader, id)
	}
	require.Equal(t, 200, send("r-1").status)
	require.Equal(t, http.StatusServiceUnavailable, send("r-2").status)
	for _, a := range engine.requests() {
		require.NotEqual(t, "r-2", a.request.Header.Get(idHeader), "refused, and at work at the engine")
	}
}
